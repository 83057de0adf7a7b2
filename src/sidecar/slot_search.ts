import {Millis, NodeId, Random} from '../base/index.js';
import {
  countedWaitFraction,
  GuardView,
  IdleReports,
  isReachable,
  isWaitTooLong,
  rankGuards,
  RunDurationEstimator,
} from '../dispatch/index.js';
import {SlotCounts, SlotRefusal} from '../mesh/index.js';
import {CallerRequest, findPartedSize} from './caller_request.js';
import {CallEvent, GuardCall, GuardCalls} from './guard_calls.js';
import {RoutingRoute} from './routing.js';

/** Maximum number of guards with a pending slot request for the same request. */
const maxSlotRequests = 8;
/** Time to wait for a guard's reply before asking the next guard; replies across data centres take 1 to 3 ms. */
const replyTimeoutMs: Millis = 30;
/** Interval at which the list of guards is checked again while a request waits. */
const recheckIntervalMs: Millis = 150;
/** Time that a request waits for its service to have a backend server. */
const noServerTimeoutMs: Millis = 400;
/** Fraction of the expected run time that must remain before the deadline for an attempt to be worth a slot. */
export const minRemainingFraction = 0.7;
/** Largest probability that a run is cut off by the end of the shutdown for which a request is still started. */
const maxCutProbability = 0.1;
/** Number of guards that must give up a request before the search ends; their queues are alike. */
const maxHopelessRefusals = 2;

/**
 * Longest wait for a slot in the request's own data centre, as a fraction of the route's target; large responses cost
 * more to move between data centres.
 */
const bulkLocalWaitFraction = 0.25;
const localWaitFraction = 0.06;

/** Upper bound of the expected run time, as a fraction of the route's timeout. */
const maxTimeoutFraction = 0.5;

/**
 * Estimates the time that a run of a route takes, bounded by the route's timeout: an estimate above the timeout would
 * refuse every request, so that no run could ever correct it.
 */
export function estimateRunTime(
  runDurations: RunDurationEstimator,
  route: RoutingRoute,
): Millis {
  return Math.min(
    runDurations.getMean(route.id, route.targetMs),
    route.timeoutMs * maxTimeoutFraction,
  );
}

/** What a slot search needs from the rest of the node. */
export interface SearchContext {
  readonly calls: GuardCalls;
  readonly runDurations: RunDurationEstimator;
  readonly dataCentre: GuardView['dataCentre'];
  readonly idleReports: IdleReports;
  listGuards(service: CallerRequest['service']): readonly GuardView[];
  /** Time by which all requests must have ended because the node shuts down; Infinity until it does. */
  getShutdownDeadline(): Millis;
  /** Time by which callers use other nodes because this one shuts down; Infinity until it does. */
  getNoticeEnd(): Millis;
}

/** Why a search ended without a slot. */
export type SearchFailure = 'expired' | 'busy' | 'no-server' | 'leaving';

/** Limit of a server as its guard reported it. */
export type HeardLimit = NonNullable<SlotCounts['limit']> & {
  readonly guard: NodeId;
};

interface PendingSlotRequest {
  readonly sentAt: Millis;
  /** Estimated wait; undefined until the guard has replied. */
  waitMs: Millis | undefined;
  /** When the limit of the server reaches the request; undefined if only the queue before it decides. */
  limitReachedAt: Millis | undefined;
}

/** Requests a slot for one request from the best guard, and from further guards while none can grant one at once. */
export class SlotSearch {
  private readonly pending = new Map<GuardCall, PendingSlotRequest>();
  /** Guards that have refused or granted a slot and are not asked again for this request. */
  private readonly excludedNodes = new Set<NodeId>();
  private isOpen = false;
  /** Whether a guard has been asked. */
  private hasAsked = false;
  private hopelessRefusals = 0;
  private shortestWaitMs: Millis = 0;
  private lastRefusal: SlotRefusal | 'link-lost' | undefined;
  private limitsAtEnd: readonly HeardLimit[] | undefined;

  constructor(
    private readonly request: CallerRequest,
    private readonly context: SearchContext,
    private readonly onEvent: (call: GuardCall, event: CallEvent) => void,
    private readonly random: Random,
  ) {}

  start(): void {
    this.isOpen = true;
  }

  isRunning(): boolean {
    return this.isOpen;
  }

  /** Shortest wait that guards estimated when it was last checked. */
  getShortestWait(): Millis {
    return this.shortestWaitMs;
  }

