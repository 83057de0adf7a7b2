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
  RegionId,
  runEvery,
  ServiceId,
} from '../base/index.js';
import {rankByRendezvous} from '../hash/index.js';
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

const recordUpdateMs: Millis = 500;
const firstPeerTimeoutMs: Millis = 1000;
const startPollMs: Millis = 50;
/** Longest wait for the records of all nodes; after it, callers are served with the records known so far. */
const rosterTimeoutMs: Millis = 5000;
/** Time for the state `leaving` to reach other nodes, which then stop routing to this one; see docs/membership.md. */
const leavePropagationMs: Millis = 1000;
/** Time allowed for a call to a key arbiter beyond the timeout of one log append. */
const arbiterMarginMs: Millis = 500;

/** Assembles the modules into one node and publishes its node record. */
export class FleetNode {
  private readonly stopController = new AbortController();
  private readonly roster: Roster;
  private readonly log: LogClient;
  private readonly registry = new Registry();
  private readonly keyLog: LogClient;
  private readonly configSubsystem: ConfigSubsystem;
  private readonly follower: ConfigFollower;
  private readonly guard: Guard;
  private readonly guardClient: GuardClient;
  private readonly callServer: NodeCallServer;
  private readonly callClient: NodeCallClient;
  private readonly arbiter: KeyArbiter;
  private readonly keyClient: KeyClient;
  private readonly entry: Entry;
  private readonly links: PeerLinkManager;
  private readonly servers: readonly FastifyInstance[];
  private readonly backoff: NodeBackoff;
  private readonly ownRecord: OwnRecord;
  private isShuttingDown = false;
  private isServing = false;

