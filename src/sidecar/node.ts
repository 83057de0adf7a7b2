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
  RetryLimits,
  RunDurationEstimator,
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
import {Entry} from './entry.js';
import {Guard} from './guard.js';
import {GuardCalls} from './guard_calls.js';
import {KnownGuard, listGuardViews} from './guard_views.js';
import {buildHttpPort} from './http_port.js';
import {KeyedStore} from './keyed_store.js';
import {buildMetrics} from './metrics.js';
import {NodeDirectory} from './node_directory.js';
import {RoutingFollower, RoutingSource} from './routing_follower.js';
import {SidecarSettings} from './settings.js';
import {Shutdown} from './shutdown.js';

/** Part of the bounds on repeats that the guards use; calls made by repeated runs count too and are not seen as such. */
const repeatMargin = 0.45;
/** Longest wait for links to the known nodes before callers are taken. */
const linkWaitMs: Millis = 2500;
const startCheckMs: Millis = 50;
const drainCheckMs: Millis = 50;
/** A peer's newer configuration is asked for if the store has not brought it within this time. */
const peerRoutingMs: Millis = 400;

/** Ports that the platform asks for; built by the adapter. */
export interface PlatformPortBuilders {
  buildAnnouncementPort(guard: Guard): FastifyInstance;
  buildReadinessPort(isReady: () => boolean): FastifyInstance;
}

/** What a sidecar node works with. */
export interface SidecarDependencies {
  readonly store: KeyedStore;
  readonly routingSource: RoutingSource;
  readonly nodesTopic: string;
  readonly portBuilders: PlatformPortBuilders;
  readonly metricsPort: number;
}

/** The process beside one backend server: entry for the callers of its VM, guard of its backend server. */
export class SidecarNode {
  private readonly stopping = new AbortController();
  private readonly registry = new Registry();
  private readonly metrics = buildMetrics(this.registry);
  private readonly incarnation: number;
  private readonly follower: RoutingFollower;
  private readonly directory: NodeDirectory;
  private readonly guard: Guard;
  private readonly mesh: Mesh;
  private readonly calls: GuardCalls;
  private readonly entry: Entry;
  private readonly toGuard: Channel;
  private readonly toEntry: Channel;
  private readonly servers: FastifyInstance[] = [];
  private readonly shutdown = new Shutdown();
  private readonly news: BatchingLogger;
  private ready = false;

  constructor(
    private settings: SidecarSettings,
    private readonly parts: SidecarDependencies,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    const {node, address, dataCentre, linkPort} = settings;
    this.news = new BatchingLogger(clock, logger);
    this.incarnation = Math.floor(clock.getTime());
    this.follower = new RoutingFollower(
      parts.store,
      parts.routingSource,
      routing => {
        this.entry.setRouting(routing);
        this.mesh.publish({kind: 'version', version: routing.version});
      },
      this.metrics,
      clock,
      logger,
    );
    this.directory = new NodeDirectory(
      parts.store,
      parts.nodesTopic,
      this.metrics,
      clock,
      logger,
    );
    this.guard = new Guard(
      {
        getRetryLimits: service => this.getRepeatLimits(service),
        isShuttingDown: () => this.shutdown.hasStarted(),
        // Without a configuration only the service that the settings name is known.
        isKnownService: service =>
          this.follower.hasService(service) ?? service === settings.service,
        onStateChange: state => this.onGuardState(state),
      },
      settings,
      this.metrics,
      clock,
      logger,
    );
    this.calls = new GuardCalls(
      other => this.getChannel(other),
      (other, isBusy) => this.mesh.markBusy(other, isBusy),
      clock,
    );
    const ownSession = `${node}/${this.incarnation}`;
    this.toGuard = new LocalChannel(message =>
      this.guard.handle(ownSession, message as EntryMessage),
    );
    this.toEntry = new LocalChannel(message =>
      this.calls.handle(node, message as GuardMessage),
    );
    this.guard.openSession(ownSession, this.toEntry);
    this.entry = new Entry(
      {
        calls: this.calls,
        workTimes: new RunDurationEstimator(),
        metrics: this.metrics,
        dataCentre,
        getCallerService: () => this.getCallerService(),
        listGuards: service => this.listGuards(service),
        isShuttingDown: () => this.shutdown.hasStarted(),
        isRefusingRequests: () =>
          this.shutdown.isRefusingRequests(this.clock.getTime()),
        getShutdownDeadline: () => this.shutdown.getDeadline(),
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
          this.news.record('peer guard', {peer: other, guard});
          this.recordVerdict(other, guard);
        },
        onActiveExchanges: (peer, ids) =>
          this.calls.onHeldExchanges(peer.node, ids),
        onRoutingVersion: (peer, version) => this.onPeerRouting(peer, version),
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
      this.news,
    );
  }

