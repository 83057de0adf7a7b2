import {Millis, NodeId, Random} from '../base/index.js';
import {
  GuardView,
  isWaitTooLong,
  rankGuards,
  RunDurationEstimator,
} from '../dispatch/index.js';
import {SlotRefusal} from '../mesh/index.js';
import {CallerRequest} from './caller_request.js';
import {CallEvent, GuardCall, GuardCalls} from './guard_calls.js';
import {RoutingRoute} from './routing.js';

/** Guards asked at once for a slot. */
const maxAsked = 8;
/** A guard that does not reply within this time is passed over; replies across data centres take 1 to 3 ms. */
const replyPatienceMs: Millis = 30;
/** Pause after which guards are looked up again while a request waits. */
const recheckMs: Millis = 150;
/** How long a request waits for a first backend server of its service to appear. */
const noServerMs: Millis = 400;
/** Part of the expected time that must be left for an attempt to be worth its slot. */
export const minRemainingFraction = 0.7;
/** Part of the estimated wait that counts towards refusing at once; requests ahead may leave or go elsewhere. */
const waitTrust = 0.7;

/** Part of the target that a request waits for a slot in its own data centre; large answers cost more to move. */
const bulkStay = 0.25;
const smallStay = 0.06;

/** Part of a route's time limit that a run is expected to take at most. */
const maxTimeoutShare = 0.5;

/**
 * Time that a run of a route is expected to take. The time limit bounds it: where no run could end in time, nothing is
 * learnt, and an estimate above the limit would refuse every request for good.
 */
export function estimateRunTime(
  workTimes: RunDurationEstimator,
  route: RoutingRoute,
): Millis {
  return Math.min(
    workTimes.getMean(route.id, route.targetMs),
    route.timeoutMs * maxTimeoutShare,
  );
}

/** What a search uses of the node. */
export interface SearchContext {
  readonly calls: GuardCalls;
  readonly workTimes: RunDurationEstimator;
  readonly dataCentre: GuardView['dataCentre'];
  listGuards(service: CallerRequest['service']): readonly GuardView[];
  /** Point in time by which all requests must have ended because the node stops; Infinity while it does not. */
  getShutdownDeadline(): Millis;
}

/** Why a search ended without a slot. */
export type SearchFailure = 'expired' | 'busy' | 'no-server';

interface Question {
  readonly askedAt: Millis;
  /** Estimated wait; undefined until the guard has replied. */
  waitMs: Millis | undefined;
}

/** Asks guards for a slot for one request: one first, the next ones while those asked before cannot serve at once. */
export class SlotSearch {
  private readonly questions = new Map<GuardCall, Question>();
  /** Guards not to be asked again for this request. */
  private readonly excluded = new Set<NodeId>();
  private isOpen = false;
  private shortestWaitMs: Millis = 0;
  private lastRefusal: SlotRefusal | 'link-lost' | undefined;

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

  /** Estimated wait for a slot when guards were last asked. */
  getShortestWait(): Millis {
    return this.shortestWaitMs;
  }

  getLastRefusal(): SlotRefusal | 'link-lost' | undefined {
    return this.lastRefusal;
  }

  /** Withdraws all questions. */
  close(): void {
    this.isOpen = false;
    for (const call of this.questions.keys()) this.context.calls.close(call);
    this.questions.clear();
  }

  /** Point in time at which the search must be advanced if no event comes. */
  getNextWakeup(now: Millis): Millis {
    const isSoon = this.isReplyAwaited(now) || this.isWorthStaying(now);
    return now + (isSoon ? replyPatienceMs : recheckMs);
  }

