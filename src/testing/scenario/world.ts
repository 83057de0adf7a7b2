import {hashSecret, Millis, systemClock} from '../../base/index.js';
import {Change} from '../../config/index.js';
import {BackendSpec, LocalFleet, NodeSpec} from '../fleet.js';
import {LoadGenerator, Exchange} from '../load_generator.js';

const dataCentresOf: Readonly<Record<string, readonly string[]>> = {
  ostregion: ['wien-nord', 'wien-sued', 'noe-tulln'],
  midlands: ['tamworth', 'lichfield', 'nuneaton'],
};
const callerToken = 'scenario-caller-0001';
const watchMs: Millis = 250;

/** The service that a scenario is about. */
export interface ServiceSpec {
  readonly service: string;
  readonly count: number;
  readonly slots: number;
  readonly floor: number;
  readonly preset: 'careful' | 'prompt';
}

interface StatusAnswer {
  readonly version: number;
  readonly serving: boolean;
  readonly services: readonly {
    readonly servers: readonly {
      readonly server: string;
      readonly verdict: {readonly kind: string; readonly reason?: string};
    }[];
  }[];
}

/** What one look at a node showed. */
export interface NodeSample {
  readonly node: string;
  readonly atMs: Millis;
  readonly version: number;
  readonly usable: number;
  readonly ejected: readonly string[];
}

/** A running fleet with its callers and what was seen of both. */
export class World {
  fleet!: LocalFleet;
  serviceSpec!: ServiceSpec;
  /** Time of the latest event, from which the waits of checks count. */
  lastEventMs: Millis = 0;
  readonly nodeSamples: NodeSample[] = [];
  readonly stepResults = new Map<string, unknown>();
  private readonly loads: LoadGenerator[] = [];
  private readonly watching = new AbortController();
  private watch: Promise<void> = Promise.resolve();
  private stopped: readonly Exchange[] | undefined;

  /** Starts the fleet of one service, a node beside each backend server, and confirms its configuration. */
  async start(plan: ServiceSpec): Promise<void> {
    this.serviceSpec = plan;
    this.fleet = await LocalFleet.start(makeNodes(plan));
    const version = await this.fleet.applyChanges('n1', makeChanges(plan));
    await this.fleet.waitUntil('all servers usable on all nodes', 15_000, () =>
      this.isTrueOnAllNodes(
        status =>
          status.version >= version && countUsable(status) === plan.count,
      ),
    );
    this.watch = this.watchNodes();
    this.markEvent();
  }

  /** Sets the time from which waits count. */
  markEvent(): void {
    this.lastEventMs = systemClock.getTime();
  }

  startLoad(
    method: 'GET' | 'POST',
    ratePerSecond: number,
    keyed: boolean,
    targets: readonly string[] = [...this.fleet.nodes.keys()],
  ): void {
    this.loads.push(
      new LoadGenerator({
        targets: targets.map(id => this.fleet.getNode(id).callers),
        ratePerSecond,
        method,
        pathPrefix: '/records',
        callerToken,
        hasIdempotencyKeys: keyed,
      }),
    );
  }

  /** Ends the load once and gives all exchanges. */
  async finishLoad(): Promise<readonly Exchange[]> {
    this.stopped ??= (
      await Promise.all(this.loads.map(load => load.stop()))
    ).flat();
    return this.stopped;
  }

  /** Status of a node, undefined if it does not answer. */
  async getStatus(node: string): Promise<StatusAnswer | undefined> {
    const status = this.fleet.callAdmin(node, 'GET', '/v1/status');
    return Promise.race([
      status.catch(() => undefined),
      systemClock.sleep(1000).then(() => undefined),
    ]) as Promise<StatusAnswer | undefined>;
  }

  /** Tells whether the check holds on all nodes that answer. */
  async isTrueOnAllNodes(
    check: (status: StatusAnswer) => boolean,
  ): Promise<boolean> {
    const statuses = await Promise.all(
      [...this.fleet.nodes.keys()].map(id => this.getStatus(id)),
    );
    const answered = statuses.filter(status => status !== undefined);
    return answered.length > 0 && answered.every(check);
  }

  /** Time of the newest decision of any node to send a request to the server. */
  findLastRoutingMs(server: string): Millis {
    let last = 0;
    for (const node of this.fleet.nodes.values()) {
      for (const line of node.process.lines) {
        if (!line.includes('"msg":"routed"')) continue;
        if (!line.includes(`"server":"${server}"`)) continue;
        const {time} = JSON.parse(line) as {time: string};
        last = Math.max(last, Date.parse(time));
      }
    }
    return last;
  }

  async stop(): Promise<void> {
    this.watching.abort();
    await this.watch;
    await this.finishLoad().catch(() => undefined);
    await this.fleet?.stop();
  }

  private async watchNodes(): Promise<void> {
    const {signal} = this.watching;
    while (!signal.aborted) {
      await Promise.all(
        [...this.fleet.nodes.keys()].map(async node => {
          const status = await this.getStatus(node);
          // A node that takes no requests yet, or no longer, promises nothing to callers.
          if (!status?.serving) return;
          this.nodeSamples.push({
            node,
            atMs: systemClock.getTime(),
            version: status.version,
            usable: countUsable(status),
            ejected: listEjected(status),
          });
        }),
      );
      await systemClock.sleep(watchMs, signal);
    }
  }
}

/** Id of a backend server by its number in the scenario. */
export function getServerId(world: World, index: number): string {
  return `${world.serviceSpec.service}-${index}`;
}

function countUsable(status: StatusAnswer): number {
  return status.services
    .flatMap(service => service.servers)
    .filter(({verdict}) => verdict.kind !== 'excluded').length;
}

function listEjected(status: StatusAnswer): readonly string[] {
  return status.services
    .flatMap(service => service.servers)
    .filter(({verdict}) => ['failing', 'slow'].includes(verdict.reason ?? ''))
    .map(({server}) => server);
}

function makeNodes(plan: ServiceSpec): readonly NodeSpec[] {
  const region = ['lookup-desk', 'bench-log', 'cert-office'].includes(
    plan.service,
  )
    ? 'midlands'
    : 'ostregion';
  return Array.from({length: plan.count}, (_, i) => {
    const backend: BackendSpec = {
      id: `${plan.service}-${i + 1}`,
      service: plan.service,
      pool: plan.service,
      slots: plan.slots,
      workMs: 5,
    };
    return {
      id: `n${i + 1}`,
      dataCentre: dataCentresOf[region][i % 3],
      region,
      backends: [backend],
    };
  });
}

function makeChanges(plan: ServiceSpec): readonly Change[] {
  const {service} = plan;
  return [
    {
      kind: 'add-service',
      service,
      floor: plan.floor,
      preset: plan.preset,
      timeoutMs: 3000,
      stallMs: 1000,
    },
    {kind: 'add-pool', pool: service, service, expected: plan.count},
    {kind: 'set-partner', partner: 'partner-a', weight: 1},
    {
      kind: 'add-account',
      account: 'callers',
      partner: 'partner-a',
      tokenHash: hashSecret(callerToken),
    },
    {
      kind: 'add-route',
      route: 'records',
      host: '*',
      pathPrefix: '/records',
      service,
    },
  ];
}