  constructor(
    private readonly settings: Settings,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    const {address} = settings.node;
    this.roster = new Roster(clock);
    this.backoff = new NodeBackoff(clock);
    this.ownRecord = new OwnRecord(
      this.makeInitialRecord(),
      this.roster,
      clock,
      Math.random,
      logger,
    );
    const {node, peerAddress} = this.ownRecord.get();
    this.log = createLogClient({
      url: settings.log.url,
      timeoutMs: settings.log.timeout,
      localAddress: address,
    });
    const {cluster_key: clusterKey} = settings.peers;
    this.callServer = new NodeCallServer(clusterKey);
    this.callClient = new NodeCallClient(clusterKey, address);
    this.configSubsystem = buildConfigSubsystem({
      log: this.log,
      stream: settings.log.config_stream,
      clusterKey,
      snapshotIntervalMs: settings.log.snapshot_every,
      callServer: this.callServer,
      callClient: this.callClient,
      listPeers: () => this.listPeers(),
      getRank: key => this.getRank(key),
      registry: this.registry,
      clock,
      random: Math.random,
      logger,
    });
    this.follower = this.configSubsystem.follower;
    this.roster.onMerge(record => {
      if (record.node === this.ownRecord.get().node) return;
      this.follower.onPeerVersion(record, record.configVersion);
    });
    this.keyLog = createLogClient({
      url: settings.log.url,
      timeoutMs: settings.log.timeout,
      localAddress: address,
      // A long poll and an append for each partition, in case this node owns all of them, plus reads of outcomes.
      connections: 2 * settings.keys.partitions + 8,
    });
    this.guard = new Guard(
      {
        getConfiguration: () => this.follower.getConfiguration(),
        getBaseline: service => this.getMedianTypicalMs(service),
        hasCommonCause: (server, id) => this.hasCommonCause(server, id),
        onReportChange: () => this.publishRecord(),
      },
      clock,
      logger,
      address,
    );
    this.guardClient = new GuardClient(clusterKey, clock, address);
    this.arbiter = this.buildArbiter();
    this.keyClient = this.buildKeyClient();
    this.entry = new Entry(
      {
        node,
        localGuard: this.guard,
        guardClient: this.guardClient,
        keyClient: this.keyClient,
        evaluateServers: service => this.listVerdicts(service),
        onReachability: (node, outcome) => this.backoff.record(node, outcome),
        isShuttingDown: () => this.isShuttingDown,
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
      this.ownRecord,
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
      buildDataPort(this.guard, clusterKey, clock, this.callServer),
      this.buildAnnouncePort(),
      buildAdminServer({
        token: settings.admin.operator_token,
        follower: this.follower,
        roster: this.roster,
        isServing: () => this.isServing && !this.isShuttingDown,
        evaluateServers: service => this.listVerdicts(service),
        planSubmitter: this.configSubsystem.planSubmitter,
        registry: this.registry,
        logger,
      }),
      this.entry.app,
    ];
  }

  /** Opens all ports. The port for callers opens last, when the configuration is loaded. */
  async start(): Promise<void> {
    const {signal} = this.stopController;
    const {ports, node} = this.settings;
    void this.guard.run(signal);
    void this.links.run(signal);
    void this.arbiter.run(signal);
    void this.keyClient.run(signal);
    void runEvery(this.clock, recordUpdateMs, signal, () =>
      this.publishRecord(),
    );
    const portOrder = [ports.data, ports.announce, ports.admin, ports.callers];
    for (const [index, server] of this.servers.entries()) {
      if (server === this.entry.app) {
        await this.waitForPeers(signal);
        await this.configSubsystem.start(signal);
        await this.waitForRoster(signal);
      }
      if (signal.aborted) return;
      await server.listen({host: node.address, port: portOrder[index]});
    }
    this.isServing = true;
    this.logger.info({node: this.ownRecord.get().node}, 'serving');
  }

  /** Shuts down gracefully: announces it to the other nodes, accepts no new requests and lets running ones finish. */
  async stop(): Promise<void> {
    this.logger.info('leaving');
    this.isShuttingDown = true;
    this.publishRecord();
    await this.clock.sleep(leavePropagationMs);
    const closing = Promise.all(this.servers.map(server => server.close()));
    await Promise.race([
      closing,
      this.clock.sleep(this.settings.shutdown.grace),
    ]);
    await Promise.race([
      this.keyClient.waitForFirstAttempts(),
      this.clock.sleep(this.settings.log.timeout),
    ]);
    this.stopController.abort();
    await this.callClient.close();
    await this.log.close();
    await this.keyLog.close();
    this.logger.info('shut down');
  }

  /** Waits briefly for a first peer, which may have a newer configuration version than the log returns. */
  private async waitForPeers(signal: AbortSignal): Promise<void> {
    const {seeds} = this.settings.peers;
    if (seeds.every(seed => seed === this.ownRecord.get().peerAddress)) return;
    await this.waitUntil(
      () => this.listPeers().length > 0,
      firstPeerTimeoutMs,
      signal,
    );
  }

  /** Waits until a peer has the same node records, so that the first requests find all backend servers. */
  private async waitForRoster(signal: AbortSignal): Promise<void> {
    if (this.listPeers().length === 0) return;
    await this.waitUntil(() => this.links.isSynced(), rosterTimeoutMs, signal);
  }

  private async waitUntil(
    check: () => boolean,
    timeoutMs: Millis,
    signal: AbortSignal,
  ): Promise<void> {
    const end = this.clock.getTime() + timeoutMs;
    while (!signal.aborted && this.clock.getTime() < end && !check()) {
      await this.clock.sleep(startPollMs, signal);
    }
  }

  private listPeers(): readonly NodeRecord[] {
    return this.roster
      .list()
      .filter(record => record.node !== this.ownRecord.get().node);
  }

  private getRank(key: string): number {
    const nodes = this.roster.list().map(record => record.node);
    return rankByRendezvous(key, nodes).indexOf(this.ownRecord.get().node);
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
        node: this.ownRecord.get().node,
        listNodes: () => this.listArbiterNodes(),
      },
      this.keyLog,
      this.clock,
      this.logger,
    );
    arbiter.registerCalls(this.callServer);
    return arbiter;
  }

  private buildKeyClient(): KeyClient {
    return new KeyClient(
      {
        ...this.getKeySettings(),
        node: this.ownRecord.get().node,
        arbiter: this.arbiter,
        calls: this.callClient,
        callTimeoutMs: this.settings.log.timeout + arbiterMarginMs,
        listNodes: () => this.listArbiterNodes(),
      },
      this.clock,
      this.logger,
    );
  }

  private listVerdicts(service: Service): readonly ServerWithVerdict[] {
    const {retired} = this.follower.getConfiguration();
    return applyExclusionRule(service, this.roster.listServers(service.id), {
      isRetired: server => retired[server] !== undefined,
      isUnreachable: node => this.backoff.isBackedOff(node),
      isSuspected: node => this.isSuspected(node),
    });
  }

  /** Whether nodes in two data centres report a node as unreachable; never true of this node itself. */
  private isSuspected(node: NodeId): boolean {
    return (
      node !== this.ownRecord.get().node &&
      findSuspectedNodes(this.roster.list()).has(node)
    );
  }

  private hasCommonCause(server: BackendServerId, id: ServiceId): boolean {
    const service = this.follower.getConfiguration().services[id];
    return (
      service !== undefined &&
      this.listVerdicts(service).some(
        ({known, verdict}) =>
          known.report.server === server &&
          verdict.kind === 'kept-by-common-cause',
      )
    );
  }

  private getMedianTypicalMs(service: ServiceId): Millis {
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
      const result = this.guard.announce(request.body);
      if (E.isRight(result)) return {server: result.right.server};
      const status = result.left instanceof ConflictError ? 409 : 400;
      return reply.code(status).send({error: {message: result.left.message}});
    });
    return app;
  }

  private makeInitialRecord(): NodeRecord {
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

  /** Passes the current state to this node's record, which decides whether to publish a new version. */
  private publishRecord(): void {
    this.ownRecord.update({
      state: this.isShuttingDown ? 'leaving' : 'serving',
      configVersion: this.follower.getConfiguration().version,
      servers: this.guard.listReports(),
      suspicions: this.links.listSuspicions(),
    });
  }
}
