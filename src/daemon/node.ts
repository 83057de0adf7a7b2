import Fastify, {FastifyInstance} from 'fastify';
import * as E from 'fp-ts/lib/Either.js';
import {Registry} from 'prom-client';
import {buildAdminServer} from '../admin/index.js';
import {
  asId,
  BackendServerId,
  Clock,
  ConflictError,
  DataCentreId,
  Logger,
  Millis,
  NodeId,
  rankByRendezvous,
  RegionId,
  runEvery,
  ServiceId,
} from '../base/index.js';
import {
  buildConfigSubsystem,
  ConfigFollower,
  ConfigSubsystem,
  Service,
} from '../config/index.js';
import {Entry, NodeBackoff, GuardClient} from '../entry/index.js';
import {buildDataPort, Guard} from '../guard/index.js';
import {ServerWithVerdict, applyExclusionRule} from '../health/index.js';
import {createLogClient, LogClient} from '../logservice/index.js';
import {
  DiscoveryLog,
  findSuspectedNodes,
  NodeRecord,
  OwnRecord,
  PeerLinkManager,
  Roster,
} from '../membership/index.js';
import {NodeCallClient, NodeCallServer} from '../nodecalls/index.js';
import {KeyArbiter, KeyClient, KeySettings} from '../once/index.js';
import {Settings} from './settings.js';

const recordPeriodMs: Millis = 500;
const firstPeerMs: Millis = 1000;
const startCheckMs: Millis = 50;
/** Bound on the wait for the records of all nodes; callers are served with what is known after it. */
const rosterMs: Millis = 5000;
/** Time for the news that this node leaves to reach the entries; see docs/membership.md for what it takes. */
const leavingMs: Millis = 1000;
/** Time an arbiter of keys has beyond one append to the log. */
const arbiterSlackMs: Millis = 500;

/** One node: wires the modules together and owns this node's record. */
export class FleetNode {
  private readonly stopping = new AbortController();
  private readonly roster: Roster;
  private readonly log: LogClient;
  private readonly registry = new Registry();
  private readonly keyLog: LogClient;
  private readonly configRole: ConfigSubsystem;
  private readonly follower: ConfigFollower;
  private readonly guard: Guard;
  private readonly remotes: GuardClient;
  private readonly calls: NodeCallServer;
  private readonly callClient: NodeCallClient;
  private readonly arbiter: KeyArbiter;
  private readonly keys: KeyClient;
  private readonly entry: Entry;
  private readonly links: PeerLinkManager;
  private readonly servers: readonly FastifyInstance[];
  private readonly reach: NodeBackoff;
  private readonly own: OwnRecord;
  private leaving = false;
  private serving = false;