  /** Opens all ports and serves; resolves when the node is ready for callers. */
  async start(): Promise<void> {
    const {signal} = this.stopping;
    const {settings, parts} = this;
    this.logger.info({settings, incarnation: this.incarnation}, 'starting');
    await this.mesh.start(signal);
    void this.guard.run(signal);
    void this.follower.run(signal);
    await Promise.all([
      this.openPort(
        parts.portBuilders.buildAnnouncementPort(this.guard),
        settings.announcements,
      ),
      this.openPort(
        parts.portBuilders.buildReadinessPort(
          () => this.ready && !this.shutdown.hasStarted(),
        ),
        settings.readiness,
      ),
      this.openPort(this.buildMetricsPort(), {
        host: settings.address,
        port: parts.metricsPort,
      }),
    ]);
    await new Promise<void>((resolve, reject) => {
      const {host, port} = settings.callers;
      this.entry.server.once('error', reject);
      this.entry.server.listen(port, host, resolve);
    });
    void this.joinFleet(signal);
    await this.waitUntil(() => this.follower.get() !== undefined, Infinity);
    await this.waitUntil(
      () =>
        this.directory.isJoined() &&
        this.mesh.countLinkedNodes() >= this.mesh.countNodes(),
      linkWaitMs,
    );
    this.ready = true;
    this.logger.info(
      {
        version: this.follower.getVersion(),
        linked: this.mesh.countLinkedNodes(),
        known: this.mesh.countNodes(),
      },
      'ready',
    );
  }

  /** Graceful shutdown: grants no slots, serves callers until they have been led away, ends what runs. */
  async stop(): Promise<void> {
    this.shutdown.start(this.clock.getTime(), this.settings.graceMs);
    this.logger.info({open: this.entry.countOpen()}, 'stopping');
    this.guard.stopGranting();
    while (this.clock.getTime() < this.shutdown.getDeadline()) {
      const open = this.entry.countOpen() + this.guard.countOpen();
      if (this.shutdown.isRefusingRequests(this.clock.getTime()) && open === 0)
        break;
      await this.clock.sleep(drainCheckMs);
    }
    this.logger.info(
      {open: this.entry.countOpen(), guarded: this.guard.countOpen()},
      'stopped',
    );
    this.stopping.abort();
  }

  /** Ends at once, as a kill does. */
  abort(): void {
    this.stopping.abort();
    for (const server of this.servers) void server.close();
    this.entry.abort();
  }

  /** Takes a document of the operator's configuration from elsewhere than the store. */
  applyRouting(document: Buffer): boolean {
    return this.follower.applyDocument(document, 'local');
  }

  /** Takes changed settings: what may change while the process runs is the service beside it and the bounds. */
  updateSettings(settings: SidecarSettings): void {
    this.settings = settings;
    this.logger.info({settings}, 'settings reloaded');
  }

