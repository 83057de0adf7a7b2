import {
  Clock,
  EventQueue,
  Logger,
  Millis,
  Random,
  ServiceId,
} from '../base/index.js';
import {computeRetryAfter} from '../dispatch/index.js';
import {RawHeaders} from '../mesh/index.js';
import {CallerResponse, LocalErrorCode} from './caller_response.js';
import {CallerRequest} from './caller_request.js';
import {CallEvent, GuardCall} from './guard_calls.js';
import {EntryMetrics} from './metrics.js';
import {
  estimateRunTime,
  SearchContext,
  SlotSearch,
  minRemainingFraction,
} from './slot_search.js';

/** Answers up to this size are passed on only when whole, so that a broken one can be replaced by a repeat. */
const holdBytes = 256 * 1024;
/** Pause after which a second attempt is tried again where none was allowed. */
const repeatPauseMs: Millis = 300;

/** What a request task uses of the node. */
export interface TaskContext extends SearchContext {
  readonly metrics: EntryMetrics;
  /** Service of the backend server on this VM, where its callers' requests originate. */
  getCallerService(): ServiceId | undefined;
}

type TaskEvent =
  | {readonly kind: 'gone'}
  | {
      readonly kind: 'call';
      readonly call: GuardCall;
      readonly event: CallEvent;
    };

interface Flight {
  readonly sentAt: Millis;
  /** Whether the guard doubts the server that runs it. */
  isSuspected: boolean;
  head: {readonly status: number; readonly headers: RawHeaders} | undefined;
  readonly chunks: Uint8Array[];
  bytes: number;
}

interface Answer {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly chunks: readonly Uint8Array[];
}

/** Leads one request to an answer: asks guards for a slot, sends, repeats what may be repeated. */
export class RequestTask {
  private readonly events: EventQueue<TaskEvent>;
  private readonly search: SlotSearch;
  private readonly flights = new Map<GuardCall, Flight>();
  private streamed: GuardCall | undefined;
  /** The answer of a failed attempt, passed on if no better one comes. */
  private fallback: Answer | undefined;
  private sends = 0;
  private mayHaveRun = false;
  private nextRepeatAt: Millis = 0;
  private result = '';

