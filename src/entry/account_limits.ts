import {AccountId, Clock, Millis} from '../base/index.js';
import {Account} from '../config/index.js';

/** Why a request of an account is not admitted. */
export type LimitReason = 'rate' | 'concurrency';

/** What became of a request at its account's limits. */
export type LimitOutcome =
  | {readonly kind: 'admitted'; release(): void}
  | {readonly kind: 'refused'; readonly reason: LimitReason};

interface AccountUse {
  tokens: number;
  refilledAt: Millis;
  /** Time from which the bucket is full. */
  fullAt: Millis;
  inFlight: number;
}

/** Number of kept entries checked for removal when one is added; two make the table shrink when load falls. */
const checksPerAdd = 2;

const unlimited: LimitOutcome = {
  kind: 'admitted',
  release: () => undefined,
};

/** Rate and concurrency limits of client accounts on this node, as token buckets of one second's requests. */
export class AccountLimits {
  private readonly uses = new Map<AccountId, AccountUse>();

  constructor(private readonly clock: Clock) {}

  /** Number of accounts whose use is kept: those in flight or not yet refilled, and a few idle ones. */
  get size(): number {
    return this.uses.size;
  }

  /** Admits a request or refuses it; an admitted one must be released when its answer has ended. */
  admit(account: Account): LimitOutcome {
    const {ratePerSecond, concurrency} = account;
    if (ratePerSecond <= 0 && concurrency <= 0) return unlimited;
    const use = this.getUse(account);
    updateTokens(use, ratePerSecond, this.clock.getTime());
    if (concurrency > 0 && use.inFlight >= concurrency) {
      return {kind: 'refused', reason: 'concurrency'};
    }
    if (ratePerSecond > 0) {
      if (use.tokens < 1) return {kind: 'refused', reason: 'rate'};
      use.tokens -= 1;
      const missing = computeBurst(ratePerSecond) - use.tokens;
      use.fullAt = use.refilledAt + (missing / ratePerSecond) * 1000;
    }
    use.inFlight += 1;
    let isOver = false;
    return {
      kind: 'admitted',
      release: () => {
        if (isOver) return;
        isOver = true;
        use.inFlight -= 1;
      },
    };
  }

  private getUse({id, ratePerSecond}: Account): AccountUse {
    const known = this.uses.get(id);
    if (known) return known;
    this.removeIdle();
    const use = {
      tokens: computeBurst(ratePerSecond),
      refilledAt: this.clock.getTime(),
      fullAt: 0,
      inFlight: 0,
    };
    this.uses.set(id, use);
    return use;
  }

  /** Checks the entries that were not checked for longest; those in use go to the back. */
  private removeIdle(): void {
    const now = this.clock.getTime();
    let checks = 0;
    for (const [id, use] of this.uses) {
      if (checks === checksPerAdd) return;
      checks += 1;
      this.uses.delete(id);
      const isIdle = use.inFlight === 0 && now >= use.fullAt;
      if (!isIdle) this.uses.set(id, use);
    }
  }
}

function computeBurst(ratePerSecond: number): number {
  return Math.max(1, ratePerSecond);
}

function updateTokens(
  use: AccountUse,
  ratePerSecond: number,
  now: Millis,
): void {
  const refill = ((now - use.refilledAt) / 1000) * ratePerSecond;
  use.tokens = Math.min(computeBurst(ratePerSecond), use.tokens + refill);
  use.refilledAt = now;
}
