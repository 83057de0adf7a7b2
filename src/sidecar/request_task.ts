import {
  ByteBudget,
  Clock,
  EventQueue,
  Logger,
  Millis,
  Random,
  ServiceId,
} from '../base/index.js';
import {computeRetryAfter} from '../dispatch/index.js';
import {ArrivingResponse, BufferedResponse} from './arriving_response.js';
import {CallerResponse, LocalErrorCode} from './caller_response.js';
import {CallerRequest, describeRequest} from './caller_request.js';
import {CallEvent, GuardCall} from './guard_calls.js';
import {EntryMetrics} from './metrics.js';
import {ResponseCredit} from './response_credit.js';
import {
  estimateRunTime,
  SearchContext,
  SlotSearch,
  minRemainingFraction,
} from './slot_search.js';

/** Minimum time between the starts of two searches for a slot for a hedged attempt. */
const minHedgeIntervalMs: Millis = 300;

/** What a request task needs from the rest of the node. */
export interface TaskContext extends SearchContext {
  readonly metrics: EntryMetrics;
  /** What the node holds of responses, including what guards may send. */
  readonly responses: ByteBudget;
  /** Service of the backend server on this VM; named to other backend servers as the caller of requests from this VM. */
  getCallerService(): ServiceId | undefined;
}

type TaskEvent =
  | {readonly kind: 'disconnected'}
  | {
      readonly kind: 'call';
      readonly call: GuardCall;
      readonly event: CallEvent;
    };

interface Attempt {
  readonly sentAt: Millis;
  /** Whether the guard suspects the server that runs the request. */
  isSuspected: boolean;
  readonly arriving: ArrivingResponse;
}

/** Drives one request to its response: requests a slot from guards, sends, and retries or hedges where allowed. */
export class RequestTask {
  private readonly events: EventQueue<TaskEvent>;
  private readonly search: SlotSearch;
  private readonly inFlight = new Map<GuardCall, Attempt>();
  /** Responses of all attempts, which take memory until the caller has the one that it gets. */
  private readonly responses: ArrivingResponse[] = [];
  private streamedCall: GuardCall | undefined;
  /** Error response of a failed attempt, sent if no attempt succeeds. */
  private fallback: BufferedResponse | undefined;
  private attempts = 0;
  private mayHaveRun = false;
  private nextHedgeAt: Millis = 0;
  private result = '';

