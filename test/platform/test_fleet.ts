import {ExecutionContext} from 'ava';
import {request} from 'undici';
import {
  asId,
  DataCentreId,
  NodeId,
  openSilentLogger,
  ServiceId,
  systemClock,
} from '../../src/base/index.js';
import {SidecarNode, SidecarSettings} from '../../src/sidecar/index.js';
import {
  buildAnnouncementPort,
  buildReadinessPort,
  createLogStore,
  nodesTopic,
  operatorConfigKey,
  operatorTopic,
  parseOperatorConfig,
  platformHeaders,
} from '../../platform/index.js';
import {BackendStandIn} from './backend_standin.js';
import {StoreStandIn} from './store_standin.js';

const pollIntervalMs = 20;
const timeoutMs = 8000;
/** Each fleet has its own loopback addresses, so that tests can run in parallel. */
const basePort = 20_000 + (process.pid % 300) * 100;
const network = `127.${10 + (process.pid % 240)}`;
let fleets = 0;

/** One VM with a node and a backend server. */
export interface Vm {
  readonly node: SidecarNode;
  readonly settings: SidecarSettings;
  readonly backend: BackendStandIn;
}

/** An answer as the caller received it. */
export interface CallerAnswer {
  readonly status: number;
  readonly body: string;
  readonly signature: string | null;
}

/** Waits until a condition holds. */
export async function waitUntil(check: () => boolean | Promise<boolean>) {
  const end = Date.now() + timeoutMs;
  while (!(await check())) {
    if (Date.now() > end) throw new Error('condition not met in time');
    await systemClock.sleep(pollIntervalMs);
  }
}

/** Makes a configuration with the routes `/safe/` and `/unsafe/` of host `h` to service `bench`. */
export function makeConfig(version: number, changes: object = {}) {
  const route = {
    host: 'h',
    service: 'bench',
    timeout_ms: 3000,
    target_latency_ms: 300,
    priority: 1,
    max_attempts: 2,
  };
  return {
    version: `r${version}`,
    routes: {
      safe: {...route, path_prefix: '/safe/', route_type: 'safe'},
      unsafe: {...route, path_prefix: '/unsafe/', route_type: 'unsafe'},
      ...changes,
    },
    services: {bench: {health_path: '/healthz', max_connections: 50}},
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 65_536,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
  };
}

/** Makes a configuration to which each version N from the second on has added a route `/vN/`. */
export function makeGrownConfig(version: number) {
  const {safe} = makeConfig(1).routes;
  const routes: Record<string, object> = {};
  for (let added = 2; added <= version; added += 1) {
    routes[`v${added}`] = {...safe, path_prefix: `/v${added}/`};
  }
  return makeConfig(version, routes);
}

/** Nodes on loopback addresses, with stand-ins for the store and the backend servers. */
export class TestFleet {
  readonly store = new StoreStandIn();
  readonly vms: Vm[] = [];
  private readonly basePort = basePort;
  private readonly subnet = `${network}.${(fleets += 1)}`;
  private storeUrl = '';
  private requests = 0;

  /** Starts the store with a first configuration, and VMs; resolves when all guards know each other. */
  async start(t: ExecutionContext, count: number): Promise<void> {
    this.storeUrl = await this.store.start();
    this.store.writeConfig(makeConfig(1));
    t.teardown(() => {
      this.store.stop();
      for (const {backend} of this.vms) backend.stop();
    });
    for (let index = 0; index < count; index += 1) await this.addVm(t);
    await this.announce();
    await this.waitForGuards(count);
  }

  /** Kills the node of a VM and starts another process in its place; the backend server runs on and sends no report. */
  async restartNode(t: ExecutionContext, index: number): Promise<void> {
    const {settings, backend, node: killed} = this.vms[index];
    killed.abort();
    const node = this.buildNode(settings);
    this.vms[index] = {node, settings, backend};
    t.teardown(() => node.abort());
    await node.start();
  }

