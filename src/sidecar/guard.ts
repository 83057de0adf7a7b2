import {Clock, Logger, Millis, runEvery} from '../base/index.js';
import {SlotQueue} from '../dispatch/index.js';
import {
  Channel,
  EntryMessage,
  GuardState,
  SlotCounts,
  SlotRefusal,
} from '../mesh/index.js';
import {BackendOutcome} from './backend_client.js';
import {BackendPresence} from './backend_presence.js';
import {BackendReport, ReportResult} from './backend_tracker.js';
import {ExchangeRunner} from './exchange_runner.js';
import {
  Exchange,
  GuardSessions,
  makeSlotRequest,
  Session,
} from './guard_sessions.js';
import {GuardMetrics} from './metrics.js';
import {GuardContext, GuardSettings, makeGuardState} from './guard_state.js';
import {GuardBudgets} from './memory_budgets.js';
import {PartBuffer} from './part_buffer.js';
import {ReceivedBody} from './received_body.js';
import {SendWindow} from './send_window.js';
import {BackendMonitor} from './backend_monitor.js';
import {SlotAdmission} from './slot_admission.js';
import {StateUpdateThrottle} from './state_update_throttle.js';

const checkIntervalMs: Millis = 100;
type RequestMessage = Extract<EntryMessage, {kind: 'request'}>;
type SendMessage = Extract<EntryMessage, {kind: 'send'}>;

/** Sole proxy to the backend server of this VM: grants its slots, runs requests and monitors its health passively. */
export class Guard {
  readonly presence: BackendPresence;
  private readonly queue = new SlotQueue<Exchange>(1);
  private readonly monitor = new BackendMonitor();
  private readonly admission = new SlotAdmission(this.monitor);
  private readonly sessions = new GuardSessions();
  private readonly runner: ExchangeRunner;
  private readonly publishThrottle = new StateUpdateThrottle();

  constructor(
    private readonly context: GuardContext,
    settings: GuardSettings,
    private readonly budgets: GuardBudgets,
    private readonly metrics: GuardMetrics,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.presence = new BackendPresence(
      {address: settings.backendAddress, service: settings.service},
      this.queue.rateLimit,
      {
        isKnownService: service => context.isKnownService(service),
        saveDepartures: departures => context.saveDepartures(departures),
        onReport: (report, result, isNewServer) =>
          this.onReport(report, result, isNewServer),
        onDeparture: () => this.stopGranting(),
        onLimitChange: () => {
          this.publishState();
          this.grantSlots();
        },
      },
      metrics,
      clock,
      logger,
    );
    this.runner = new ExchangeRunner(
      settings.address,
      () => this.getSlotCounts(),
      budgets.retainedParts,
      () => this.sessions.removeRetainedParts(),
      (backend, notice) => this.presence.recordAnswer(backend, notice),
      clock,
      logger,
    );
  }

  /** Periodically refuses waiting exchanges that cannot meet their deadline and revokes unused grants. */
  run(signal: AbortSignal): Promise<void> {
    return runEvery(this.clock, checkIntervalMs, signal, () => this.check());
  }

  getState(): GuardState {
    return makeGuardState(
      this.presence,
      this.context.isShuttingDown(),
      this.monitor.getVerdict(this.clock.getTime()),
    );
  }

  countOpen(): number {
    return this.sessions.countOpen();
  }

  private onReport(
    report: BackendReport,
    result: ReportResult,
    isNewServer: boolean,
  ): void {
    const now = this.clock.getTime();
    if (result === 'new' && isNewServer) this.monitor.reset(now);
    if (result === 'leaving') this.refuseQueued('leaving');
    this.queue.setSlots(report.slots);
    this.monitor.setWarmup(now + report.warmupMs);
    this.publishState();
    this.grantSlots();
  }

  /** Refuses all waiting requests; running ones continue. */
  stopGranting(): void {
    this.refuseQueued('leaving');
    this.publishState();
  }

  /**
   * Binds an entry process to a new link. Returns the ids of the exchanges that this guard received; the entry treats
   * all others as not run, which is safe because the old link is no longer read.
   */
  openSession(name: string, channel: Channel): readonly number[] {
    this.endUnsentExchanges(name);
    for (const exchange of this.sessions.listSuperseded(name)) {
      // The requesting process has exited, so nobody waits for the response.
      this.endExchange(exchange);
    }
    const session = this.sessions.getOrCreate(name);
    session.channel = channel;
    return [...session.exchanges.keys()];
  }

