import {randomInt} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {request} from 'undici';
import {systemClock} from '../base/index.js';
import {Change} from '../config/index.js';
import {RunningProcess, startProcess} from './process.js';

/** Secrets of local fleets. */
export const localSecrets = {
  operatorToken: 'local-operator-token',
  clusterKey: 'local-cluster-key-0001',
};

/** A node of a local fleet. */
export interface LocalNode {
  readonly id: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly callers: string;
  readonly admin: string;
  readonly announce: string;
  readonly configPath: string;
  process: RunningProcess;
}

/** A backend server of a local fleet. */
export interface LocalBackend {
  readonly id: string;
  readonly service: string;
  readonly node: string;
  readonly url: string;
  process: RunningProcess;
}

/** Shape of one node with its backend servers. */
export interface NodePlan {
  readonly id: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly backends: readonly BackendPlan[];
}

/** Shape of one backend server. */
export interface BackendPlan {
  readonly id: string;
  readonly service: string;
  readonly pool: string;
  readonly slots: number;
  readonly workMs: number;
  readonly coldStartMs?: number;
}

// Below the range from which Linux takes the local ports of outgoing connections (32768 on): a port found there could
// be taken by another fleet's connection before the node listens on it.
const lowestPort = 10_000;
const highestPort = 32_000;

async function openPort(
  address: string,
): Promise<ReturnType<typeof createServer>> {
  for (;;) {
    const server = createServer();
    const port = randomInt(lowestPort, highestPort);
    const opened = await new Promise<boolean>(resolve => {
      server.once('error', () => resolve(false));
      server.listen(port, address, () => resolve(true));
    });
    if (opened) return server;
  }
}

/** Finds free ports of the loopback interface. */
export async function findFreePorts(
  address: string,
  count: number,
): Promise<readonly number[]> {
  const servers = await Promise.all(
    Array.from({length: count}, () => openPort(address)),
  );
  const ports = servers.map(
    server => (server.address() as {port: number}).port,
  );
  await Promise.all(
    servers.map(
      server => new Promise<void>(resolve => server.close(() => resolve())),
    ),
  );
  return ports;
}

/** A fleet of real processes on the loopback interface: log stand-in, nodes, backend servers. */
export class LocalFleet {
  readonly nodes = new Map<string, LocalNode>();
  readonly backends = new Map<string, LocalBackend>();
  logUrl = '';
  private log: RunningProcess | undefined;
  private readonly folder = mkdtempSync(join(tmpdir(), 'fescuewheel-'));
  private seeds: readonly string[] = [];
  // Ports found free are not held until the nodes listen; with a network of its own no other fleet takes them.
  private readonly network = [randomInt(1, 255), randomInt(0, 250)] as const;

  /** Starts the log stand-in, all nodes and all backend servers. */
  static async start(plans: readonly NodePlan[]): Promise<LocalFleet> {
    const fleet = new LocalFleet();
    try {
      await fleet.startLog();
      await fleet.prepareNodes(plans);
      await Promise.all(plans.map(plan => fleet.startNode(plan.id)));
      await Promise.all(
        plans.flatMap(plan =>
          plan.backends.map(backend => fleet.startBackend(plan.id, backend)),
        ),
      );
      return fleet;
    } catch (error) {
      // The caller has no fleet to stop; without this the processes would outlive it.
      await fleet.stop();
      throw error;
    }
  }

  /** Starts the process of a prepared node, for the first time or again. */
  async startNode(id: string): Promise<void> {
    const node = this.getNode(id);
    node.process = startProcess('daemon/main.js', [
      '--config',
      node.configPath,
    ]);
    await node.process.waitForLine(line => line.includes('"msg":"serving"'));
  }

  async startBackend(nodeId: string, plan: BackendPlan): Promise<void> {
    const node = this.getNode(nodeId);
    const child = startProcess('standins/main.js', [
      'backend',
      `--id=${plan.id}`,
      `--service=${plan.service}`,
      `--pool=${plan.pool}`,
      `--announce=http://${node.announce}`,
      `--slots=${plan.slots}`,
      `--work-ms=${plan.workMs}`,
      `--cold-start-ms=${plan.coldStartMs ?? 0}`,
      `--address=${node.address}`,
    ]);
    const port = await readListening(child);
    this.backends.set(plan.id, {
      id: plan.id,
      service: plan.service,
      node: nodeId,
      url: `http://${node.address}:${port}`,
      process: child,
    });
  }

  getNode(id: string): LocalNode {
    const node = this.nodes.get(id);
    if (!node) throw new Error(`no node ${id} in this fleet`);
    return node;
  }

  getBackend(id: string): LocalBackend {
    const backend = this.backends.get(id);
    if (!backend) throw new Error(`no backend server ${id} in this fleet`);
    return backend;
  }

