import {createServer, Server} from 'node:http';
import {
  asId,
  BackendServerId,
  Clock,
  DataCentreId,
  Logger,
  Millis,
  NodeId,
  openSilentLogger,
  RegionId,
  ServiceId,
  systemClock,
} from '../base/index.js';
import {LogClient} from '../logservice/index.js';
import {
  DiscoveryLog,
  NodeRecord,
  OwnRecord,
  OwnState,
  PeerLinkManager,
  Roster,
  ServerReport,
} from '../membership/index.js';

// Derived from the process id, so that concurrent runs, such as tests in two checkouts, use different addresses.
const addressBlock = process.pid % 250;
const dataPort = 10_000 + 2 * (Math.floor(process.pid / 250) % 5000);
const peerPort = dataPort + 1;

/** Settings of a node that runs only membership. */
export interface MembershipNodePlan {
  readonly id: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly seeds: readonly string[];
  readonly servers: number;
  readonly clusterKey?: string;
  readonly incarnation?: number;
  /** Address that other nodes dial, if it differs from the node's own, such as that of a relay. */
  readonly peerAddress?: string;
  readonly dataAddress?: string;
}

/** Creates an in-memory log that holds only the stream `contacts`. */
export function makeMemoryLog(): LogClient {
  const records: {offset: number; atMs: Millis; value: unknown}[] = [];
  return {
    append: async (_stream, values) => {
      const offset = records.length;
      for (const value of values) {
        records.push({offset: records.length, atMs: 0, value});
      }
      return offset;
    },
    read: async (_stream, from, limit) => ({
      firstOffset: 0,
      nextOffset: records.length,
      records: records.slice(from, from + limit),
    }),
    close: async () => undefined,
  };
}

/** Returns the reports of one node's backend servers, spread over 120 services as at the design size. */
export function makeServerReports(node: string, count: number): ServerReport[] {
  const start = Number(node.replace(/\D/g, '')) * count;
  return Array.from({length: count}, (_, index) => ({
    server: asId<BackendServerId>(`server-${node}-${index}`),
    service: asId<ServiceId>(`service-${(start + index) % 120}`),
    pool: `pool-${(start + index) % 120}`,
    incarnation: 1_790_000_000_000 + index,
    slots: 5,
    phase: 'ready' as const,
    health: {kind: 'healthy' as const},
    typicalMs: 8,
  }));
}

/** Returns the first record of a node. */
export function makeNodeRecord(
  plan: MembershipNodePlan,
  atMs: Millis,
): NodeRecord {
  return {
    node: asId<NodeId>(plan.id),
    incarnation: plan.incarnation ?? Math.floor(atMs),
    version: 0,
    dataCentre: asId<DataCentreId>(plan.dataCentre),
    region: asId<RegionId>(plan.region),
    peerAddress: plan.peerAddress ?? `${plan.address}:${peerPort}`,
    dataAddress: plan.dataAddress ?? `${plan.address}:${dataPort}`,
    adminAddress: `${plan.address}:7403`,
    state: 'serving',
    configVersion: 0,
    servers: makeServerReports(plan.id, plan.servers),
    suspicions: [],
  };
}

/** A node that runs only membership: real links, a data port that responds with 401, and no other role. */
export class MembershipNode {
  readonly roster: Roster;
  readonly own: OwnRecord;
  readonly links: PeerLinkManager;
  configVersion = 0;
  readonly newerConfigVersions: {
    readonly node: NodeId;
    readonly version: number;
  }[] = [];
  private readonly stopController = new AbortController();
  private readonly dataPort: Server;
  private linkTask: Promise<void> = Promise.resolve();

  constructor(
    readonly plan: MembershipNodePlan,
    log: LogClient = makeMemoryLog(),
    clock: Clock = systemClock,
    logger: Logger = openSilentLogger(),
  ) {
    const firstRecord = makeNodeRecord(plan, clock.getTime());
    const {node, peerAddress} = firstRecord;
    this.roster = new Roster(clock);
    this.own = new OwnRecord(
      firstRecord,
      this.roster,
      clock,
      Math.random,
      logger,
    );
    this.links = new PeerLinkManager(
      {
        listenAddress: `${plan.address}:${peerPort}`,
        localAddress: plan.address,
        seeds: plan.seeds,
        clusterKey: plan.clusterKey ?? 'cluster-key-0001',
        getConfigVersion: () => this.configVersion,
        onNewerConfigVersion: (record, version) =>
          this.newerConfigVersions.push({node: record.node, version}),
        onSuspicionsChange: () => this.publish({}),
      },
      this.own,
      this.roster,
      new DiscoveryLog(log, {node, peerAddress}, clock, Math.random, logger),
      clock,
      Math.random,
      logger,
    );
    this.dataPort = createServer((_request, response) => {
      response.writeHead(401, {connection: 'close'});
      response.end();
    });
  }

  async start(): Promise<void> {
    const {address} = this.plan;
    await new Promise<void>(resolve =>
      this.dataPort.listen(dataPort, address, resolve),
    );
    this.linkTask = this.links.run(this.stopController.signal);
  }

  publish(change: Partial<OwnState>): void {
    const {state, configVersion, servers} = this.own.get();
    const suspicions = this.links.listSuspicions();
    this.own.update({state, configVersion, servers, suspicions, ...change});
  }

  /** Switches one backend server between ready and draining, and publishes the change. */
  publishPhaseChange(index: number): void {
    const {servers} = this.own.get();
    this.publish({
      servers: servers.map((report, i) =>
        i === index
          ? {...report, phase: report.phase === 'ready' ? 'draining' : 'ready'}
          : report,
      ),
    });
  }

  async closeDataPort(): Promise<void> {
    this.dataPort.closeAllConnections();
    await new Promise<void>(resolve => this.dataPort.close(() => resolve()));
  }

  async stop(): Promise<void> {
    this.stopController.abort();
    if (this.dataPort.listening) await this.closeDataPort();
    await this.linkTask;
  }
}

/**
 * Returns the loopback address of the node at an index. Indexes beyond the fleet give addresses for other listeners.
 * `network` is the second octet of the address, so that the fleets of one process can have different networks.
 */
export function makeLoopbackAddress(network: number, index: number): string {
  return `127.${network}.${addressBlock}.${1 + index}`;
}

/**
 * Plans a fleet of at most 250 nodes on the loopback interface, in 6 data centres and 2 regions. The first 3 nodes are the
 * seeds.
 */
export function planMembershipFleet(
  count: number,
  network: number,
  servers = 12,
): readonly MembershipNodePlan[] {
  const seeds = [0, 1, 2].map(
    i => `${makeLoopbackAddress(network, i)}:${peerPort}`,
  );
  return Array.from({length: count}, (_, index) => ({
    id: `n${index}`,
    address: makeLoopbackAddress(network, index),
    dataCentre: `dc-${index % 6}`,
    region: index % 6 < 3 ? 'east' : 'west',
    seeds,
    servers,
  }));
}

/** Waits until the check holds, and returns the time it took. Throws an error after the timeout. */
export async function waitFor(
  description: string,
  timeoutMs: Millis,
  check: () => boolean,
): Promise<Millis> {
  const start = systemClock.getTime();
  while (systemClock.getTime() < start + timeoutMs) {
    if (check()) return systemClock.getTime() - start;
    await systemClock.sleep(10);
  }
  throw new Error(`not within ${timeoutMs} ms: ${description}`);
}