  /** Resends the retained parts of all responses of a session; the entry discards duplicates. */
  sendBufferedParts(name: string): void {
    const {channel, exchanges} = this.sessions.getOrCreate(name);
    for (const {parts} of exchanges.values()) {
      for (const part of parts.list()) channel?.send(part);
    }
  }

  /** Records the loss of an entry's link. Running exchanges continue, as the entry may reconnect for the response. */
  recordLinkLoss(name: string): void {
    const session = this.sessions.getOrCreate(name);
    session.channel = undefined;
    session.linkLostAt = this.clock.getTime();
    this.endUnsentExchanges(name);
    this.grantSlots();
  }

  handle(name: string, message: EntryMessage): void {
    const session = this.sessions.getOrCreate(name);
    const exchange = session.exchanges.get(message.id);
    switch (message.kind) {
      case 'request':
        return this.onRequest(session, message);
      case 'send':
        if (exchange?.phase === 'granted') this.onSend(exchange, message);
        else if (!exchange) this.runner.refuseSend(session, message.id);
        return;
      case 'body':
        if (exchange?.phase !== 'receiving') return;
        if (exchange.received?.addPart(message.bytes)) {
          void this.runExchange(exchange);
        }
        return;
      case 'withdraw':
      case 'cancel':
        if (!exchange) return;
        this.monitor.recordCancel(exchange, this.clock.getTime());
        this.endExchange(exchange);
        this.grantSlots();
        return;
      case 'credit':
        exchange?.parts.confirm(message.seq);
        exchange?.window.setCredit(message.bytes);
        return;
    }
  }

  /** Ends waiting and granted exchanges after the link was lost: their requests have not arrived and no longer can. */
  private endUnsentExchanges(name: string): void {
    for (const exchange of this.sessions.listUnsent(name)) {
      this.endExchange(exchange);
      exchange.session.exchanges.delete(exchange.id);
    }
  }

  private onRequest(session: Session, message: RequestMessage): void {
    const now = this.clock.getTime();
    const refusal = this.findRefusal(message, now);
    if (refusal) {
      this.metrics.refusals.inc({reason: refusal});
      session.channel?.send({kind: 'refused', id: message.id, reason: refusal});
      return;
    }
    const exchange: Exchange = {
      id: message.id,
      session,
      message,
      request: makeSlotRequest(message, now),
      abort: new AbortController(),
      phase: 'waiting',
      server: undefined,
      received: undefined,
      phaseStartedAt: now,
      parts: new PartBuffer(this.budgets.retainedParts),
      window: new SendWindow(this.clock),
    };
    session.exchanges.set(message.id, exchange);
    this.queue.add(exchange, exchange.request, now);
    this.grantSlots();
    if (message.isForIdle && this.queue.isWaiting(exchange)) {
      return this.refuse(exchange, 'not-idle');
    }
    if (this.queue.isWaiting(exchange)) {
      // The queue of a suspended server, which runs only trials, says nothing about the wait.
      const isEstimable = this.monitor.getVerdict(now) !== 'suspended';
      session.channel?.send({
        kind: 'queued',
        id: message.id,
        waitMs: isEstimable
          ? Math.round(this.queue.estimateWait(exchange.request, now))
          : message.deadlineInMs,
        news: this.getSlotCounts(),
      });
    }
  }

  private findRefusal(
    message: RequestMessage,
    now: Millis,
  ): SlotRefusal | undefined {
    const backend = this.presence.getReady();
    if (this.context.isShuttingDown()) return 'leaving';
    if (!backend || backend.service !== message.service) return 'no-server';
    const limits = this.context.getRetryLimits(backend.service);
    return this.admission.findRefusal(message, limits, now);
  }

  private grantSlots(): void {
    const {budgets} = this;
    const backend = this.presence.getReady();
    if (!backend || this.context.isShuttingDown()) return;
    for (;;) {
      const now = this.clock.getTime();
      const running = this.queue.countRunning();
      const limits = this.context.getRetryLimits(backend.service);
      const mayStart = this.admission.makeStartFilter(running, limits, now);
      const next = this.queue.claimNext(
        now,
        request =>
          mayStart(request) && budgets.bodies.canClaim(request.bodyBytes ?? 0),
      );
      if (!next) return;
      const exchange = next.key;
      const {bodyBytes = 0} = exchange.request;
      exchange.received = new ReceivedBody(budgets.bodies, bodyBytes);
      exchange.phase = 'granted';
      exchange.server = backend.server;
      exchange.phaseStartedAt = now;
      this.admission.recordGrant(exchange.request, limits, now);
      this.metrics.slotWait.observe(next.waitedMs / 1000);
      exchange.session.channel?.send({
        kind: 'granted',
        id: exchange.id,
        server: backend.server,
        news: this.getSlotCounts(),
      });
    }
  }