  constructor(
    private readonly request: CallerRequest,
    private readonly response: CallerResponse,
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

  /** Ends the task because the caller has disconnected. */
  cancel(): void {
    this.events.add({kind: 'disconnected'});
  }

  /** Resolves when the caller has its response or has disconnected; never throws. */
  async run(): Promise<void> {
    this.search.start();
    while (this.result === '') {
      const now = this.clock.getTime();
      if (now >= this.request.deadlineAt) {
        this.endAtDeadline();
        break;
      }
      if (this.search.isRunning()) {
        const failure = this.search.advance(now, this.attempts > 0);
        if (failure) this.endSearch(failure, now);
        if (this.result !== '') break;
      }
      const event = await this.events.receive(this.getNextWakeup(now));
      if (event?.kind === 'disconnected') this.finish('caller-left');
      else if (event) this.handle(event.call, event.event);
      else this.startHedgeIfDue();
    }
    this.search.close();
    for (const call of this.inFlight.keys()) this.context.calls.close(call);
  }

  /** Frees the memory that the response takes; to be called when its connection has taken it or is closed. */
  releaseMemory(): void {
    for (const arriving of this.responses) arriving.releaseMemory();
  }

  private getExpectedRunTime(): Millis {
    return estimateRunTime(this.context.runDurations, this.request.route);
  }

  private getNextWakeup(now: Millis): Millis {
    let wakeAt = this.request.deadlineAt;
    if (this.search.isRunning()) {
      wakeAt = Math.min(wakeAt, this.search.getNextWakeup(now));
    } else if (this.canRetry(now)) {
      for (const attempt of this.inFlight.values()) {
        wakeAt = Math.min(wakeAt, this.findHedgeTime(attempt));
      }
    }
    return wakeAt;
  }

  /** Stops the search for a slot; ends the task unless an attempt is in flight. */
  private endSearch(error: LocalErrorCode, now: Millis): void {
    this.search.close();
    if (this.inFlight.size > 0) return;
    if (this.fallback) return this.sendResponse(this.fallback);
    if (this.mayHaveRun) return this.sendError('server-failed');
    this.sendError(
      error,
      Math.min(
        computeRetryAfter(this.search.getRetryWait(now), this.random),
        Math.max(0, this.request.deadlineAt - now),
      ),
    );
  }

  private endAtDeadline(): void {
    if (this.streamedCall) {
      this.response.abort();
      return this.finish('cut-at-deadline');
    }
    if (this.fallback) return this.sendResponse(this.fallback);
    if (this.mayHaveRun || this.inFlight.size > 0)
      return this.sendError('timeout');
    this.sendError(
      'expired',
      computeRetryAfter(this.search.getShortestWait(), this.random),
    );
  }

  private handle(call: GuardCall, event: CallEvent): void {
    const now = this.clock.getTime();
    switch (event.kind) {
      case 'queued':
        return this.search.recordQueued(call, event.waitMs, now);
      case 'granted':
        if (this.search.useGrant(call)) this.send(call);
        return;
      case 'refused':
        if (this.inFlight.has(call)) return this.recordRevocation(call);
        this.search.recordRefusal(call, event.reason);
        if (event.reason === 'repeat-budget' && this.inFlight.size > 0) {
          this.endSearch('busy', now);
        }
        return;
      case 'suspected':
        return this.recordSuspicion(call);
      case 'head':
        this.inFlight.get(call)?.arriving.setHead(event);
        return;
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
    const credit = ResponseCredit.claim(this.context.responses);
    if (!credit) {
      this.context.calls.close(call);
      return this.endSearch('busy', now);
    }
    const {request} = this;
    const arriving = new ArrivingResponse(credit, this.response, bytes =>
      this.context.calls.grantCredit(call, bytes),
    );
    this.responses.push(arriving);
    const slots = this.context.calls.getReportedSlots(call.node);
    this.attempts += 1;
    this.inFlight.set(call, {
      sentAt: now,
      isSuspected: slots?.verdict === 'suspended',
      arriving,
    });
    this.context.calls.send(call, {
      method: request.method,
      target: request.target,
      headers: request.headers,
      body: request.body,
      caller: this.context.getCallerService(),
      deadlineInMs: Math.floor(request.deadlineAt - now),
    });
    this.context.metrics.sends.inc({repeat: this.attempts > 1 ? 'yes' : 'no'});
    this.logger.info(
      {
        ...describeRequest(request),
        guard: call.node,
        attempt: this.attempts,
        afterMs: Math.round(now - request.receivedAt),
        slotsHeard: slots,
      },
      'request placed',
    );
  }

  private handleChunk(call: GuardCall, bytes: Uint8Array): void {
    const arriving = this.inFlight.get(call)?.arriving;
    if (!arriving?.addChunk(bytes)) return;
    this.streamedCall = call;
    this.closeOtherAttempts(call);
    arriving.startStream();
  }

  private closeOtherAttempts(call: GuardCall): void {
    this.search.close();
    for (const other of [...this.inFlight.keys()]) {
      if (other === call) continue;
      this.context.calls.close(other);
      this.inFlight.get(other)?.arriving.releaseMemory();
      this.inFlight.delete(other);
    }
  }

  private handleEnd(call: GuardCall, ranMs: Millis): void {
    const attempt = this.inFlight.get(call);
    this.inFlight.delete(call);
    const response = attempt?.arriving.getBuffered();
    if (!response) return;
    const {route} = this.request;
    this.mayHaveRun = true;
    if (response.status < 500) {
      this.context.runDurations.record(route.id, route.targetMs, ranMs);
    }
    if (this.streamedCall === call) {
      this.response.endStream();
      return this.finish('answered');
    }
    if (response.status >= 500) {
      this.fallback = response;
      if (this.retryOrWait()) return;
    }
    this.sendResponse(response);
  }

  private handleFailure(
    call: GuardCall,
    event: Extract<CallEvent, {kind: 'failed'}>,
  ): void {
    const attempt = this.inFlight.get(call);
    if (!attempt) return;
    this.inFlight.delete(call);
    if (this.streamedCall !== call) attempt.arriving.releaseMemory();
    this.logger.warn(
      {
        requestId: this.request.requestId,
        guard: call.node,
        attempt: this.attempts,
        reason: event.reason,
        mayHaveRun: event.mayHaveRun,
        detail: event.detail,
      },
      'attempt failed',
    );
    if (this.streamedCall === call) {
      this.response.abort();
      return this.finish('cut');
    }
    if (event.mayHaveRun) this.mayHaveRun = true;
    // An attempt that no backend server ran or shed does not count towards the maximum.
    else if (event.reason !== 'shed') this.attempts -= 1;
    if (this.retryOrWait()) return;
    if (this.fallback) return this.sendResponse(this.fallback);
    this.sendError(
      this.mayHaveRun ? 'server-failed' : 'busy',
      this.mayHaveRun
        ? undefined
        : computeRetryAfter(this.search.getShortestWait(), this.random),
    );
  }

  /** Handles a grant that expired before the request arrived; the guard refuses requests without a grant. */
  private recordRevocation(call: GuardCall): void {
    this.handleFailure(call, {
      kind: 'failed',
      reason: 'revoked',
      mayHaveRun: false,
      detail: 'the grant expired before the request arrived',
    });
  }

  /** Continues with an attempt in flight or with a retry; returns false if the task must end. */
  private retryOrWait(): boolean {
    if (this.inFlight.size > 0 || this.search.isRunning()) return true;
    if (!this.canRetry(this.clock.getTime())) return false;
    this.search.start();
    return true;
  }

  private canRetry(now: Millis): boolean {
    const {route, deadlineAt} = this.request;
    const remainingMs = deadlineAt - now;
    return (
      (route.isIdempotent || (!this.mayHaveRun && this.inFlight.size === 0)) &&
      this.attempts < route.maxAttempts &&
      this.inFlight.size < 2 &&
      !this.streamedCall &&
      remainingMs > this.getExpectedRunTime() * minRemainingFraction
    );
  }

  /** Time at which a second attempt may start beside one that has not responded. */
  private findHedgeTime({arriving, sentAt, isSuspected}: Attempt): Millis {
    if (arriving.getHead()) return Infinity;
    const {id, targetMs} = this.request.route;
    const delayMs = isSuspected
      ? this.getExpectedRunTime()
      : this.context.runDurations.getOverdueThreshold(id, targetMs);
    return Math.max(sentAt + delayMs, this.nextHedgeAt);
  }

  /** Marks an attempt whose guard suspects its server: it is hedged once the expected run time has passed. */
  private recordSuspicion(call: GuardCall): void {
    const attempt = this.inFlight.get(call);
    if (attempt) attempt.isSuspected = true;
    this.startHedgeIfDue();
  }

  private startHedgeIfDue(): void {
    const now = this.clock.getTime();
    if (this.search.isRunning() || this.inFlight.size !== 1) return;
    if (!this.canRetry(now)) return;
    const [attempt] = this.inFlight.values();
    if (now < this.findHedgeTime(attempt)) return;
    this.nextHedgeAt = now + minHedgeIntervalMs;
    this.search.start();
  }

  private sendResponse({status, headers, chunks}: BufferedResponse): void {
    this.response.sendBuffered(status, headers, chunks);
    this.finish(status < 500 ? 'answered' : 'answered-error', status);
  }

  private sendError(error: LocalErrorCode, retryAfterMs?: Millis): void {
    this.response.sendError(error, retryAfterMs);
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
        ...describeRequest(request),
        result,
        status,
        tookMs: Math.round(tookMs),
        budgetMs: Math.round(request.deadlineAt - request.receivedAt),
        attempts: this.attempts,
        mayHaveRun: this.mayHaveRun || this.inFlight.size > 0,
        expectedMs: Math.round(this.getExpectedRunTime()),
        shortestWaitMs: Math.round(this.search.getShortestWait()),
        lastRefusal: this.search.getLastRefusal(),
        limits: this.search.getLimitsAtEnd(),
      },
      'request ended',
    );
  }
}