  /** Wait before a refused caller should come back; not before it uses another node if this one shuts down. */
  getRetryWait(now: Millis): Millis {
    return this.isLikelyCut(now)
      ? Math.max(0, this.context.getNoticeEnd() - now)
      : this.shortestWaitMs;
  }

  getLastRefusal(): SlotRefusal | 'link-lost' | undefined {
    return this.lastRefusal;
  }

  /** Limits of the servers that were asked when the search failed; undefined if there were none. */
  getLimitsAtEnd(): readonly HeardLimit[] | undefined {
    return this.limitsAtEnd;
  }

  /** Withdraws all pending slot requests. */
  close(): void {
    this.isOpen = false;
    for (const call of this.pending.keys()) this.context.calls.close(call);
    this.pending.clear();
  }

  /** Time at which the search must be advanced if no event arrives. */
  getNextWakeup(now: Millis): Millis {
    const isSoon = this.isReplyAwaited(now) || this.isLocalWaitWorthwhile(now);
    return now + (isSoon ? replyTimeoutMs : recheckIntervalMs);
  }

  /** Asks a further guard if that may help; returns the reason if the search should end. */
  advance(now: Millis, isRetry: boolean): SearchFailure | undefined {
    const failure = this.requestNext(now, isRetry);
    if (failure) {
      const limits = this.listLimits();
      this.limitsAtEnd = limits.length > 0 ? limits : undefined;
    }
    return failure;
  }

  private requestNext(
    now: Millis,
    isRetry: boolean,
  ): SearchFailure | undefined {
    const {deadlineAt} = this.request;
    const remainingMs =
      Math.min(deadlineAt, this.context.getShutdownDeadline()) - now;
    const expectedMs = this.getExpectedRunTime();
    if (remainingMs < expectedMs * minRemainingFraction) return 'expired';
    if (this.isLikelyCut(now)) return 'leaving';
    if (this.hopelessRefusals >= maxHopelessRefusals) return 'busy';
    const idle = this.claimIdleGuard(now, isRetry);
    if (idle) this.requestSlot(idle, now, isRetry, 1, true);
    // Ranks guards only if a further one may be asked, which is not the case while a reply to a slot request is awaited.
    if (this.pending.size < maxSlotRequests && !this.isReplyAwaited(now)) {
      const ranked = this.rankCandidates(now);
      const candidates = ranked.length + this.pending.size;
      if (ranked.length > 0) {
        this.requestSlot(ranked[0], now, isRetry, candidates, false);
      }
    }
    if (this.pending.size > 0) {
      return this.checkWait(remainingMs, expectedMs, now);
    }
    if (this.hopelessRefusals > 0) return 'busy';
    const waitedMs = now - this.request.receivedAt;
    return waitedMs >= noServerTimeoutMs || isRetry ? 'no-server' : undefined;
  }

  /** Records a guard's estimate of the wait. */
  recordQueued(call: GuardCall, waitMs: Millis, now: Millis): void {
    const pendingRequest = this.pending.get(call);
    if (!pendingRequest) return;
    const {limit} = this.context.calls.getReportedSlots(call.node) ?? {};
    pendingRequest.waitMs = waitMs;
    pendingRequest.limitReachedAt = limit ? now + waitMs : undefined;
  }

  recordRefusal(call: GuardCall, reason: SlotRefusal | 'link-lost'): void {
    this.pending.delete(call);
    if (reason !== 'not-idle') this.excludedNodes.add(call.node);
    this.lastRefusal = reason;
    if (reason === 'hopeless') this.hopelessRefusals += 1;
  }

  /** Accepts a grant and withdraws the other slot requests; returns false if the slot is no longer needed. */
  useGrant(call: GuardCall): boolean {
    if (!this.pending.delete(call)) return false;
    this.excludedNodes.add(call.node);
    this.close();
    return true;
  }

  private listLimits(): readonly HeardLimit[] {
    const limits: HeardLimit[] = [];
    for (const {node} of this.pending.keys()) {
      const limit = this.context.calls.getReportedSlots(node)?.limit;
      if (limit) limits.push({guard: node, ...limit});
    }
    return limits;
  }

  private getExpectedRunTime(): Millis {
    return estimateRunTime(this.context.runDurations, this.request.route);
  }