  constructor(
    private readonly request: CallerRequest,
    private readonly reply: CallerResponse,
    private readonly context: TaskContext,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {
    this.events = new EventQueue(clock);
    this.search = new SlotSearch(
      request,
      context,
      (call, event) => this.events.add({kind: 'call', call, event}),
      random,
    );
  }

  /** Notes that the caller has left. */
  cancel(): void {
    this.events.add({kind: 'gone'});
  }

  /** Resolves when the caller has its answer or has left; never throws. */
  async run(): Promise<void> {
    this.search.start();
    while (this.result === '') {
      const now = this.clock.getTime();
      if (now >= this.request.deadlineAt) {
        this.endAtDeadline();
        break;
      }
      if (this.search.isRunning()) {
        const failure = this.search.advance(now, this.sends > 0);
        if (failure) this.endSearch(failure, now);
        if (this.result !== '') break;
      }
      const event = await this.events.receive(this.findNextWake(now));
      if (event?.kind === 'gone') this.finish('caller-left');
      else if (event) this.handle(event.call, event.event);
      else this.startRepeat();
    }
    this.search.close();
    for (const call of this.flights.keys()) this.context.calls.close(call);
  }

  private getExpected(): Millis {
    return estimateRunTime(this.context.workTimes, this.request.route);
  }

  private getOverdue(): Millis {
    const {route} = this.request;
    return this.context.workTimes.getOverdueThreshold(route.id, route.targetMs);
  }

  private findNextWake(now: Millis): Millis {
    let wake = this.request.deadlineAt;
    if (this.search.isRunning()) {
      wake = Math.min(wake, this.search.getNextWakeup(now));
    } else if (this.canRepeat(now)) {
      for (const flight of this.flights.values()) {
        wake = Math.min(wake, this.findRepeatTime(flight));
      }
    }
    return wake;
  }

  /** Stops looking for a slot; without a request under way, this ends the task. */
  private endSearch(error: LocalErrorCode, now: Millis): void {
    this.search.close();
    if (this.flights.size > 0) return;
    if (this.fallback) return this.sendAnswer(this.fallback);
    if (this.mayHaveRun) return this.sendError('server-failed');
    this.sendError(
      error,
      Math.min(
        computeRetryAfter(this.search.getShortestWait(), this.random),
        Math.max(0, this.request.deadlineAt - now),
      ),
    );
  }

  private endAtDeadline(): void {
    if (this.streamed) {
      this.reply.abort();
      return this.finish('cut-at-deadline');
    }
    if (this.fallback) return this.sendAnswer(this.fallback);
    if (this.mayHaveRun || this.flights.size > 0)
      return this.sendError('timeout');
    this.sendError(
      'expired',
      computeRetryAfter(this.search.getShortestWait(), this.random),
    );
  }

  private handle(call: GuardCall, event: CallEvent): void {
    switch (event.kind) {
      case 'queued':
        return this.search.recordQueued(call, event.waitMs);
      case 'granted':
        if (this.search.useGrant(call)) this.send(call);
        return;
      case 'refused':
        if (this.flights.has(call)) return this.recordRevocation(call);
        this.search.recordRefusal(call, event.reason);
        if (event.reason === 'repeat-budget' && this.flights.size > 0) {
          this.endSearch('busy', this.clock.getTime());
        }
        return;
      case 'suspected':
        return this.recordSuspicion(call);
      case 'head': {
        const flight = this.flights.get(call);
        if (flight) flight.head = event;
        return;
      }
      case 'chunk':
        return this.handleChunk(call, event.bytes);
      case 'end':
        return this.handleEnd(call, event.ranMs);
      case 'failed':
        return this.handleFailure(call, event);
    }
  }

  private send(call: GuardCall): void {
    this.search.close();
    const now = this.clock.getTime();
    const {request} = this;
    this.sends += 1;
    this.flights.set(call, {
      sentAt: now,
      isSuspected: false,
      head: undefined,
      chunks: [],
      bytes: 0,
    });
    this.context.calls.send(call, {
      method: request.method,
      target: request.target,
      headers: request.headers,
      body: request.body,
      caller: this.context.getCallerService(),
      deadlineInMs: Math.floor(request.deadlineAt - now),
    });
    this.context.metrics.sends.inc({repeat: this.sends > 1 ? 'yes' : 'no'});
    this.logger.info(
      {
        requestId: request.requestId,
        route: request.route.id,
        service: request.service,
        guard: call.node,
        attempt: this.sends,
        afterMs: Math.round(now - request.receivedAt),
        slotsHeard: this.context.calls.getReportedSlots(call.node),
      },
      'request placed',
    );
  }

  private handleChunk(call: GuardCall, bytes: Uint8Array): void {
    const flight = this.flights.get(call);
    if (!flight?.head) return;
    flight.bytes += bytes.length;
    if (this.streamed === call) return this.reply.writeChunk(bytes);
    flight.chunks.push(bytes);
    if (flight.bytes <= holdBytes || this.streamed) return;
    this.streamed = call;
    this.closeOthers(call);
    this.reply.startStream(flight.head.status, flight.head.headers);
    for (const chunk of flight.chunks) this.reply.writeChunk(chunk);
    flight.chunks.length = 0;
  }

  private closeOthers(call: GuardCall): void {
    this.search.close();
    for (const other of [...this.flights.keys()]) {
      if (other === call) continue;
      this.context.calls.close(other);
      this.flights.delete(other);
    }
  }

  private handleEnd(call: GuardCall, ranMs: Millis): void {
    const flight = this.flights.get(call);
    this.flights.delete(call);
    if (!flight?.head) return;
    const {route} = this.request;
    this.mayHaveRun = true;
    if (flight.head.status < 500) {
      this.context.workTimes.record(route.id, route.targetMs, ranMs);
    }
    if (this.streamed === call) {
      this.reply.endStream();
      return this.finish('answered');
    }
    const answer = {...flight.head, chunks: flight.chunks};
    if (answer.status >= 500) {
      this.fallback = answer;
      if (this.retryOrWait()) return;
    }
    this.sendAnswer(answer);
  }

  private handleFailure(
    call: GuardCall,
    event: Extract<CallEvent, {kind: 'failed'}>,
  ): void {
    if (!this.flights.delete(call)) return;
    this.logger.warn(
      {
        requestId: this.request.requestId,
        guard: call.node,
        attempt: this.sends,
        reason: event.reason,
        mayHaveRun: event.mayHaveRun,
        detail: event.detail,
      },
      'attempt failed',
    );
    if (this.streamed === call) {
      this.reply.abort();
      return this.finish('cut');
    }
    if (event.mayHaveRun) this.mayHaveRun = true;
    // What never reached a backend server uses up none of the attempts.
    else if (event.reason !== 'shed') this.sends -= 1;
    if (this.retryOrWait()) return;
    if (this.fallback) return this.sendAnswer(this.fallback);
    this.sendError(
      this.mayHaveRun ? 'server-failed' : 'busy',
      this.mayHaveRun
        ? undefined
        : computeRetryAfter(this.search.getShortestWait(), this.random),
    );
  }

  /** The grant had ended when the request was sent; the guard refuses a request without a grant. */
  private recordRevocation(call: GuardCall): void {
    this.handleFailure(call, {
      kind: 'failed',
      reason: 'revoked',
      mayHaveRun: false,
      detail: 'the grant ended before the request came',
    });
  }

  /** Goes on with another attempt or with one under way; false if the task must end. */
  private retryOrWait(): boolean {
    if (this.flights.size > 0 || this.search.isRunning()) return true;
    if (!this.canRepeat(this.clock.getTime())) return false;
    this.search.start();
    return true;
  }

  private canRepeat(now: Millis): boolean {
    const {route, deadlineAt} = this.request;
    const remaining = deadlineAt - now;
    return (
      (route.isIdempotent || (!this.mayHaveRun && this.flights.size === 0)) &&
      this.sends < route.maxAttempts &&
      this.flights.size < 2 &&
      !this.streamed &&
      remaining > this.getExpected() * minRemainingFraction
    );
  }

  /** When a second attempt starts beside one that brings nothing. */
  private findRepeatTime({head, sentAt, isSuspected}: Flight): Millis {
    if (head) return Infinity;
    const patienceMs = isSuspected ? this.getExpected() : this.getOverdue();
    return Math.max(sentAt + patienceMs, this.nextRepeatAt);
  }

  /** The guard has come to doubt its server: a run that could have ended by now is not waited for. */
  private recordSuspicion(call: GuardCall): void {
    const flight = this.flights.get(call);
    if (flight) flight.isSuspected = true;
    this.startRepeat();
  }

  private startRepeat(): void {
    const now = this.clock.getTime();
    if (this.search.isRunning() || this.flights.size !== 1) return;
    if (!this.canRepeat(now)) return;
    const [flight] = this.flights.values();
    if (now < this.findRepeatTime(flight)) return;
    this.nextRepeatAt = now + repeatPauseMs;
    this.search.start();
  }

  private sendAnswer({status, headers, chunks}: Answer): void {
    this.reply.sendBuffered(status, headers, chunks);
    this.finish(status < 500 ? 'answered' : 'answered-error', status);
  }

  private sendError(error: LocalErrorCode, retryMs?: Millis): void {
    this.reply.sendError(error, retryMs);
    this.finish(error);
  }

  private finish(result: string, status?: number): void {
    this.result = result;
    const {request} = this;
    const tookMs = this.clock.getTime() - request.receivedAt;
    this.context.metrics.requests.inc({result});
    this.context.metrics.latency.observe({result}, tookMs / 1000);
    this.logger.info(
      {
        requestId: request.requestId,
        route: request.route.id,
        service: request.service,
        result,
        status,
        tookMs: Math.round(tookMs),
        budgetMs: Math.round(request.deadlineAt - request.receivedAt),
        attempts: this.sends,
        mayHaveRun: this.mayHaveRun || this.flights.size > 0,
        expectedMs: Math.round(this.getExpected()),
        shortestWaitMs: Math.round(this.search.getShortestWait()),
        lastRefusal: this.search.getLastRefusal(),
      },
      'request ended',
    );
  }
}
