import {Millis, RouteId} from '../base/index.js';

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
 * Slots of one backend server and the queue of requests for them. Requests that can still meet their target go first,
 * by priority and then by the latest start that meets it; the others use the remaining slots.
 */
export class SlotQueue<Key> {
  private readonly waiting = new Map<Key, QueuedRequest<Key>>();
  private readonly running = new Map<Key, ActiveRequest>();

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

  add(key: Key, request: SlotRequest, now: Millis): void {
    this.waiting.set(key, {key, request, queuedAt: now});
  }

  /** Dequeues the next request and assigns a slot to it; requests that `mayRun` rejects stay queued. */
  claimNext(
    now: Millis,
    mayRun: (request: SlotRequest) => boolean,
  ): {readonly key: Key; readonly waitedMs: Millis} | undefined {
    if (this.countFree() === 0) return undefined;
    let best: QueuedRequest<Key> | undefined;
    for (const candidate of this.waiting.values()) {
      if (!mayRun(candidate.request)) continue;
      if (!best || compareUrgency(candidate.request, best.request, now) < 0) {
        best = candidate;
      }
    }
    if (!best) return undefined;
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

  isWaiting(key: Key): boolean {
    return this.waiting.has(key);
  }

  isRunning(key: Key): boolean {
    return this.running.has(key);
  }

  listWaiting(): readonly Key[] {
    return [...this.waiting.keys()];
  }

  /** Queued requests that are unlikely to be answered by their deadline even if they start now. */
  listTooLateToStart(now: Millis): readonly Key[] {
    return [...this.waiting.values()]
      .filter(({request}) => isTooLateToStart(request, now))
      .map(({key}) => key);
  }

  /** Estimated wait of a request that is queued or would be queued here. */
  estimateWait(request: SlotRequest, now: Millis): Millis {
    let workMs = 0;
    for (const {expectedEnd} of this.running.values()) {
      workMs += Math.max(0, expectedEnd - now);
    }
    for (const other of this.waiting.values()) {
      if (other.request === request) continue;
      if (compareUrgency(other.request, request, now) <= 0) {
        workMs += other.request.expectedMs * other.request.share;
      }
    }
    return this.countFree() > 0 && this.waiting.size === 0
      ? 0
      : workMs / Math.max(1, this.slots);
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

/** Negative if `a` goes before `b`. */
export function compareUrgency(
  a: SlotRequest,
  b: SlotRequest,
  now: Millis,
): number {
  const aIsLate = now + a.expectedMs > a.targetAt ? 1 : 0;
  const bIsLate = now + b.expectedMs > b.targetAt ? 1 : 0;
  if (aIsLate !== bIsLate) return aIsLate - bIsLate;
  if (a.priority !== b.priority) return a.priority - b.priority;
  const aLatestStart = (aIsLate ? a.deadlineAt : a.targetAt) - a.expectedMs;
  const bLatestStart = (bIsLate ? b.deadlineAt : b.targetAt) - b.expectedMs;
  return aLatestStart - bLatestStart;
}
