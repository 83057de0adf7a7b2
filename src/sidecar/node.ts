import {FastifyInstance} from 'fastify';
import {Registry} from 'prom-client';
import {
  Clock,
  Logger,
  Millis,
  BatchingLogger,
  NodeId,
  ServiceId,
} from '../base/index.js';
import {
  GuardView,
  IdleReports,
  RetryLimits,
  RunDurationEstimator,
  WantedRequests,
} from '../dispatch/index.js';
import {
  Channel,
  EntryMessage,
  GuardMessage,
  GuardState,
  LocalChannel,
  Mesh,
  Peer,
} from '../mesh/index.js';
import {SidecarDependencies} from './dependencies.js';
import {Entry} from './entry.js';
import {Guard} from './guard.js';
import {GuardCalls} from './guard_calls.js';
import {makeSessionName} from './guard_sessions.js';
import {KnownGuard, listGuardViews} from './guard_views.js';
import {HeardNotices} from './heard_notices.js';
import {buildMetricsPort} from './http_port.js';
import {sendIdleReports} from './idle_report_sender.js';
import {makeMemoryBudgets, registerMemoryMetric} from './memory_budgets.js';
import {buildMetrics} from './metrics.js';
import {NodeDirectory} from './node_directory.js';
import {computeRetryLimits} from './retry_limits.js';
import {RoutingFollower} from './routing_follower.js';
import {SidecarSettings} from './settings.js';
import {Shutdown} from './shutdown.js';

/** Longest wait for links to the known nodes before the node reports ready. */
const linkTimeoutMs: Millis = 2500;
const startupPollMs: Millis = 50;
const drainPollMs: Millis = 50;

/** The node beside one backend server: entry for the callers of its VM and guard of its backend server. */
export class SidecarNode {
  private readonly abortController = new AbortController();
  private readonly registry = new Registry();
  private readonly metrics = buildMetrics(this.registry);
  private readonly incarnation: number;
  private readonly follower: RoutingFollower;
  private readonly directory: NodeDirectory;
  private readonly guard: Guard;
  private readonly mesh: Mesh;
  private readonly calls: GuardCalls;
  private readonly entry: Entry;
  private readonly localGuard: Channel;
  private readonly localEntry: Channel;
  private readonly httpPorts: FastifyInstance[] = [];
  private readonly shutdown = new Shutdown();
  private readonly heardNotices = new HeardNotices();
  private readonly idleReports = new IdleReports();
  private readonly batchingLogger: BatchingLogger;
  private isReady = false;