  /** Whether a run that starts now is likely to last beyond the end of the shutdown. */
  private isLikelyCut(now: Millis): boolean {
    const untilEndMs = this.context.getShutdownDeadline() - now;
    if (untilEndMs === Infinity) return false;
    const {id, targetMs} = this.request.route;
    const survival = this.context.runDurations.getSurvivalProbability(
      id,
      targetMs,
      untilEndMs,
      this.getExpectedRunTime(),
    );
    return survival > maxCutProbability;
  }

  private isReplyAwaited(now: Millis): boolean {
    for (const {waitMs, sentAt} of this.pending.values()) {
      if (waitMs === undefined && now - sentAt < replyTimeoutMs) return true;
    }
    return false;
  }

  private rankCandidates(now: Millis): readonly NodeId[] {
    const askedNodes = new Set([...this.pending.keys()].map(({node}) => node));
    const {service, route} = this.request;
    const isLocalOnly = this.isLocalWaitWorthwhile(now);
    const guards = this.context
      .listGuards(service)
      .filter(
        ({node, dataCentre}) =>
          !askedNodes.has(node) &&
          !this.excludedNodes.has(node) &&
          !(isLocalOnly && dataCentre !== this.context.dataCentre),
      );
    return rankGuards(
      guards,
      this.context.dataCentre,
      route.isIdempotent,
      this.random,
    );
  }

  /** Returns a guard that has reported its server idle, to be asked before all others; large responses stay local. */
  private claimIdleGuard(now: Millis, isRetry: boolean): NodeId | undefined {
    if (this.hasAsked || isRetry) return undefined;
    this.hasAsked = true;
    const {service, route} = this.request;
    const {idleReports} = this.context;
    const canAsk = (node: NodeId) =>
      this.context
        .listGuards(service)
        .some(guard => guard.node === node && this.canAskIdle(guard));
    return idleReports.claim(service, route.isIdempotent, canAsk, now);
  }

  private canAskIdle(guard: GuardView): boolean {
    const isLocal = guard.dataCentre === this.context.dataCentre;
    return isReachable(guard) && (isLocal || !this.request.route.isBulk);
  }

  private requestSlot(
    node: NodeId,
    now: Millis,
    isRetry: boolean,
    candidates: number,
    isForIdle: boolean,
  ): void {
    const {route, requestId, service, receivedAt, deadlineAt} = this.request;
    const bodyBytes = findPartedSize(this.request.body);
    const call = this.context.calls.open(
      node,
      {
        requestId,
        service,
        route: route.id,
        priority: route.priority,
        isIdempotent: route.isIdempotent,
        isRepeat: isRetry,
        expectedMs: Math.round(this.getExpectedRunTime()),
        targetInMs: Math.round(receivedAt + route.targetMs - now),
        deadlineInMs: Math.round(deadlineAt - now),
        share: 1 / Math.max(1, Math.min(maxSlotRequests, candidates)),
        ...(isForIdle && {isForIdle}),
        ...(bodyBytes !== undefined && {bodyBytes}),
      },
      this.onEvent,
    );
    this.pending.set(call, {
      sentAt: now,
      waitMs: undefined,
      limitReachedAt: undefined,
    });
  }

  /** Whether a guard in the same data centre is likely to grant a slot soon, which keeps the response local. */
  private isLocalWaitWorthwhile(now: Millis): boolean {
    const {route, receivedAt} = this.request;
    const maxLocalWaitMs =
      route.targetMs *
      (route.isBulk ? bulkLocalWaitFraction : localWaitFraction);
    if (now - receivedAt > maxLocalWaitMs) return false;
    for (const {waitMs} of this.pending.values()) {
      if (waitMs !== undefined && waitMs <= maxLocalWaitMs) return true;
    }
    return false;
  }

  /** Ends the search if all guards asked have estimated a wait that is too long. */
  private checkWait(
    remainingMs: Millis,
    expectedMs: Millis,
    now: Millis,
  ): SearchFailure | undefined {
    const waits = [...this.pending.values()].map(({waitMs, limitReachedAt}) =>
      limitReachedAt === undefined ? waitMs : Math.max(0, limitReachedAt - now),
    );
    if (waits.some(wait => wait === undefined)) return undefined;
    this.shortestWaitMs = Math.min(...waits.map(wait => wait ?? 0));
    const waitMs = this.shortestWaitMs * countedWaitFraction;
    return isWaitTooLong(waitMs, expectedMs, remainingMs) ? 'busy' : undefined;
  }
}
