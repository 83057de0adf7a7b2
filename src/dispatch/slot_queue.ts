import {Millis, RouteId} from '../base/index.js';
import {RequestRateLimit} from './request_rate_limit.js';

/** Request for a slot of a backend server; points in time are on the guard's clock. */
export interface SlotRequest {
  readonly route: RouteId;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isIdempotent: boolean;
  /** Whether the request was already sent to another backend server. */
  readonly isRetry: boolean;
  /** Usual duration of a run. */
  readonly expectedMs: Millis;
  /** Point in time by which an answer meets the latency target. */
  readonly targetAt: Millis;
  readonly deadlineAt: Millis;
  /** Weight in estimates of the wait: a request that is queued at four guards counts a quarter at each. */
  readonly share: number;
  /** Whether the request answers a report that the server is idle; such a request is a trial of a faulty server. */
  readonly isForIdle: boolean;
  /** Memory that the request takes at the guard once it has a slot. */
  readonly bodyBytes?: number;
}

interface QueuedRequest<Key> {
  readonly key: Key;
  readonly request: SlotRequest;
  readonly queuedAt: Millis;
}

interface ActiveRequest {
  readonly expectedEnd: Millis;
}

/**
 * A request counts as late from the moment at which a run of this multiple of the expected duration would miss its
 * target: four of five runs are shorter.
 */
const targetMargin = 1.25;
/** Time over which the use of the slots by requests that meet their target is averaged. */
const loadWindowMs: Millis = 3000;
/** Lower bound of the fraction of the slots that is assumed to be left for late requests. */
const minLateFraction = 0.2;
/** Fraction of an estimated wait that counts towards a refusal; queued requests ahead may be withdrawn. */
export const countedWaitFraction = 0.7;

/**
 * Slots of one backend server and the queue of requests for them. Requests that can still meet their target go first,
 * by priority and then by the latest start that meets it; late requests use the remaining slots.
 */
export class SlotQueue<Key> {
  /** Limit that the server has named; a request takes a slot only within it. */
  readonly rateLimit = new RequestRateLimit();
  private readonly waiting = new Map<Key, QueuedRequest<Key>>();
  private readonly running = new Map<Key, ActiveRequest>();
  /** Expected durations of the requests that started in time; decays with `loadWindowMs`. */
  private timelyWorkMs = 0;
  private timelyWorkAt: Millis = 0;

  constructor(private slots: number) {}

  setSlots(slots: number): void {
    this.slots = slots;
  }

  countFree(): number {
    return Math.max(0, this.slots - this.running.size);
  }

  countRunning(): number {
    return this.running.size;
  }

  countWaiting(): number {
    return this.waiting.size;
  }

  /** Slots that a request could take now, and queued requests. */
  getCounts(now: Millis): {readonly free: number; readonly waiting: number} {
    const available = Math.floor(this.rateLimit.countAvailable(now));
    return {
      free: Math.min(this.countFree(), available),
      waiting: this.countWaiting(),
    };
  }

  add(key: Key, request: SlotRequest, now: Millis): void {
    this.waiting.set(key, {key, request, queuedAt: now});
  }

  /** Dequeues the next request and assigns a slot to it; requests that `mayRun` rejects stay queued. */
  claimNext(
    now: Millis,
    mayRun: (request: SlotRequest) => boolean,
  ): {readonly key: Key; readonly waitedMs: Millis} | undefined {
    if (this.countFree() === 0 || !this.rateLimit.canStart(now)) {
      return undefined;
    }
    let best: QueuedRequest<Key> | undefined;
    for (const candidate of this.waiting.values()) {
      if (!mayRun(candidate.request)) continue;
      if (!best || compareUrgency(candidate.request, best.request, now) < 0) {
        best = candidate;
      }
    }
    if (!best) return undefined;
    if (!isLate(best.request, now)) {
      this.timelyWorkMs = this.getTimelyWork(now) + best.request.expectedMs;
      this.timelyWorkAt = now;
    }
    this.rateLimit.recordStart(now);
    this.waiting.delete(best.key);
    this.running.set(best.key, {
      expectedEnd: now + best.request.expectedMs,
    });
    return {key: best.key, waitedMs: now - best.queuedAt};
  }

  /** Removes a request, whether it is queued or running. */
  release(key: Key): void {
    this.waiting.delete(key);
    this.running.delete(key);
  }

  /** Removes a request to which a slot was assigned but that was not sent to the server. */
  releaseUnused(key: Key, now: Millis): void {
    if (this.running.has(key)) this.rateLimit.releaseStart(now);
    this.release(key);
  }

  isWaiting(key: Key): boolean {
    return this.waiting.has(key);
  }

  isRunning(key: Key): boolean {
    return this.running.has(key);
  }

