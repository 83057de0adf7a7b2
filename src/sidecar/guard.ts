import {
  BackendServerId,
  Clock,
  Logger,
  Millis,
  runEvery,
  ServiceId,
} from '../base/index.js';
import {
  WindowedRetryBudget,
  RetryLimits,
  SlotQueue,
} from '../dispatch/index.js';
import {
  Channel,
  EntryMessage,
  GuardState,
  SlotCounts,
  SlotRefusal,
} from '../mesh/index.js';
import {BackendOutcome} from './backend_client.js';
import {BackendTracker, BackendReport} from './backend_tracker.js';
import {ExchangeRunner} from './exchange_runner.js';
import {Exchange, GuardSessions, Session} from './guard_sessions.js';
import {GuardMetrics} from './metrics.js';
import {BackendMonitor} from './backend_monitor.js';
import {StateUpdateThrottle} from './state_update_throttle.js';

const tickMs: Millis = 100;
/** A slot is held this long for an entry that was granted it; an answer across data centres takes 1 to 3 ms. */
const grantMs: Millis = 400;
type RequestMessage = Extract<EntryMessage, {kind: 'request'}>;
type SendMessage = Extract<EntryMessage, {kind: 'send'}>;

/** What the guard needs from the rest of the node. */
export interface GuardContext {
  /** Bounds on repeats for this guard's part of its service. */
  getRetryLimits(service: ServiceId): RetryLimits;
  isShuttingDown(): boolean;
  /** Whether the configuration names a service; a report for another one is not of this fleet. */
  isKnownService(service: ServiceId): boolean;
  /** Called when what other nodes should know has changed. */
  onStateChange(state: GuardState): void;
}

/** The only way to the backend server of this VM: grants its slots, runs requests, judges it by its answers. */
export class Guard {
  readonly tracker: BackendTracker;
  private readonly queue = new SlotQueue<Exchange>(1);
  private readonly watch: BackendMonitor;
  private readonly budget = new WindowedRetryBudget();
  private readonly sessions = new GuardSessions();
  private readonly runner: ExchangeRunner;
  private readonly news = new StateUpdateThrottle();

  constructor(
    private readonly context: GuardContext,
    settings: {readonly address: string; readonly backendAddress?: string},
    private readonly metrics: GuardMetrics,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.tracker = new BackendTracker(settings.backendAddress);
    this.watch = new BackendMonitor();
    this.runner = new ExchangeRunner(
      settings.address,
      () => this.getNews(),
      clock,
      logger,
    );
  }

  /** Looks after waiting and overdue exchanges until the signal aborts. */
  run(signal: AbortSignal): Promise<void> {
    return runEvery(this.clock, tickMs, signal, () => this.check());
  }

  getState(): GuardState {
    const backend = this.tracker.getReady();
    if (this.context.isShuttingDown())
      return {kind: 'closed', reason: 'leaving'};
    if (!backend) {
      const reason = this.tracker.getLatest() ? 'leaving' : 'no-server';
      return {kind: 'closed', reason};
    }
    return {
      kind: 'open',
      server: backend.server,
      service: backend.service,
      slots: backend.slots,
      verdict: this.watch.getVerdict(this.clock.getTime()),
    };
  }

  countOpen(): number {
    return this.sessions.countOpen();
  }

  /** Takes a report of the backend server; false if it is out of date or foreign. */
  applyReport(report: BackendReport): boolean {
    const now = this.clock.getTime();
    const before = this.tracker.getLatest();
    const verdict = this.context.isKnownService(report.service)
      ? this.tracker.applyReport(report, now)
      : 'foreign';
    if (verdict !== 'refreshed') {
      this.logger.info({report, verdict}, 'backend server report');
    }
    switch (verdict) {
      case 'stale':
      case 'foreign':
        return false;
      case 'new':
        if (before?.server !== report.server) this.watch.reset(now);
        break;
      case 'leaving':
        this.refuseWaiting('leaving');
        break;
      case 'refreshed':
        break;
    }
    this.queue.setSlots(report.slots);
    this.watch.setWarmup(now + report.warmupMs);
    this.publishState();
    this.grantSlots();
    return true;
  }