  constructor(
    private settings: SidecarSettings,
    private readonly dependencies: SidecarDependencies,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    const {node, address, dataCentre, linkPort} = settings;
    this.batchingLogger = new BatchingLogger(clock, logger);
    this.incarnation = Math.floor(clock.getTime());
    this.follower = new RoutingFollower(
      dependencies.store,
      dependencies.routingSource,
      routing => {
        this.entry.setRouting(routing);
        this.mesh.publish({kind: 'version', version: routing.version});
      },
      () => this.joinDirectory(this.abortController.signal),
      this.metrics,
      clock,
      Math.random,
      logger,
    );
    this.directory = new NodeDirectory(
      dependencies.store,
      dependencies.nodesTopic,
      this.metrics,
      clock,
      logger,
    );
    const budgets = makeMemoryBudgets(settings.memoryLimit);
    registerMemoryMetric(budgets, this.registry);
    this.guard = new Guard(
      {
        getRetryLimits: service => this.getRetryLimits(service),
        isShuttingDown: () => this.shutdown.hasStarted(),
        countPeers: () => this.mesh.countNodes(),
        // Until there is a configuration, only the service in the settings is known.
        isKnownService: service =>
          this.follower.hasService(service) ?? service === settings.service,
        saveDepartures: departures => this.directory.saveDepartures(departures),
        reportIdle: (service, wanted) => this.reportIdle(service, wanted),
        onStateChange: state => this.onGuardStateChange(state),
      },
      settings,
      budgets.guard,
      this.metrics,
      clock,
      logger,
    );
    this.calls = new GuardCalls(
      other => this.getChannel(other),
      (other, isBusy) => this.mesh.markBusy(other, isBusy),
      clock,
    );
    const ownSessionName = makeSessionName({
      node,
      incarnation: this.incarnation,
    });
    this.localGuard = new LocalChannel(message =>
      this.guard.handle(ownSessionName, message as EntryMessage),
    );
    this.localEntry = new LocalChannel(message =>
      this.calls.handle(node, message as GuardMessage),
    );
    this.guard.openSession(ownSessionName, this.localEntry);
    this.entry = new Entry(
      {
        calls: this.calls,
        runDurations: new RunDurationEstimator(),
        metrics: this.metrics,
        responses: budgets.entry.responses,
        bodies: budgets.entry,
        dataCentre,
        idleReports: this.idleReports,
        getCallerService: () => this.getCallerService(),
        listGuards: service => this.listGuards(service),
        isShuttingDown: () => this.shutdown.hasStarted(),
        isRefusingRequests: () =>
          this.shutdown.isRefusing(this.clock.getTime()),
        getShutdownDeadline: () => this.shutdown.getDeadline(),
        getNoticeEnd: () => this.shutdown.getNoticeEnd(),
      },
      clock,
      Math.random,
      logger,
    );
    this.mesh = new Mesh(
      {node, address, port: linkPort},
      {
        makeHello: () => ({
          kind: 'hello',
          node,
          incarnation: this.incarnation,
          address: settings.linkAddress,
          dataCentre,
          isJoined: this.directory.isJoined(),
          routingVersion: this.follower.getVersion(),
          guard: this.guard.getState(),
          acceptsIdleReports: true,
          hasFlowControl: true,
        }),
        onEntryMessage: (peer, message) =>
          this.guard.handle(makeSessionName(peer), message),
        onGuardMessage: (peer, message) =>
          this.calls.handle(peer.node, message),
        onPeerUp: (peer, isRestarted) => this.onPeerUp(peer, isRestarted),
        onPeerDown: peer => {
          this.calls.onLinkLost(peer.node);
          this.guard.recordLinkLoss(makeSessionName(peer));
        },
        onGuardChange: ({node: other, guard}) => {
          this.batchingLogger.record('peer guard', {peer: other, guard});
          this.reportSuspicion(other, guard);
          this.heardNotices.update(other, guard);
        },
        onIdleReport: (peer, {service, wanted}) =>
          this.idleReports.record(service, peer.node, wanted, clock.getTime()),
        onHeard: (_peer, notice) => this.guard.presence.recordHeard(notice),
        onActiveExchanges: (peer, ids) =>
          this.calls.onHeldExchanges(peer.node, ids),
        onRoutingVersion: (peer, version) =>
          this.follower.onPeerVersion(version, above =>
            this.mesh
              .getPeer(peer.node)
              ?.channel?.send({kind: 'want-routing', above}),
          ),
        onRoutingRequest: (peer, above) => {
          const document = this.follower.getDocument();
          if (document && this.follower.getVersion() > above) {
            peer.channel?.send({kind: 'routing', document});
          }
        },
        onRoutingDocument: (peer, document) =>
          this.follower.applyDocument(Buffer.from(document), peer.node),
      },
      clock,
      Math.random,
      logger,
      this.batchingLogger,
    );
  }

  /** Opens all ports; resolves when the node is ready for callers. */
  async start(): Promise<void> {
    const {signal} = this.abortController;
    const {settings, dependencies} = this;
    this.logger.info({settings, incarnation: this.incarnation}, 'starting');
    await this.mesh.start(signal);
    void this.guard.run(signal);
    void this.follower.run(signal);
    await Promise.all([
      this.openPort(
        dependencies.portBuilders.buildAnnouncementPort(this.guard),
        settings.announcements,
      ),
      this.openPort(
        dependencies.portBuilders.buildReadinessPort(
          () => this.isReady && !this.shutdown.hasStarted(),
        ),
        settings.readiness,
      ),
      this.openPort(buildMetricsPort(this.registry), {
        host: settings.address,
        port: dependencies.metricsPort,
      }),
    ]);
    await new Promise<void>((resolve, reject) => {
      const {host, port} = settings.callers;
      this.entry.server.once('error', reject);
      this.entry.server.listen(port, host, resolve);
    });
    void this.joinDirectory(signal);
    await this.waitUntil(() => this.follower.get() !== undefined, Infinity);
    await this.waitUntil(
      () =>
        this.directory.isJoined() &&
        !this.follower.isBehindPeers() &&
        this.mesh.countLinkedNodes() >= this.mesh.countNodes(),
      linkTimeoutMs,
    );
    this.isReady = true;
    this.logger.info(
      {
        version: this.follower.getVersion(),
        linked: this.mesh.countLinkedNodes(),
        known: this.mesh.countNodes(),
      },
      'ready',
    );
  }