  listWaiting(): readonly Key[] {
    return [...this.waiting.keys()];
  }

  /**
   * Queued requests that are unlikely to be answered by their deadline: it is too late to start them, the limit that the
   * server has named does not reach them in time, or they are late and the slots that timely requests leave do not.
   */
  listUnservable(now: Millis): readonly Key[] {
    const beyondLimit = new Set(this.listBeyondLimit(now));
    const unservable: Key[] = [...beyondLimit];
    const late: QueuedRequest<Key>[] = [];
    let aheadMs = this.getRunningWork(now);
    for (const candidate of this.waiting.values()) {
      const {key, request} = candidate;
      if (beyondLimit.has(key)) continue;
      if (isTooLateToStart(request, now)) unservable.push(key);
      else if (isLate(request, now)) late.push(candidate);
      else aheadMs += request.expectedMs * request.share;
    }
    late.sort((a, b) => compareUrgency(a.request, b.request, now));
    const lateSlots = Math.max(1, this.slots) * this.getLateFraction(now);
    for (const {key, request} of late) {
      const waitMs = (aheadMs / lateSlots) * countedWaitFraction;
      if (now + waitMs + request.expectedMs > request.deadlineAt) {
        unservable.push(key);
      } else {
        aheadMs += request.expectedMs * request.share;
      }
    }
    return unservable;
  }

  private listBeyondLimit(now: Millis): readonly Key[] {
    if (this.rateLimit.getAllowedRate() === undefined) return [];
    const beyond: Key[] = [];
    let ahead = 0;
    const queued = [...this.waiting.values()].sort((a, b) =>
      compareUrgency(a.request, b.request, now),
    );
    for (const {key, request} of queued) {
      const waitMs = this.rateLimit.estimateWait(ahead, now);
      if (isTooLateToStart(request, now + waitMs)) beyond.push(key);
      else ahead += request.share;
    }
    return beyond;
  }

  /** Estimated wait of a request that is queued or would be queued here. */
  estimateWait(request: SlotRequest, now: Millis): Millis {
    if (this.getCounts(now).free > 0 && this.waiting.size === 0) return 0;
    let workMs = this.getRunningWork(now);
    let ahead = 0;
    for (const other of this.waiting.values()) {
      if (other.request === request) continue;
      if (compareUrgency(other.request, request, now) <= 0) {
        workMs += other.request.expectedMs * other.request.share;
        ahead += other.request.share;
      }
    }
    const waitMs = workMs / Math.max(1, this.slots);
    const slotWaitMs = isLate(request, now + waitMs)
      ? waitMs / this.getLateFraction(now)
      : waitMs;
    return Math.max(slotWaitMs, this.rateLimit.estimateWait(ahead, now));
  }

  private getRunningWork(now: Millis): Millis {
    let workMs = 0;
    for (const {expectedEnd} of this.running.values()) {
      workMs += Math.max(0, expectedEnd - now);
    }
    return workMs;
  }

  private getTimelyWork(now: Millis): Millis {
    return (
      this.timelyWorkMs * Math.exp((this.timelyWorkAt - now) / loadWindowMs)
    );
  }

  /** Fraction of the slots that requests which meet their target have left recently. */
  private getLateFraction(now: Millis): number {
    const capacityMs = Math.max(1, this.slots) * loadWindowMs;
    return Math.max(minLateFraction, 1 - this.getTimelyWork(now) / capacityMs);
  }
}

/**
 * Fraction of the expected duration that must remain for a run to be worth a slot; half of all runs are shorter than
 * expected.
 */
const minRemainingShare = 0.6;

/** Whether a request that starts now is unlikely to be answered by its deadline. */
export function isTooLateToStart(request: SlotRequest, now: Millis): boolean {
  return now + request.expectedMs * minRemainingShare > request.deadlineAt;
}

/** Whether a request that starts now is likely to miss its target. */
function isLate(request: SlotRequest, now: Millis): boolean {
  return now + request.expectedMs * targetMargin > request.targetAt;
}

/** Negative if `a` goes before `b`. */
export function compareUrgency(
  a: SlotRequest,
  b: SlotRequest,
  now: Millis,
): number {
  const aIsLate = isLate(a, now) ? 1 : 0;
  const bIsLate = isLate(b, now) ? 1 : 0;
  if (aIsLate !== bIsLate) return aIsLate - bIsLate;
  if (a.priority !== b.priority) return a.priority - b.priority;
  const aLatestStart = (aIsLate ? a.deadlineAt : a.targetAt) - a.expectedMs;
  const bLatestStart = (bIsLate ? b.deadlineAt : b.targetAt) - b.expectedMs;
  return aLatestStart - bLatestStart;
}