  /** Takes the last word of a backend server. */
  recordDeregistration(server: BackendServerId): void {
    const isPresent = this.tracker.recordDeregistration(server);
    this.logger.info({server, isPresent}, 'backend server said goodbye');
    if (!isPresent) return;
    this.refuseWaiting('leaving');
    this.publishState();
  }

  /** Grants nothing any more; what runs goes on. */
  stopGranting(): void {
    this.refuseWaiting('leaving');
    this.publishState();
  }

  /**
   * Binds an entry process to a new link. Returns the exchanges that the guard got; the entry takes all others for not
   * run, which holds because the old link is read no more.
   */
  openSession(name: string, channel: Channel): readonly number[] {
    this.endUnsent(name);
    for (const exchange of this.sessions.listSuperseded(name)) {
      // The process that asked has ended; nobody waits for the answer.
      this.endExchange(exchange);
    }
    const session = this.sessions.getOrCreate(name);
    session.channel = channel;
    return [...session.exchanges.keys()];
  }

  /** Sends the kept parts of all answers of a session again; the entry leaves out what it has. */
  sendBufferedParts(name: string): void {
    const {channel, exchanges} = this.sessions.getOrCreate(name);
    for (const {parts} of exchanges.values()) {
      for (const part of parts) channel?.send(part);
    }
  }

  /** Takes the loss of the link to an entry. What runs goes on, as the entry may come back for the answer. */
  recordLinkLoss(name: string): void {
    const session = this.sessions.getOrCreate(name);
    session.channel = undefined;
    session.linkLostAt = this.clock.getTime();
    this.endUnsent(name);
    this.grantSlots();
  }

  /** Takes a message of an entry. */
  handle(name: string, message: EntryMessage): void {
    const session = this.sessions.getOrCreate(name);
    const exchange = session.exchanges.get(message.id);
    switch (message.kind) {
      case 'request':
        return this.onRequest(session, message);
      case 'send':
        if (exchange?.phase === 'granted')
          void this.runExchange(exchange, message);
        else if (!exchange) this.refuseSend(session, message);
        return;
      case 'withdraw':
      case 'cancel':
        if (!exchange) return;
        this.watch.recordCancel(exchange, this.clock.getTime());
        this.endExchange(exchange);
        this.grantSlots();
        return;
    }
  }

  /** Ends what waits or holds a grant: on a lost link it cannot have been sent. */
  private endUnsent(name: string): void {
    const {exchanges} = this.sessions.getOrCreate(name);
    for (const exchange of [...exchanges.values()]) {
      if (exchange.phase !== 'waiting' && exchange.phase !== 'granted')
        continue;
      this.endExchange(exchange);
      exchanges.delete(exchange.id);
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
      request: {
        route: message.route,
        priority: message.priority,
        isIdempotent: message.isIdempotent,
        isRetry: message.isRepeat,
        expectedMs: message.expectedMs,
        targetAt: now + message.targetInMs,
        deadlineAt: now + message.deadlineInMs,
        share: message.share,
      },
      abort: new AbortController(),
      phase: 'waiting',
      server: undefined,
      changedAt: now,
      parts: [],
    };
    session.exchanges.set(message.id, exchange);
    this.queue.add(exchange, exchange.request, now);
    this.grantSlots();
    if (this.queue.isWaiting(exchange)) {
      session.channel?.send({
        kind: 'queued',
        id: message.id,
        waitMs: Math.round(this.queue.estimateWait(exchange.request, now)),
        news: this.getNews(),
      });
    }
  }

  private findRefusal(
    message: RequestMessage,
    now: Millis,
  ): SlotRefusal | undefined {
    const backend = this.tracker.getReady();
    if (this.context.isShuttingDown()) return 'leaving';
    if (!backend || backend.service !== message.service) return 'no-server';
    const limits = this.context.getRetryLimits(backend.service);
    if (message.isRepeat && !this.budget.hasRetry(now, limits)) {
      return 'repeat-budget';
    }
    return undefined;
  }