  constructor(
    private readonly settings: Settings,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    const {address} = settings.node;
    this.roster = new Roster(clock);
    this.reach = new NodeBackoff(clock);
    this.own = new OwnRecord(
      this.makeFirstRecord(),
      this.roster,
      clock,
      Math.random,
      logger,
    );
    const {node, peerAddress} = this.own.get();
    this.log = createLogClient({
      url: settings.log.url,
      timeoutMs: settings.log.timeout,
      localAddress: address,
    });
    const {cluster_key: clusterKey} = settings.peers;
    this.calls = new NodeCallServer(clusterKey);
    this.callClient = new NodeCallClient(clusterKey, address);
    this.configRole = buildConfigSubsystem({
      log: this.log,
      stream: settings.log.config_stream,
      clusterKey,
      snapshotIntervalMs: settings.log.snapshot_every,
      callServer: this.calls,
      callClient: this.callClient,
      listPeers: () => this.listPeers(),
      getRank: key => this.getRank(key),
      registry: this.registry,
      clock,
      random: Math.random,
      logger,
    });
    this.follower = this.configRole.follower;
    this.roster.onMerge(record => {
      if (record.node === this.own.get().node) return;
      this.follower.onPeerVersion(record, record.configVersion);
    });
    this.keyLog = createLogClient({
      url: settings.log.url,
      timeoutMs: settings.log.timeout,
      localAddress: address,
      // One long poll and one append for each partition if this node owns them all, and reads of outcomes.
      connections: 2 * settings.keys.partitions + 8,
    });
    this.guard = new Guard(
      {
        getConfiguration: () => this.follower.getConfiguration(),
        getBaseline: service => this.getBaseline(service),
        hasCommonCause: (server, service) =>
          this.hasCommonCause(server, service),
        onReportChange: () => this.publishRecord(),
      },
      clock,
      logger,
      address,
    );
    this.remotes = new GuardClient(clusterKey, clock, address);
    this.arbiter = this.buildArbiter();
    this.keys = this.buildKeyClient();
    this.entry = new Entry(
      {
        node,
        localGuard: this.guard,
        guardClient: this.remotes,
        keyClient: this.keys,
        evaluateServers: service => this.judge(service),
        onReachability: (node, reach) => this.reach.record(node, reach),
        isShuttingDown: () => this.leaving,
      },
      this.follower.getConfiguration(),
      clock,
      Math.random,
      logger,
    );
    this.roster.onMerge(() => this.entry.resetCandidates());
    this.follower.onChange(config => {
      this.entry.setConfiguration(config);
      this.publishRecord();
    });
    this.links = new PeerLinkManager(
      {
        listenAddress: `${address}:${settings.ports.peers}`,
        localAddress: address,
        seeds: settings.peers.seeds,
        clusterKey,
        getConfigVersion: () => this.follower.getConfiguration().version,
        onNewerConfigVersion: (record, version) =>
          this.follower.onPeerVersion(record, version),
        onSuspicionsChange: () => this.publishRecord(),
      },
      this.own,
      this.roster,
      new DiscoveryLog(
        this.log,
        {node, peerAddress},
        clock,
        Math.random,
        logger,
      ),
      clock,
      Math.random,
      logger,
    );
    this.servers = [
      buildDataPort(this.guard, clusterKey, clock, this.calls),
      this.buildAnnouncePort(),
      buildAdminServer({
        token: settings.admin.operator_token,
        follower: this.follower,
        roster: this.roster,
        isServing: () => this.serving && !this.leaving,
        evaluateServers: service => this.judge(service),
        planSubmitter: this.configRole.planSubmitter,
        registry: this.registry,
        logger,
      }),
      this.entry.app,
    ];
  }

  /** Opens all ports; the port for callers opens last, once the configuration is loaded. */
  async start(): Promise<void> {
    const {signal} = this.stopping;
    const {ports, node} = this.settings;
    void this.guard.run(signal);
    void this.links.run(signal);
    void this.arbiter.run(signal);
    void this.keys.run(signal);
    void runEvery(this.clock, recordPeriodMs, signal, () =>
      this.publishRecord(),
    );
    const order = [ports.data, ports.announce, ports.admin, ports.callers];
    for (const [index, server] of this.servers.entries()) {
      if (server === this.entry.app) {
        await this.waitForPeers(signal);
        await this.configRole.start(signal);
        await this.waitForRoster(signal);
      }
      if (signal.aborted) return;
      await server.listen({host: node.address, port: order[index]});
    }
    this.serving = true;
    this.logger.info({node: this.own.get().node}, 'serving');
  }

  /** Graceful shutdown: announces that the node leaves, takes no new work, lets what is in flight end. */
  async stop(): Promise<void> {
    this.logger.info('leaving');
    this.leaving = true;
    this.publishRecord();
    await this.clock.sleep(leavingMs);
    const closing = Promise.all(this.servers.map(server => server.close()));
    await Promise.race([
      closing,
      this.clock.sleep(this.settings.shutdown.grace),
    ]);
    await Promise.race([
      this.keys.waitForFirstAttempts(),
      this.clock.sleep(this.settings.log.timeout),
    ]);
    this.stopping.abort();
    await this.callClient.close();
    await this.log.close();
    await this.keyLog.close();
    this.logger.info('left');
  }

  /** Waits a little for a first peer, which may know a newer version than the log gives. */
  private async waitForPeers(signal: AbortSignal): Promise<void> {
    const {seeds} = this.settings.peers;
    if (seeds.every(seed => seed === this.own.get().peerAddress)) return;
    await this.waitUntil(
      () => this.listPeers().length > 0,
      firstPeerMs,
      signal,
    );
  }

  /** Waits until a peer knows the same node records, so that the first callers find all backend servers. */
  private async waitForRoster(signal: AbortSignal): Promise<void> {
    if (this.listPeers().length === 0) return;
    await this.waitUntil(() => this.links.isSynced(), rosterMs, signal);
  }