  /** Asks further guards if that helps; tells why the search should end if it should. */
  advance(now: Millis, isRepeat: boolean): SearchFailure | undefined {
    const {deadlineAt} = this.request;
    const remaining =
      Math.min(deadlineAt, this.context.getShutdownDeadline()) - now;
    const expected = this.getExpected();
    if (remaining < expected * minRemainingFraction) return 'expired';
    // Views of all guards are made only where a further one may be asked; each question waits for its first reply.
    if (this.questions.size < maxAsked && !this.isReplyAwaited(now)) {
      const ranked = this.rankCandidates(now);
      const candidates = ranked.length + this.questions.size;
      if (ranked.length > 0) {
        this.requestSlot(ranked[0], now, isRepeat, candidates);
      }
    }
    if (this.questions.size > 0) return this.checkWait(remaining, expected);
    const waited = now - this.request.receivedAt;
    return waited >= noServerMs || isRepeat ? 'no-server' : undefined;
  }

  /** Takes a guard's estimate of the wait. */
  recordQueued(call: GuardCall, waitMs: Millis): void {
    const question = this.questions.get(call);
    if (question) question.waitMs = waitMs;
  }

  recordRefusal(call: GuardCall, reason: SlotRefusal | 'link-lost'): void {
    this.questions.delete(call);
    this.excluded.add(call.node);
    this.lastRefusal = reason;
  }

  /** Takes a grant and withdraws the other questions; false if the grant is not wanted any more. */
  useGrant(call: GuardCall): boolean {
    if (!this.questions.delete(call)) return false;
    this.excluded.add(call.node);
    this.close();
    return true;
  }

  private getExpected(): Millis {
    return estimateRunTime(this.context.workTimes, this.request.route);
  }

  private isReplyAwaited(now: Millis): boolean {
    for (const {waitMs, askedAt} of this.questions.values()) {
      if (waitMs === undefined && now - askedAt < replyPatienceMs) return true;
    }
    return false;
  }

  private rankCandidates(now: Millis): readonly NodeId[] {
    const asked = new Set([...this.questions.keys()].map(({node}) => node));
    const {service, route} = this.request;
    const isLocalOnly = this.isWorthStaying(now);
    const guards = this.context
      .listGuards(service)
      .filter(
        ({node, dataCentre}) =>
          !asked.has(node) &&
          !this.excluded.has(node) &&
          !(isLocalOnly && dataCentre !== this.context.dataCentre),
      );
    return rankGuards(
      guards,
      this.context.dataCentre,
      route.isIdempotent,
      this.random,
    );
  }

  private requestSlot(
    node: NodeId,
    now: Millis,
    isRepeat: boolean,
    candidates: number,
  ): void {
    const {route, requestId, service, receivedAt, deadlineAt} = this.request;
    const call = this.context.calls.open(
      node,
      {
        requestId,
        service,
        route: route.id,
        priority: route.priority,
        isIdempotent: route.isIdempotent,
        isRepeat,
        expectedMs: Math.round(this.getExpected()),
        targetInMs: Math.round(receivedAt + route.targetMs - now),
        deadlineInMs: Math.round(deadlineAt - now),
        share: 1 / Math.max(1, Math.min(maxAsked, candidates)),
      },
      this.onEvent,
    );
    this.questions.set(call, {askedAt: now, waitMs: undefined});
  }

  /** Whether a guard of the own data centre is likely to serve soon, so that the answer need not cross data centres. */
  private isWorthStaying(now: Millis): boolean {
    const {route, receivedAt} = this.request;
    const patienceMs = route.targetMs * (route.isBulk ? bulkStay : smallStay);
    if (now - receivedAt > patienceMs) return false;
    for (const {waitMs} of this.questions.values()) {
      if (waitMs !== undefined && waitMs <= patienceMs) return true;
    }
    return false;
  }

  /** The search ends when every guard that could serve says that the wait would be too long. */
  private checkWait(
    remaining: Millis,
    expected: Millis,
  ): SearchFailure | undefined {
    const waits = [...this.questions.values()].map(({waitMs}) => waitMs);
    if (waits.some(wait => wait === undefined)) return undefined;
    this.shortestWaitMs = Math.min(...waits.map(wait => wait ?? 0));
    const waitMs = this.shortestWaitMs * waitTrust;
    return isWaitTooLong(waitMs, expected, remaining) ? 'busy' : undefined;
  }
}