  private grantSlots(): void {
    const backend = this.tracker.getReady();
    if (!backend || this.context.isShuttingDown()) return;
    for (;;) {
      const now = this.clock.getTime();
      const verdict = this.watch.getVerdict(now);
      const running = this.queue.countRunning();
      const limits = this.context.getRetryLimits(backend.service);
      const next = this.queue.claimNext(
        now,
        ({isIdempotent, isRetry: isRepeat}) =>
          this.watch.canRun(verdict, isIdempotent, running, now) &&
          (!isRepeat || this.budget.hasRetry(now, limits)),
      );
      if (!next) return;
      const exchange = next.key;
      exchange.phase = 'granted';
      exchange.server = backend.server;
      exchange.changedAt = now;
      this.watch.recordGrant(now);
      // Counted with the grant, so that requests granted together cannot exceed the budget together.
      if (exchange.request.isRetry) this.budget.recordRetry(now, limits);
      else this.budget.recordFirstAttempt(now, limits);
      this.metrics.slotWait.observe(next.waitedMs / 1000);
      exchange.session.channel?.send({
        kind: 'granted',
        id: exchange.id,
        server: backend.server,
        news: this.getNews(),
      });
    }
  }

  private async runExchange(
    exchange: Exchange,
    message: SendMessage,
  ): Promise<void> {
    const now = this.clock.getTime();
    const backend = this.tracker.getReady();
    // The server may have left between the grant and now.
    if (!backend || backend.server !== exchange.server) {
      this.runner.sendFailure(exchange, 'revoked', false, 'the server left');
      return this.endExchange(exchange);
    }
    exchange.phase = 'running';
    exchange.changedAt = now;
    this.watch.recordStart(exchange);
    const outcome = await this.runner.run(exchange, message, backend);
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
    if (isCancelled) return this.watch.recordCancel(exchange, now);
    this.watch.recordOutcome(exchange, startedAt, outcome, now);
    if (outcome.kind === 'answered') {
      this.runner.sendEnd(exchange, now - startedAt);
    } else {
      const {reason, mayHaveRun, detail} = outcome;
      this.runner.sendFailure(exchange, reason, mayHaveRun, detail);
    }
  }

  private check(): void {
    const now = this.clock.getTime();
    for (const exchange of this.queue.listTooLateToStart(now)) {
      this.refuse(exchange, 'hopeless');
    }
    for (const exchange of this.sessions.listExchanges()) {
      const {phase, changedAt} = exchange;
      if (phase === 'granted' && now - changedAt > grantMs) {
        this.refuse(exchange, 'expired');
      }
    }
    this.sessions.removeExpired(now);
    this.grantSlots();
    this.publishState();
  }

  private refuseWaiting(reason: SlotRefusal): void {
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

  /** Answers a request whose grant has ended; it was not sent to the server. */
  private refuseSend(session: Session, message: SendMessage): void {
    session.channel?.send({
      kind: 'failed',
      id: message.id,
      seq: 0,
      reason: 'revoked',
      mayHaveRun: false,
      detail: 'the grant has ended',
      news: this.getNews(),
    });
  }

  /** Frees the slot and stops the run; the parts that were sent are kept for a while. */
  private endExchange(exchange: Exchange): void {
    if (exchange.phase === 'ended') return;
    const wasRunning = exchange.phase === 'running';
    const now = this.clock.getTime();
    this.queue.release(exchange);
    if (wasRunning) exchange.abort.abort();
    exchange.phase = 'ended';
    exchange.changedAt = now;
  }

  private getNews(): SlotCounts {
    const {queue} = this;
    return {free: queue.countFree(), waiting: queue.countWaiting()};
  }

  private publishState(): void {
    const state = this.getState();
    const now = this.clock.getTime();
    if (!this.news.admit(state, now)) return;
    const suspicion = this.watch.getSuspicion(now);
    this.logger.info({state, suspicion}, 'guard state');
    this.context.onStateChange(state);
  }
}