  /** Shuts down gracefully: stops granting slots, serves callers until they use other nodes, and drains requests. */
  async stop(): Promise<void> {
    this.shutdown.start(this.clock.getTime(), this.settings.graceMs);
    this.logger.info({open: this.entry.countOpen()}, 'stopping');
    this.guard.stopGranting();
    while (this.clock.getTime() < this.shutdown.getDeadline()) {
      const open = this.entry.countOpen() + this.guard.countOpen();
      if (this.shutdown.isRefusing(this.clock.getTime()) && open === 0) break;
      await this.clock.sleep(drainPollMs);
    }
    const open = this.entry.countOpen();
    this.logger.info({open, guarded: this.guard.countOpen()}, 'stopped');
    this.abortController.abort();
  }

  /** Stops at once without draining, as a kill does. */
  abort(): void {
    this.abortController.abort();
    for (const server of this.httpPorts) void server.close();
    this.entry.abort();
  }

  /** Applies a document of the operator's configuration that does not come from the store. */
  applyRouting(document: Buffer): boolean {
    return this.follower.applyDocument(document, 'local');
  }

  /** Applies changed settings; only the service, the retry limits and the grace period take effect at run time. */
  updateSettings(settings: SidecarSettings): void {
    this.settings = settings;
    const {backendAddress: address, service} = settings;
    this.guard.presence.updateSettings({address, service});
    this.logger.info({settings}, 'settings reloaded');
  }

  private async joinDirectory(signal: AbortSignal): Promise<void> {
    const {node, linkAddress} = this.settings;
    const entries = await this.directory.join(
      {node, address: linkAddress},
      signal,
    );
    for (const {node: other, address} of entries) {
      if (other !== node) this.mesh.addNode(other, address);
    }
    this.guard.presence.recordStored(this.directory.getDepartures());
  }

  private async waitUntil(
    check: () => boolean,
    timeoutMs: Millis,
  ): Promise<void> {
    const end = this.clock.getTime() + timeoutMs;
    const {signal} = this.abortController;
    while (!check() && this.clock.getTime() < end && !signal.aborted) {
      await this.clock.sleep(startupPollMs, signal);
    }
  }

  private async openPort(
    app: FastifyInstance,
    {host, port}: {readonly host: string; readonly port: number},
  ): Promise<void> {
    this.httpPorts.push(app);
    await app.listen({host, port});
  }

  private getCallerService(): ServiceId | undefined {
    return this.guard.presence.tracker.getService();
  }

  private getChannel(node: NodeId): Channel | undefined {
    if (node === this.settings.node) return this.localGuard;
    return this.mesh.getPeer(node)?.channel;
  }

  private getRetryLimits(service: ServiceId): RetryLimits {
    const peers = this.mesh.listPeers();
    return computeRetryLimits(service, peers, this.settings.repeats);
  }

  /** Lists the guards that can grant slots for a service. */
  listGuards(service: ServiceId): readonly GuardView[] {
    const own: KnownGuard = {
      node: this.settings.node,
      dataCentre: this.settings.dataCentre,
      guard: this.guard.getState(),
      channel: this.localGuard,
    };
    return listGuardViews(service, [own, ...this.mesh.listPeers()], {
      getReportedSlots: node => this.calls.getReportedSlots(node),
      now: this.clock.getTime(),
    });
  }

  private reportIdle(service: ServiceId, wanted: WantedRequests): void {
    const {node} = this.settings;
    const now = this.clock.getTime();
    const recordOwn = () => this.idleReports.record(service, node, wanted, now);
    const peers = this.mesh.listPeers();
    sendIdleReports(peers, {service, wanted}, recordOwn, Math.random);
  }

  private reportSuspicion(node: NodeId, guard: GuardState): void {
    if (guard.kind === 'open' && guard.verdict === 'suspended') {
      this.calls.onSuspicion(node);
    }
  }

  private onGuardStateChange(guard: GuardState): void {
    this.reportSuspicion(this.settings.node, guard);
    this.mesh.publish({kind: 'guard', guard});
  }

  private onPeerUp(peer: Peer, isRestarted: boolean): void {
    const {channel} = peer;
    if (!channel) return;
    if (isRestarted) {
      this.calls.onRestart(peer.node);
      const notice = this.heardNotices.get(peer.node);
      if (notice) channel.send({kind: 'heard', notice});
    }
    this.heardNotices.update(peer.node, peer.guard);
    const name = makeSessionName(peer);
    const ids = this.guard.openSession(name, channel);
    channel.send({kind: 'holding', ids});
    this.guard.sendBufferedParts(name);
    // A peer that has read the directory knows all nodes, and nodes that join later connect to it.
    if (!peer.isJoined) {
      channel.send({
        kind: 'nodes',
        nodes: this.mesh.listPeers().map(({node, address}) => [node, address]),
      });
    }
  }
}
