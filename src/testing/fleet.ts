import {randomInt} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {request} from 'undici';
import {systemClock} from '../base/index.js';
import {Change} from '../config/index.js';
import {Cut, openRelay, Relay, Run} from '../standins/index.js';
import {findFreePorts} from './ports.js';
import {RunningProcess, startProcess} from './process.js';
import {localSecrets, renderSettings} from './settings_text.js';

/** A node of a local fleet. */
export interface LocalNode {
  readonly id: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly callers: string;
  readonly admin: string;
  readonly announce: string;
  readonly configPath: string;
  /** Relays before the data and peer ports, whose directions can be cut. */
  readonly relays: readonly Relay[];
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

/** How a local fleet is set up. */
export interface FleetOptions {
  /** Whether links between nodes pass relays that can be cut; measurements of latency do without. */
  readonly relays: boolean;
}

interface LinkCut {
  readonly from: string;
  readonly to: string;
}

/** Shape of one node with its backend servers. */
export interface NodeSpec {
  readonly id: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly backends: readonly BackendSpec[];
}

/** Shape of one backend server. */
export interface BackendSpec {
  readonly id: string;
  readonly service: string;
  readonly pool: string;
  readonly slots: number;
  readonly workMs: number;
  readonly coldStartMs?: number;
}

/** A fleet of real processes on the loopback interface: log stand-in, nodes, backend servers. */
export class LocalFleet {
  readonly nodes = new Map<string, LocalNode>();
  readonly backends = new Map<string, LocalBackend>();
  logUrl = '';
  private log: RunningProcess | undefined;
  private readonly folder = mkdtempSync(join(tmpdir(), 'fescuewheel-'));
  private options: FleetOptions = {relays: true};
  private endedRuns: readonly Run[] = [];
  private seeds: readonly string[] = [];
  private plans: readonly NodeSpec[] = [];
  private cuts: readonly LinkCut[] = [];
  // Ports found free are not held until the nodes listen; with a network of its own no other fleet takes them.
  private readonly network = [randomInt(1, 255), randomInt(0, 250)] as const;

  /** Starts the log stand-in, all nodes and all backend servers. */
  static async start(
    plans: readonly NodeSpec[],
    options: FleetOptions = {relays: true},
  ): Promise<LocalFleet> {
    const fleet = new LocalFleet();
    fleet.options = options;
    fleet.plans = plans;
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

  async startBackend(nodeId: string, plan: BackendSpec): Promise<void> {
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

  /** Starts the backend server anew in its VM, as a new incarnation. */
  async restartBackend(id: string): Promise<void> {
    const old = this.getBackend(id);
    old.process.kill('SIGKILL');
    await old.process.ended;
    this.endedRuns = [...this.endedRuns, ...readRuns(old.process)];
    const plan = this.plans
      .flatMap(node => node.backends)
      .find(backend => backend.id === id);
    if (plan) await this.startBackend(old.node, plan);
  }

  /** Runs of methods other than GET on all backend servers, also those that ended since. */
  listRuns(): readonly Run[] {
    const running = [...this.backends.values()].flatMap(backend =>
      readRuns(backend.process),
    );
    return [...this.endedRuns, ...running];
  }

  /** All runs of one backend server since its start, by its own account. */
  async fetchRuns(id: string): Promise<readonly Run[]> {
    const answer = await request(`${this.getBackend(id).url}/runs`);
    return (await answer.body.json()) as readonly Run[];
  }

  /** Cuts bytes from one node to another; replies to its requests pass unless the other way is cut too. */
  cutLink(from: string, to: string): void {
    this.cuts = [...this.cuts, {from, to}];
    this.applyCuts();
  }

  /** Ends all cuts. */
  healLinks(): void {
    this.cuts = [];
    this.applyCuts();
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

  /** Makes a backend server announce that it drains. */
  async drainBackend(id: string): Promise<void> {
    await postJson(`${this.getBackend(id).url}/drain`, {});
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
    for (const node of this.nodes.values()) {
      for (const relay of node.relays) relay.close();
    }
    rmSync(this.folder, {recursive: true, force: true});
  }

  // Bytes from A to B are the requests of A at B's relays and the replies to B at A's relays.
  private applyCuts(): void {
    for (const node of this.nodes.values()) {
      const cuts: Cut[] = [...this.nodes.values()].map(other => ({
        source: other.address,
        request: this.isCut(other.id, node.id),
        reply: this.isCut(node.id, other.id),
      }));
      for (const relay of node.relays) relay.setCuts(cuts);
    }
  }

  private isCut(from: string, to: string): boolean {
    return this.cuts.some(cut => cut.from === from && cut.to === to);
  }

  private async startLog(): Promise<void> {
    this.log = startProcess('standins/main.js', ['log']);
    this.logUrl = `http://127.0.0.1:${await readListening(this.log)}`;
  }

  private async prepareNodes(plans: readonly NodeSpec[]): Promise<void> {
    const prepared = await Promise.all(
      plans.map(async (plan, index) => {
        const [second, third] = this.network;
        const address = `127.${second}.${third + Math.floor(index / 250)}.${1 + (index % 250)}`;
        const ports = await findFreePorts(address, 5);
        const relayed = this.options.relays ? [ports[1], ports[2]] : [];
        const relays = await Promise.all(
          relayed.map(port =>
            openRelay({address, port: 0, target: `${address}:${port}`}),
          ),
        );
        return {plan, address, ports, relays};
      }),
    );
    this.seeds = prepared
      .slice(0, 3)
      .map(
        ({address, ports, relays}) =>
          relays[1]?.address ?? `${address}:${ports[2]}`,
      );
    for (const {plan, address, ports, relays} of prepared) {
      const configPath = join(this.folder, `${plan.id}.toml`);
      writeFileSync(
        configPath,
        renderSettings({
          id: plan.id,
          dataCentre: plan.dataCentre,
          region: plan.region,
          address,
          ports,
          relays,
          seeds: this.seeds,
          logUrl: this.logUrl,
        }),
      );
      this.nodes.set(plan.id, {
        id: plan.id,
        dataCentre: plan.dataCentre,
        address,
        callers: `${address}:${ports[0]}`,
        announce: `${address}:${ports[3]}`,
        admin: `${address}:${ports[4]}`,
        configPath,
        relays,
        process: undefined as unknown as RunningProcess,
      });
    }
  }
}

function readRuns(child: RunningProcess): readonly Run[] {
  return child.lines
    .filter(line => line.startsWith('{"run"'))
    .map(line => (JSON.parse(line) as {run: Run}).run);
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
