import * as E from 'fp-ts/lib/Either.js';
import {Clock, Millis, PartnerId} from '../base/index.js';
import {RefusalReason, SlotLoad} from './call.js';

/** A slot in use; `release` may be called more than once. */
export interface SlotUse {
  release(): void;
}

interface Waiter {
  readonly partner: PartnerId;
  readonly admit: (use: E.Either<RefusalReason, SlotUse>) => void;
}

/** Slots of one backend server and the queue before them. */
export class SlotTable {
  private inUse = 0;
  private waiters: readonly Waiter[] = [];

  constructor(
    private slots: number,
    private readonly maxQueue: number,
    private readonly clock: Clock,
  ) {}

  setSlots(slots: number): void {
    this.slots = slots;
    this.admitNext();
  }

  getLoad(): SlotLoad {
    return {
      free: Math.max(0, this.slots - this.inUse - this.waiters.length),
      slots: this.slots,
    };
  }

  /** Takes a slot, waiting in the queue until the deadline at most. */
  async admit(
    partner: PartnerId,
    deadline: Millis,
    signal: AbortSignal,
  ): Promise<E.Either<RefusalReason, SlotUse>> {
    if (signal.aborted || this.clock.getTime() >= deadline) {
      return E.left('deadline');
    }
    if (this.inUse < this.slots && this.waiters.length === 0) {
      return E.right(this.useSlot());
    }
    if (this.waiters.length >= this.maxQueue) return E.left('busy');
    return this.waitForSlot(partner, deadline, signal);
  }

  private waitForSlot(
    partner: PartnerId,
    deadline: Millis,
    signal: AbortSignal,
  ): Promise<E.Either<RefusalReason, SlotUse>> {
    return new Promise(resolve => {
      const done = new AbortController();
      const waiter: Waiter = {
        partner,
        admit: use => {
          this.waiters = this.waiters.filter(other => other !== waiter);
          done.abort();
          resolve(use);
        },
      };
      this.waiters = [...this.waiters, waiter];
      signal.addEventListener('abort', () => waiter.admit(E.left('deadline')), {
        once: true,
        signal: done.signal,
      });
      void this.clock
        .sleep(deadline - this.clock.getTime(), done.signal)
        .then(() => {
          if (!done.signal.aborted) waiter.admit(E.left('deadline'));
        });
    });
  }

  private useSlot(): SlotUse {
    this.inUse += 1;
    let used = true;
    return {
      release: () => {
        if (!used) return;
        used = false;
        this.inUse -= 1;
        this.admitNext();
      },
    };
  }

  private admitNext(): void {
    while (this.inUse < this.slots && this.waiters.length > 0) {
      this.waiters[0].admit(E.right(this.useSlot()));
    }
  }
}
