import {randomInt} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {request} from 'undici';
import {systemClock} from '../base/index.js';
import {Change} from '../config/index.js';
import {Cut, openRelay, Relay, RequestRun} from '../standins/index.js';
import {findFreePorts} from './ports.js';
import {RunningProcess, startProcess} from './process.js';
import {localSecrets, renderSettings} from './settings_text.js';

/** A node of a local fleet. */
export interface LocalNode {
  readonly id: string;
  readonly dataCentre: string;
  readonly address: string;
  /** IP:port of the port for callers; likewise for administration and announcements. */
  readonly callers: string;
  readonly admin: string;
  readonly announce: string;
  readonly configPath: string;
  /** Relays in front of the data and peer ports, whose directions can be cut. */
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

/** Options of a local fleet. */
export interface FleetOptions {
  /** Whether links between nodes pass through relays that can be cut; benchmarks of latency do without them. */
  readonly relays: boolean;
}

interface LinkCut {
  readonly from: string;
  readonly to: string;
}

/** Specification of one node and its backend servers. */
export interface NodeSpec {
  readonly id: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly backends: readonly BackendSpec[];
}

/** Specification of one backend server. */
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
  private runsOfEndedProcesses: readonly RequestRun[] = [];
  private seeds: readonly string[] = [];
  private nodeSpecs: readonly NodeSpec[] = [];
  private linkCuts: readonly LinkCut[] = [];
  // Ports found free are not reserved until the nodes listen on them; the fleet has its own random loopback network, so
  // that no other fleet takes them.
  private readonly networkOctets = [
    randomInt(1, 255),
    randomInt(0, 250),
  ] as const;

  /** Starts the log stand-in, all nodes and all backend servers. */
  static async start(
    specs: readonly NodeSpec[],
    options: FleetOptions = {relays: true},
  ): Promise<LocalFleet> {
    const fleet = new LocalFleet();
    fleet.options = options;
    fleet.nodeSpecs = specs;
    try {
      await fleet.startLog();
      await fleet.prepareNodes(specs);
      await Promise.all(specs.map(spec => fleet.startNode(spec.id)));
      await Promise.all(
        specs.flatMap(spec =>
          spec.backends.map(backend => fleet.startBackend(spec.id, backend)),
        ),
      );
      return fleet;
    } catch (error) {
      // The caller does not receive the fleet and cannot stop it; its processes would keep running.
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

  async startBackend(nodeId: string, spec: BackendSpec): Promise<void> {
    const node = this.getNode(nodeId);
    const child = startProcess('standins/main.js', [
      'backend',
      `--id=${spec.id}`,
      `--service=${spec.service}`,
      `--pool=${spec.pool}`,
      `--announce=http://${node.announce}`,
      `--slots=${spec.slots}`,
      `--work-ms=${spec.workMs}`,
      `--cold-start-ms=${spec.coldStartMs ?? 0}`,
      `--address=${node.address}`,
    ]);
    const port = await readListeningPort(child);
    this.backends.set(spec.id, {
      id: spec.id,
      service: spec.service,
      node: nodeId,
      url: `http://${node.address}:${port}`,
      process: child,
    });
  }

  /** Kills the backend server and starts it again in its VM, as a new incarnation. */
  async restartBackend(id: string): Promise<void> {
    const old = this.getBackend(id);
    old.process.kill('SIGKILL');
    await old.process.ended;
    this.runsOfEndedProcesses = [
      ...this.runsOfEndedProcesses,
      ...readRuns(old.process),
    ];
    const spec = this.nodeSpecs
      .flatMap(node => node.backends)
      .find(backend => backend.id === id);
    if (spec) await this.startBackend(old.node, spec);
  }

  /** Lists the requests other than GET that backend servers have run, including processes that have ended. */
  listRuns(): readonly RequestRun[] {
    const running = [...this.backends.values()].flatMap(backend =>
      readRuns(backend.process),
    );
    return [...this.runsOfEndedProcesses, ...running];
  }

  /** Fetches from a backend server the requests that it has run since its start, of all methods. */
  async fetchRuns(id: string): Promise<readonly RequestRun[]> {
    const answer = await request(`${this.getBackend(id).url}/runs`);
    return (await answer.body.json()) as readonly RequestRun[];
  }

  /** Drops all bytes from one node to another; the opposite direction is not affected. */
  cutLink(from: string, to: string): void {
    this.linkCuts = [...this.linkCuts, {from, to}];
    this.applyCuts();
  }

  /** Ends all cuts. */
  healLinks(): void {
    this.linkCuts = [];
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

  /** Calls the administration API of a node; throws an error with the message of an error response. */
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

  /** Sets the faults of the log stand-in. */
  async setLogFaults(faults: Record<string, unknown>): Promise<void> {
    await postJson(`${this.logUrl}/faults`, faults);
  }

  /** Sets the faults of a backend server. */
  async setBackendFaults(
    id: string,
    faults: Record<string, unknown>,
  ): Promise<void> {
    await postJson(`${this.getBackend(id).url}/faults`, faults);
  }

  /** Makes a backend server announce that it is draining. */
  async drainBackend(id: string): Promise<void> {
    await postJson(`${this.getBackend(id).url}/drain`, {});
  }

  /** Waits until the check holds; throws an error with its description after the timeout. */
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

  // Bytes from A to B are requests from A at B's relays, and replies to B at A's relays.
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
    return this.linkCuts.some(cut => cut.from === from && cut.to === to);
  }

  private async startLog(): Promise<void> {
    this.log = startProcess('standins/main.js', ['log']);
    this.logUrl = `http://127.0.0.1:${await readListeningPort(this.log)}`;
  }

  private async prepareNodes(specs: readonly NodeSpec[]): Promise<void> {
    const prepared = await Promise.all(
      specs.map(async (spec, index) => {
        const [second, third] = this.networkOctets;
        const address = `127.${second}.${third + Math.floor(index / 250)}.${1 + (index % 250)}`;
        const ports = await findFreePorts(address, 5);
        const relayedPorts = this.options.relays ? [ports[1], ports[2]] : [];
        const relays = await Promise.all(
          relayedPorts.map(port =>
            openRelay({address, port: 0, target: `${address}:${port}`}),
          ),
        );
        return {spec, address, ports, relays};
      }),
    );
    this.seeds = prepared
      .slice(0, 3)
      .map(
        ({address, ports, relays}) =>
          relays[1]?.address ?? `${address}:${ports[2]}`,
      );
    for (const {spec, address, ports, relays} of prepared) {
      const configPath = join(this.folder, `${spec.id}.toml`);
      writeFileSync(
        configPath,
        renderSettings({
          id: spec.id,
          dataCentre: spec.dataCentre,
          region: spec.region,
          address,
          ports,
          relays,
          seeds: this.seeds,
          logUrl: this.logUrl,
        }),
      );
      this.nodes.set(spec.id, {
        id: spec.id,
        dataCentre: spec.dataCentre,
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

function readRuns(child: RunningProcess): readonly RequestRun[] {
  return child.lines
    .filter(line => line.startsWith('{"run"'))
    .map(line => (JSON.parse(line) as {run: RequestRun}).run);
}

async function readListeningPort(child: RunningProcess): Promise<number> {
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