  private async waitUntil(
    check: () => boolean,
    timeoutMs: Millis,
    signal: AbortSignal,
  ): Promise<void> {
    const end = this.clock.getTime() + timeoutMs;
    while (!signal.aborted && this.clock.getTime() < end && !check()) {
      await this.clock.sleep(startCheckMs, signal);
    }
  }

  private listPeers(): readonly NodeRecord[] {
    return this.roster
      .list()
      .filter(record => record.node !== this.own.get().node);
  }

  private getRank(key: string): number {
    const nodes = this.roster.list().map(record => record.node);
    return rankByRendezvous(key, nodes).indexOf(this.own.get().node);
  }

  private listArbiterNodes() {
    return this.roster.list().filter(({state}) => state === 'serving');
  }

  private getKeySettings(): KeySettings {
    const {window, partitions} = this.settings.keys;
    return {windowMs: window, partitions};
  }

  private buildArbiter(): KeyArbiter {
    const arbiter = new KeyArbiter(
      {
        ...this.getKeySettings(),
        node: this.own.get().node,
        listNodes: () => this.listArbiterNodes(),
      },
      this.keyLog,
      this.clock,
      this.logger,
    );
    arbiter.registerCalls(this.calls);
    return arbiter;
  }

  private buildKeyClient(): KeyClient {
    return new KeyClient(
      {
        ...this.getKeySettings(),
        node: this.own.get().node,
        arbiter: this.arbiter,
        calls: this.callClient,
        callMs: this.settings.log.timeout + arbiterSlackMs,
        listNodes: () => this.listArbiterNodes(),
      },
      this.clock,
      this.logger,
    );
  }

  private judge(service: Service): readonly ServerWithVerdict[] {
    const {retired} = this.follower.getConfiguration();
    return applyExclusionRule(service, this.roster.listServers(service.id), {
      isRetired: server => retired[server] !== undefined,
      isUnreachable: node => this.reach.isBackedOff(node),
      isSuspected: node => this.isSuspected(node),
    });
  }

  /** Whether witnesses in two data centres cannot reach a node; this node always reaches itself. */
  private isSuspected(node: NodeId): boolean {
    return (
      node !== this.own.get().node &&
      findSuspectedNodes(this.roster.list()).has(node)
    );
  }

  private hasCommonCause(server: BackendServerId, id: ServiceId): boolean {
    const service = this.follower.getConfiguration().services[id];
    return (
      service !== undefined &&
      this.judge(service).some(
        ({known, verdict}) =>
          known.report.server === server &&
          verdict.kind === 'kept-by-common-cause',
      )
    );
  }

  private getBaseline(service: ServiceId): Millis {
    const times = this.roster
      .listServers(service)
      .map(known => known.report.typicalMs)
      .filter(ms => ms > 0)
      .sort((a, b) => a - b);
    return times[Math.floor(times.length / 2)] ?? 0;
  }

  private buildAnnouncePort(): FastifyInstance {
    const app = Fastify({forceCloseConnections: true});
    app.post('/announce', async (request, reply) => {
      const taken = this.guard.announce(request.body);
      if (E.isRight(taken)) return {server: taken.right.server};
      const status = taken.left instanceof ConflictError ? 409 : 400;
      return reply.code(status).send({error: {message: taken.left.message}});
    });
    return app;
  }

  private makeFirstRecord(): NodeRecord {
    const {node, ports, advertise} = this.settings;
    return {
      node: asId<NodeId>(node.id),
      incarnation: Math.floor(this.clock.getTime()),
      version: 0,
      dataCentre: asId<DataCentreId>(node.data_centre),
      region: asId<RegionId>(node.region),
      peerAddress: advertise.peers || `${node.address}:${ports.peers}`,
      dataAddress: advertise.data || `${node.address}:${ports.data}`,
      adminAddress: `${node.address}:${ports.admin}`,
      state: 'serving',
      configVersion: -1,
      servers: [],
      suspicions: [],
    };
  }

  /** Puts the present state into this node's record, which decides whether it is worth a new version. */
  private publishRecord(): void {
    this.own.update({
      state: this.leaving ? 'leaving' : 'serving',
      configVersion: this.follower.getConfiguration().version,
      servers: this.guard.listReports(),
      suspicions: this.links.listSuspicions(),
    });
  }
}