  private onSend(exchange: Exchange, message: SendMessage): void {
    const now = this.clock.getTime();
    if (exchange.received?.setRequest(message, now)) {
      void this.runExchange(exchange);
    } else {
      exchange.phase = 'receiving';
      exchange.phaseStartedAt = now;
    }
  }

  private async runExchange(exchange: Exchange): Promise<void> {
    const now = this.clock.getTime();
    const backend = this.presence.getReady();
    const request = exchange.received?.getRequest(now);
    if (!request) return;
    // The server may have been replaced or have shut down since the grant.
    if (!backend || backend.server !== exchange.server) {
      this.runner.sendFailure(exchange, 'revoked', false, 'the server left');
      return this.endExchange(exchange);
    }
    exchange.phase = 'running';
    exchange.phaseStartedAt = now;
    this.monitor.recordStart(exchange);
    const {message, body} = request;
    const outcome = await this.runner.run(exchange, message, body, backend);
    this.recordOutcome(exchange, now, outcome);
    this.grantSlots();
    this.publishState();
  }

  private recordOutcome(
    exchange: Exchange,
    startedAt: Millis,
    outcome: BackendOutcome,
  ): void {
    const now = this.clock.getTime();
    const isCancelled = exchange.abort.signal.aborted;
    this.endExchange(exchange);
    if (isCancelled) return this.monitor.recordCancel(exchange, now);
    this.monitor.recordOutcome(exchange, startedAt, outcome, now);
    if (outcome.kind === 'answered') {
      const pausedMs = exchange.window.getPausedTime();
      this.runner.sendEnd(exchange, now - startedAt - pausedMs);
    } else {
      const {reason, mayHaveRun, detail} = outcome;
      this.runner.sendFailure(exchange, reason, mayHaveRun, detail);
    }
  }

  private check(): void {
    const now = this.clock.getTime();
    for (const exchange of this.queue.listUnservable(now)) {
      this.refuse(exchange, 'hopeless');
    }
    for (const exchange of this.sessions.listExpiredGrants(now)) {
      this.refuse(exchange, 'expired');
    }
    for (const {abort} of this.sessions.listAbandonedRuns(now)) abort.abort();
    this.sessions.removeExpired(now);
    this.presence.reportLimit(now);
    this.grantSlots();
    this.publishState();
    this.reportIdle(now);
  }

  private reportIdle(now: Millis): void {
    const backend = this.presence.getReady();
    const isOpen = backend && !this.context.isShuttingDown();
    if (!isOpen || this.queue.getCounts(now).free === 0) return;
    const wanted = this.admission.claimIdleReport(now);
    if (wanted) this.context.reportIdle(backend.service, wanted);
  }

  private refuseQueued(reason: SlotRefusal): void {
    for (const exchange of this.queue.listWaiting()) {
      this.refuse(exchange, reason);
    }
  }

  private refuse(exchange: Exchange, reason: SlotRefusal): void {
    this.metrics.refusals.inc({reason});
    this.endExchange(exchange);
    exchange.session.exchanges.delete(exchange.id);
    exchange.session.channel?.send({kind: 'refused', id: exchange.id, reason});
  }

  /** Releases the slot and aborts a run in progress; parts already sent are retained for `partRetentionMs`. */
  private endExchange(exchange: Exchange): void {
    if (exchange.phase === 'ended') return;
    const now = this.clock.getTime();
    if (exchange.phase === 'granted' || exchange.phase === 'receiving') {
      this.queue.releaseUnused(exchange, now);
    } else {
      this.queue.release(exchange);
    }
    exchange.received?.release();
    exchange.received = undefined;
    if (exchange.phase === 'running') exchange.abort.abort();
    exchange.phase = 'ended';
    exchange.phaseStartedAt = now;
  }

  private getSlotCounts(): SlotCounts {
    const now = this.clock.getTime();
    const verdict = this.monitor.getVerdict(now);
    const limit = this.presence.describeLimit(now);
    return {...this.queue.getCounts(now), verdict, ...(limit && {limit})};
  }

  private publishState(): void {
    const state = this.getState();
    const now = this.clock.getTime();
    const peers = this.context.countPeers();
    if (!this.publishThrottle.admit(state, peers, now)) return;
    const suspicion = this.monitor.getSuspicion(now);
    this.logger.info({state, suspicion}, 'guard state');
    this.context.onStateChange(state);
  }
}
