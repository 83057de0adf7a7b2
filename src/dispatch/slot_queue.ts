import {Millis, RouteId} from '../base/index.js';

/** What a request needs of a backend server; times are on the guard's clock. */
export interface SlotRequest {
  readonly route: RouteId;
  /** Rank of urgency; 0 is the most urgent. */
  readonly priority: number;
  readonly isIdempotent: boolean;
  /** Whether the request was already sent to another backend server. */
  readonly isRetry: boolean;
  /** Time that a run usually takes. */
  readonly expectedMs: Millis;
  /** Point in time until which an answer has its full worth. */
  readonly targetAt: Millis;
  readonly deadlineAt: Millis;
  /** Part of a request that this one stands for: a request that waits at four guards counts a quarter at each. */
  readonly share: number;
}

interface Waiting<Key> {
  readonly key: Key;
  readonly request: SlotRequest;
  readonly since: Millis;
}

interface Running {
  readonly expectedEnd: Millis;
}

/**
 * Slots of one backend server and the requests that wait for them. Requests that can still be answered within their
 * target go first, by priority and then by the latest point at which they must start; the others use what is left.
 */
export class SlotQueue<Key> {
  private readonly waiting = new Map<Key, Waiting<Key>>();
  private readonly running = new Map<Key, Running>();

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
    this.waiting.set(key, {key, request, since: now});
  }

  /** Takes the request that is next, and a slot for it; `mayRun` leaves out those that must not be served now. */
  claimNext(
    now: Millis,
    mayRun: (request: SlotRequest) => boolean,
  ): {readonly key: Key; readonly waitedMs: Millis} | undefined {
    if (this.countFree() === 0) return undefined;
    let best: Waiting<Key> | undefined;
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
    return {key: best.key, waitedMs: now - best.since};
  }

  /** Forgets a request, whether it waits or runs. */
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

  /** Requests that can no longer be answered by their deadline if they are still to wait. */
  listTooLateToStart(now: Millis): readonly Key[] {
    return [...this.waiting.values()]
      .filter(({request}) => isTooLateToStart(request, now))
      .map(({key}) => key);
  }

  /** Estimated wait of a request that waits or would wait here. */
  estimateWait(request: SlotRequest, now: Millis): Millis {
    let work = 0;
    for (const {expectedEnd} of this.running.values()) {
      work += Math.max(0, expectedEnd - now);
    }
    for (const other of this.waiting.values()) {
      if (other.request === request) continue;
      if (compareUrgency(other.request, request, now) <= 0) {
        work += other.request.expectedMs * other.request.share;
      }
    }
    return this.countFree() > 0 && this.waiting.size === 0
      ? 0
      : work / Math.max(1, this.slots);
  }
}

/** Part of the expected time that must be left for a run to be worth its slot; half of all runs are shorter than expected. */
const hopelessShare = 0.6;

/** Whether a request that starts now is unlikely to be answered by its deadline. */
export function isTooLateToStart(request: SlotRequest, now: Millis): boolean {
  return now + request.expectedMs * hopelessShare > request.deadlineAt;
}

/** Negative if `a` goes before `b`. */
export function compareUrgency(
  a: SlotRequest,
  b: SlotRequest,
  now: Millis,
): number {
  const aLate = now + a.expectedMs > a.targetAt ? 1 : 0;
  const bLate = now + b.expectedMs > b.targetAt ? 1 : 0;
  if (aLate !== bLate) return aLate - bLate;
  if (a.priority !== b.priority) return a.priority - b.priority;
  const aStart = (aLate ? a.deadlineAt : a.targetAt) - a.expectedMs;
  const bStart = (bLate ? b.deadlineAt : b.targetAt) - b.expectedMs;
  return aStart - bStart;
}