  /** Kills all nodes at the same time, so that none can tell another what it knew, and starts them again. */
  async restartAll(t: ExecutionContext): Promise<void> {
    for (const {node} of this.vms) node.abort();
    await Promise.all(this.vms.map((_, index) => this.restartNode(t, index)));
  }

  async addVm(t: ExecutionContext): Promise<Vm> {
    const index = this.vms.length + 1;
    const host = `${this.subnet}.${index}`;
    const makeAddress = (offset: number) => ({
      host,
      port: this.basePort + offset,
    });
    const settings: SidecarSettings = {
      node: asId<NodeId>(`n${index}`),
      address: host,
      dataCentre: asId<DataCentreId>('z'),
      backendAddress: `${host}:${this.basePort}`,
      service: asId<ServiceId>('bench'),
      callers: makeAddress(1),
      readiness: makeAddress(2),
      announcements: makeAddress(3),
      linkPort: this.basePort + 4,
      linkAddress: `${host}:${this.basePort + 4}`,
      memoryLimit: 350 * 1024 * 1024,
      storeUrl: this.storeUrl,
      graceMs: 4000,
      repeats: {ratio: 0.2, windowMs: 10_000, extra: 50},
    };
    const node = this.buildNode(settings);
    const backend = new BackendStandIn(
      `s${index}`,
      'bench',
      host,
      this.basePort,
      `http://${host}:${this.basePort + 3}`,
    );
    await backend.start();
    const vm = {node, settings, backend};
    this.vms.push(vm);
    t.teardown(() => node.abort());
    await node.start();
    return vm;
  }

  private buildNode(settings: SidecarSettings): SidecarNode {
    return new SidecarNode(
      settings,
      {
        store: createLogStore(settings.storeUrl, settings.address),
        routingSource: {
          topic: operatorTopic,
          key: operatorConfigKey,
          decode: parseOperatorConfig,
        },
        nodesTopic,
        metricsPort: this.basePort + 5,
        portBuilders: {
          buildAnnouncementPort: guard =>
            buildAnnouncementPort({
              onReport: report => guard.presence.applyReport(report),
              onMalformed: () => undefined,
              onDeregister: notice =>
                guard.presence.recordDeregistration(notice),
            }),
          buildReadinessPort,
        },
      },
      systemClock,
      openSilentLogger(),
    );
  }

  async announce(): Promise<void> {
    for (const {backend} of this.vms) await backend.announce();
  }

  /** Waits until each node knows this number of guards with a backend server. */
  async waitForGuards(count: number): Promise<void> {
    const service = asId<ServiceId>('bench');
    await waitUntil(() =>
      this.vms.every(({node}) => node.listGuards(service).length === count),
    );
  }

  /** Sends one request to the entry of a VM's node. */
  async send(
    vm: Vm,
    path: string,
    options: {readonly method?: string; readonly signal?: AbortSignal} = {},
  ): Promise<CallerAnswer> {
    this.requests += 1;
    const {callers} = vm.settings;
    // Unlike `fetch`, undici's `request` allows setting the host header.
    const answer = await request(
      `http://${callers.host}:${callers.port}${path}`,
      {
        method: options.method === 'POST' ? 'POST' : 'GET',
        body: options.method === 'POST' ? 'payload' : undefined,
        signal: options.signal,
        headers: {
          host: 'h',
          [platformHeaders.requestId]: `r${this.requests}`,
          [platformHeaders.remainingMs]: '3000',
        },
      },
    );
    const signature = answer.headers[platformHeaders.signature];
    return {
      status: answer.statusCode,
      body: await answer.body.text(),
      signature: typeof signature === 'string' ? signature : null,
    };
  }

  async isReady({settings}: Vm): Promise<boolean> {
    const {host, port} = settings.readiness;
    const answer = await fetch(`http://${host}:${port}/api/readyz`);
    return answer.status === 200;
  }

  /** Ids of the requests run by all backend servers. */
  listRuns(): readonly string[] {
    return this.vms.flatMap(({backend}) => backend.runs);
  }
}