  private async joinFleet(signal: AbortSignal): Promise<void> {
    const {node, linkAddress: address} = this.settings;
    const known = await this.directory.join({node, address}, signal);
    for (const record of known) {
      if (record.node === node) {
        if (record.departure)
          this.guard.tracker.loadDeparture(record.departure);
      } else {
        this.mesh.addNode(record.node, record.address);
      }
    }
  }

  private async waitUntil(
    check: () => boolean,
    timeoutMs: Millis,
  ): Promise<void> {
    const end = this.clock.getTime() + timeoutMs;
    const {signal} = this.stopping;
    while (!check() && this.clock.getTime() < end && !signal.aborted) {
      await this.clock.sleep(startCheckMs, signal);
    }
  }

  private async openPort(
    app: FastifyInstance,
    {host, port}: {readonly host: string; readonly port: number},
  ): Promise<void> {
    this.servers.push(app);
    await app.listen({host, port});
  }

  private buildMetricsPort(): FastifyInstance {
    const app = buildHttpPort();
    app.get('/metrics', async (_request, reply) =>
      reply
        .header('content-type', this.registry.contentType)
        .send(await this.registry.metrics()),
    );
    return app;
  }

  private getCallerService(): ServiceId | undefined {
    return this.guard.tracker.getLatest()?.service ?? this.settings.service;
  }

  private getChannel(node: NodeId): Channel | undefined {
    if (node === this.settings.node) return this.toGuard;
    return this.mesh.getPeer(node)?.channel;
  }

  private getRepeatLimits(service: ServiceId): RetryLimits {
    const {ratio, windowMs, extra} = this.settings.repeats;
    const guards = this.mesh
      .listPeers()
      .filter(({guard}) => guard.kind === 'open' && guard.service === service);
    return {
      ratio: ratio * repeatMargin,
      windowMs,
      extra: (extra * repeatMargin) / (guards.length + 1),
    };
  }

  /** What is known of the guards that can serve a service. */
  listGuards(service: ServiceId): readonly GuardView[] {
    const own: KnownGuard = {
      node: this.settings.node,
      dataCentre: this.settings.dataCentre,
      guard: this.guard.getState(),
      channel: this.toGuard,
    };
    return listGuardViews(service, [own, ...this.mesh.listPeers()], {
      getReportedSlots: node => this.calls.getReportedSlots(node),
      now: this.clock.getTime(),
    });
  }

  private recordVerdict(node: NodeId, guard: GuardState): void {
    if (guard.kind === 'open' && guard.verdict === 'suspended') {
      this.calls.onSuspicion(node);
    }
  }

  private onGuardState(guard: GuardState): void {
    this.recordVerdict(this.settings.node, guard);
    this.mesh.publish({kind: 'guard', guard});
    const departure = this.guard.tracker.getDeparture();
    if (departure) void this.directory.recordDeparture(departure);
  }

  private onPeerUp(peer: Peer, isRestarted: boolean): void {
    const {channel} = peer;
    if (!channel) return;
    if (isRestarted) this.calls.onRestart(peer.node);
    const name = makeSessionName(peer);
    const ids = this.guard.openSession(name, channel);
    channel.send({kind: 'holding', ids});
    this.guard.sendBufferedParts(name);
    // A peer that has read the directory knows all nodes; it introduces itself to those that come later.
    if (!peer.isJoined) {
      channel.send({
        kind: 'nodes',
        nodes: this.mesh.listPeers().map(({node, address}) => [node, address]),
      });
    }
  }

  private onPeerRouting(peer: Peer, version: number): void {
    if (version <= this.follower.getVersion()) return;
    this.clock.startTimer(peerRoutingMs, () => {
      if (version <= this.follower.getVersion()) return;
      this.mesh.getPeer(peer.node)?.channel?.send({
        kind: 'want-routing',
        above: this.follower.getVersion(),
      });
    });
  }
}

/** Names one process of an entry; another process of the same node is another session. */
function makeSessionName(peer: Peer): string {
  return `${peer.node}/${peer.incarnation}`;
}
