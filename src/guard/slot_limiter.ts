import * as E from 'fp-ts/lib/Either.js';
import {Clock, Millis, PartnerId} from '../base/index.js';
import {RefusalReason, SlotLoad} from './call.js';
import {FairQueue, QueueEntry} from './fair_queue.js';

/** A granted slot; `release` is idempotent. */
export interface SlotLease {
  release(): void;
}

/** Rules of the queue, read again for each request so that a new configuration takes effect immediately. */
export interface SlotPolicy {
  /** Maximum number of waiting requests. */
  readonly maxQueue: number;
  /** Relative weight of a partner in the fair queue; 1 by default. */
  getWeight(partner: PartnerId): number;
  /** Whether to refuse requests whose estimated wait and response time exceed the deadline; true if absent. */
  readonly refuseEarly?: boolean;
}

interface Waiter {
  readonly deadline: Millis;
  readonly resolve: (outcome: E.Either<RefusalReason, SlotLease>) => void;
}

/** Fraction of the queue that one partner may fill, so that other partners find room without evicting its requests. */
const maxPartnerShare = 0.75;
/** Weight of a new sample in the moving average of the holding time. */
const ewmaWeight = 0.1;
// Caps a sample relative to the average: one stalled response among thousands must not make the estimate so long that
// every request is refused.
const maxSampleFactor = 4;

/** Limits concurrent requests to one backend server to its slots, with a fair queue for requests that wait. */
export class SlotLimiter {
  private inUse = 0;
  /** Moving average of the time that a request holds its slot. */
  private meanHoldingMs: Millis = 0;
  private lastGrantedAt: Millis = 0;
  private readonly queue = new FairQueue<Waiter>();

  constructor(
    private slots: number,
    private readonly getPolicy: () => SlotPolicy,
    private readonly clock: Clock,
  ) {}

  /** Changes the number of slots; a smaller number takes effect as slots are released. */
  setSlots(slots: number): void {
    this.slots = slots;
    this.admitNext();
  }

  getLoad(): SlotLoad {
    return {
      free: Math.max(0, this.slots - this.inUse - this.queue.size),
      slots: this.slots,
    };
  }

  /** Whether no slot is in use and no request waits. */
  isIdle(): boolean {
    return this.inUse === 0 && this.queue.size === 0;
  }

  /** Grants a slot. If none is free, the request waits until its deadline at most, or is refused unless `mayQueue`. */
  async admit(
    partner: PartnerId,
    deadline: Millis,
    signal: AbortSignal,
    mayQueue = true,
  ): Promise<E.Either<RefusalReason, SlotLease>> {
    if (signal.aborted || this.clock.getTime() >= deadline) {
      return E.left('deadline');
    }
    if (this.inUse < this.slots && this.queue.size === 0) {
      this.queue.reset();
      return E.right(this.useSlot());
    }
    if (!mayQueue) return E.left('busy');
    const policy = this.getPolicy();
    const weight = policy.getWeight(partner);
    if (
      policy.refuseEarly !== false &&
      this.isDeadlineTooClose(partner, weight, deadline)
    ) {
      return E.left('busy');
    }
    if (!this.makeRoom(partner, weight, policy.maxQueue)) {
      return E.left('busy');
    }
    return this.waitForSlot(partner, weight, deadline, signal);
  }

  /** Refuses all waiting requests, for example when the backend server drains. */
  refuseWaiters(reason: RefusalReason): void {
    for (;;) {
      const waiter = this.queue.removeNext();
      if (!waiter) return;
      waiter.resolve(E.left(reason));
    }
  }

  /** Estimates the wait of a new request of the partner from the mean holding time and the queue. */
  estimateWait(partner: PartnerId, weight: number): Millis {
    const ahead = this.queue.countAhead(partner, weight);
    return ((ahead + 1) * this.estimateHoldingTime()) / Math.max(1, this.slots);
  }

  // All slots in use were granted at or before `lastGrantedAt`, so the time since then is a lower bound on how long
  // each has been held. A server that stops responding thus raises the estimate at once, before any slot is released.
  private estimateHoldingTime(): Millis {
    if (this.meanHoldingMs === 0) return 0;
    return Math.max(
      this.meanHoldingMs,
      this.clock.getTime() - this.lastGrantedAt,
    );
  }

  private isDeadlineTooClose(
    partner: PartnerId,
    weight: number,
    deadline: Millis,
  ): boolean {
    const estimatedMs = this.estimateWait(partner, weight) + this.meanHoldingMs;
    return this.clock.getTime() + estimatedMs > deadline;
  }

  /** Whether the partner may add a request to the queue; a full queue evicts a request that would be served later. */
  private makeRoom(
    partner: PartnerId,
    weight: number,
    maxQueue: number,
  ): boolean {
    const maxForPartner = Math.ceil(maxQueue * maxPartnerShare);
    if (this.queue.countQueued(partner) >= maxForPartner) return false;
    if (this.queue.size < maxQueue) return true;
    const evicted = this.queue.removeLaterThan(partner, weight);
    evicted?.resolve(E.left('busy'));
    return evicted !== undefined;
  }

  private waitForSlot(
    partner: PartnerId,
    weight: number,
    deadline: Millis,
    signal: AbortSignal,
  ): Promise<E.Either<RefusalReason, SlotLease>> {
    return new Promise(resolve => {
      const settled = new AbortController();
      const entry: QueueEntry<Waiter> = this.queue.add(partner, weight, {
        deadline,
        resolve: outcome => {
          settled.abort();
          resolve(outcome);
        },
      });
      const endWait = () => {
        if (this.queue.remove(entry)) entry.item.resolve(E.left('deadline'));
      };
      signal.addEventListener('abort', endWait, {
        once: true,
        signal: settled.signal,
      });
      void this.clock
        .sleep(deadline - this.clock.getTime(), settled.signal)
        .then(endWait);
    });
  }

  private useSlot(): SlotLease {
    const startedAt = this.clock.getTime();
    this.inUse += 1;
    this.lastGrantedAt = startedAt;
    let isHeld = true;
    return {
      release: () => {
        if (!isHeld) return;
        isHeld = false;
        this.inUse -= 1;
        this.recordHoldingTime(this.clock.getTime() - startedAt);
        this.admitNext();
      },
    };
  }

  private recordHoldingTime(tookMs: Millis): void {
    if (this.meanHoldingMs === 0) {
      this.meanHoldingMs = tookMs;
      return;
    }
    const sample = Math.min(tookMs, this.meanHoldingMs * maxSampleFactor);
    this.meanHoldingMs += ewmaWeight * (sample - this.meanHoldingMs);
  }

  private admitNext(): void {
    while (this.inUse < this.slots) {
      const waiter = this.queue.removeNext();
      if (!waiter) return;
      waiter.resolve(this.checkDeadline(waiter) ?? E.right(this.useSlot()));
    }
  }

  /** Refuses a waiter that can no longer meet its deadline, so that the slot goes to a request that can. */
  private checkDeadline({
    deadline,
  }: Waiter): E.Either<RefusalReason, never> | undefined {
    const remaining = deadline - this.clock.getTime();
    if (remaining <= 0) return E.left('deadline');
    const refusesEarly = this.getPolicy().refuseEarly !== false;
    return refusesEarly && remaining < this.meanHoldingMs
      ? E.left('busy')
      : undefined;
  }
}