  /** Plans and confirms changes through one node. */
  async applyChanges(
    nodeId: string,
    changes: readonly Change[],
  ): Promise<number> {
    const plan = (await this.callAdmin(nodeId, 'POST', '/v1/plans', {
      changes,
    })) as {plan: string};
    const outcome = (await this.callAdmin(
      nodeId,
      'POST',
      `/v1/plans/${plan.plan}/confirm`,
      {},
    )) as {version: number};
    return outcome.version;
  }

  /** Calls the administration API of a node; throws with its message if it refuses. */
  async callAdmin(
    nodeId: string,
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<unknown> {
    const answer = await request(
      `http://${this.getNode(nodeId).admin}${path}`,
      {
        method,
        headers: {
          authorization: `Bearer ${localSecrets.operatorToken}`,
          ...(body !== undefined && {'content-type': 'application/json'}),
        },
        body: body === undefined ? undefined : JSON.stringify(body),
      },
    );
    const value = (await answer.body.json()) as {error?: {message: string}};
    if (value.error) throw new Error(value.error.message);
    return value;
  }

  /** Switches faults of the log stand-in. */
  async setLogFaults(faults: Record<string, unknown>): Promise<void> {
    await postJson(`${this.logUrl}/faults`, faults);
  }

  /** Switches faults of a backend server. */
  async setBackendFaults(
    id: string,
    faults: Record<string, unknown>,
  ): Promise<void> {
    await postJson(`${this.getBackend(id).url}/faults`, faults);
  }

  /** Waits until the check holds; throws with its description after the time given. */
  async waitUntil(
    description: string,
    timeoutMs: number,
    check: () => boolean | Promise<boolean>,
  ): Promise<void> {
    const end = systemClock.getTime() + timeoutMs;
    while (systemClock.getTime() < end) {
      if (await check()) return;
      await systemClock.sleep(50);
    }
    throw new Error(`not within ${timeoutMs} ms: ${description}`);
  }

  /** Ends all processes of this fleet. */
  async stop(): Promise<void> {
    const running = [
      // A node that was prepared but never started has no process.
      ...[...this.nodes.values()].map(
        node => node.process as RunningProcess | undefined,
      ),
      ...[...this.backends.values()].map(backend => backend.process),
      this.log,
    ];
    for (const child of running) {
      child?.kill('SIGCONT');
      child?.kill('SIGKILL');
    }
    await Promise.all(running.map(child => child?.ended));
    rmSync(this.folder, {recursive: true, force: true});
  }

  private async startLog(): Promise<void> {
    this.log = startProcess('standins/main.js', ['log']);
    this.logUrl = `http://127.0.0.1:${await readListening(this.log)}`;
  }

  private async prepareNodes(plans: readonly NodePlan[]): Promise<void> {
    const prepared = await Promise.all(
      plans.map(async (plan, index) => {
        const [second, third] = this.network;
        const address = `127.${second}.${third + Math.floor(index / 250)}.${1 + (index % 250)}`;
        return {plan, address, ports: await findFreePorts(address, 5)};
      }),
    );
    this.seeds = prepared
      .slice(0, 3)
      .map(({address, ports}) => `${address}:${ports[2]}`);
    for (const {plan, address, ports} of prepared) {
      const configPath = join(this.folder, `${plan.id}.toml`);
      writeFileSync(configPath, this.renderSettings(plan, address, ports));
      this.nodes.set(plan.id, {
        id: plan.id,
        dataCentre: plan.dataCentre,
        address,
        callers: `${address}:${ports[0]}`,
        announce: `${address}:${ports[3]}`,
        admin: `${address}:${ports[4]}`,
        configPath,
        process: undefined as unknown as RunningProcess,
      });
    }
  }

  private renderSettings(
    plan: NodePlan,
    address: string,
    ports: readonly number[],
  ): string {
    return `
[node]
id = "${plan.id}"
data_centre = "${plan.dataCentre}"
region = "${plan.region}"
address = "${address}"
[ports]
callers = ${ports[0]}
data = ${ports[1]}
peers = ${ports[2]}
announce = ${ports[3]}
admin = ${ports[4]}
[peers]
seeds = ${JSON.stringify(this.seeds)}
cluster_key = "${localSecrets.clusterKey}"
[log]
url = "${this.logUrl}"
timeout = "1s"
[admin]
operator_token = "${localSecrets.operatorToken}"
`;
  }
}

async function readListening(child: RunningProcess): Promise<number> {
  const line = await child.waitForLine(text => text.includes('"listening"'));
  return (JSON.parse(line) as {listening: number}).listening;
}

async function postJson(url: string, body: unknown): Promise<void> {
  const answer = await request(url, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(body),
  });
  await answer.body.dump();
}
