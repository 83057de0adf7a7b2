import {Millis, systemClock} from '../../base/index.js';
import {hashSecret} from '../../hash/index.js';
import {Change} from '../../config/index.js';
import {BackendSpec, LocalFleet, NodeSpec} from '../fleet.js';
import {LoadGenerator, Exchange} from '../load_generator.js';

const dataCentresByRegion: Readonly<Record<string, readonly string[]>> = {
  ostregion: ['wien-nord', 'wien-sued', 'noe-tulln'],
  midlands: ['tamworth', 'lichfield', 'nuneaton'],
};
const callerToken = 'scenario-caller-0001';
const statusPeriodMs: Millis = 250;

/** Configuration of the service that a scenario tests. */
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

/** Status of a node at one time. */
export interface NodeSample {
  readonly node: string;
  readonly atMs: Millis;
  readonly version: number;
  readonly usable: number;
  readonly ejected: readonly string[];
}

/** State that the steps of a scenario share: the fleet, its load generators and the samples of node status. */
export class World {
  fleet!: LocalFleet;
  serviceSpec!: ServiceSpec;
  /** Time of the latest event, from which the time limits of checks count. */
  lastEventMs: Millis = 0;
  readonly nodeSamples: NodeSample[] = [];
  readonly stepResults = new Map<string, unknown>();
  private readonly loads: LoadGenerator[] = [];
  private readonly stopping = new AbortController();
  private statusLoop: Promise<void> = Promise.resolve();
  private finishedExchanges: readonly Exchange[] | undefined;

  /** Starts a fleet with one service and one node per backend server, and confirms its configuration. */
  async start(serviceSpec: ServiceSpec): Promise<void> {
    this.serviceSpec = serviceSpec;
    this.fleet = await LocalFleet.start(makeNodes(serviceSpec));
    const version = await this.fleet.applyChanges(
      'n1',
      makeChanges(serviceSpec),
    );
    await this.fleet.waitUntil('all servers usable on all nodes', 15_000, () =>
      this.isTrueOnAllNodes(
        status =>
          status.version >= version &&
          countUsable(status) === serviceSpec.count,
      ),
    );
    this.statusLoop = this.recordNodeSamples();
    this.markEvent();
  }

  /** Sets the time from which the time limits of checks count to now. */
  markEvent(): void {
    this.lastEventMs = systemClock.getTime();
  }

  startLoad(
    method: 'GET' | 'POST',
    ratePerSecond: number,
    hasIdempotencyKeys: boolean,
    targets: readonly string[] = [...this.fleet.nodes.keys()],
  ): void {
    this.loads.push(
      new LoadGenerator({
        targets: targets.map(id => this.fleet.getNode(id).callers),
        ratePerSecond,
        method,
        pathPrefix: '/records',
        callerToken,
        hasIdempotencyKeys,
      }),
    );
  }

  /** Stops the load on the first call; returns all exchanges on each. */
  async finishLoad(): Promise<readonly Exchange[]> {
    this.finishedExchanges ??= (
      await Promise.all(this.loads.map(load => load.stop()))
    ).flat();
    return this.finishedExchanges;
  }

  /** Status of a node, undefined if it does not respond within 1 s. */
  async getStatus(node: string): Promise<StatusAnswer | undefined> {
    const status = this.fleet.callAdmin(node, 'GET', '/v1/status');
    return Promise.race([
      status.catch(() => undefined),
      systemClock.sleep(1000).then(() => undefined),
    ]) as Promise<StatusAnswer | undefined>;
  }

  /** Whether the check holds on all nodes that respond, and at least one does. */
  async isTrueOnAllNodes(
    check: (status: StatusAnswer) => boolean,
  ): Promise<boolean> {
    const statuses = await Promise.all(
      [...this.fleet.nodes.keys()].map(id => this.getStatus(id)),
    );
    const answered = statuses.filter(status => status !== undefined);
    return answered.length > 0 && answered.every(check);
  }

  /** Time at which a node last routed a request to the server, by the logs of all nodes. */
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
    this.stopping.abort();
    await this.statusLoop;
    await this.finishLoad().catch(() => undefined);
    await this.fleet?.stop();
  }

  private async recordNodeSamples(): Promise<void> {
    const {signal} = this.stopping;
    while (!signal.aborted) {
      await Promise.all(
        [...this.fleet.nodes.keys()].map(async node => {
          const status = await this.getStatus(node);
          // The guarantees do not apply to a node that does not accept requests yet or any more.
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
      await systemClock.sleep(statusPeriodMs, signal);
    }
  }
}

/** Returns the id of a backend server from its number in the scenario, counted from 1. */
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

function makeNodes(serviceSpec: ServiceSpec): readonly NodeSpec[] {
  const region = ['lookup-desk', 'bench-log', 'cert-office'].includes(
    serviceSpec.service,
  )
    ? 'midlands'
    : 'ostregion';
  return Array.from({length: serviceSpec.count}, (_, i) => {
    const backend: BackendSpec = {
      id: `${serviceSpec.service}-${i + 1}`,
      service: serviceSpec.service,
      pool: serviceSpec.service,
      slots: serviceSpec.slots,
      workMs: 5,
    };
    return {
      id: `n${i + 1}`,
      dataCentre: dataCentresByRegion[region][i % 3],
      region,
      backends: [backend],
    };
  });
}

function makeChanges(serviceSpec: ServiceSpec): readonly Change[] {
  const {service} = serviceSpec;
  return [
    {
      kind: 'add-service',
      service,
      floor: serviceSpec.floor,
      preset: serviceSpec.preset,
      timeoutMs: 3000,
      stallMs: 1000,
    },
    {kind: 'add-pool', pool: service, service, expected: serviceSpec.count},
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
