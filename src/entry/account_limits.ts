import {AccountId, Clock, Millis} from '../base/index.js';
import {Account} from '../config/index.js';

/** The limit that a refused request exceeds. */
export type LimitReason = 'rate' | 'concurrency';

/** Result of checking a request against the limits of its account. */
export type LimitOutcome =
  | {readonly kind: 'admitted'; release(): void}
  | {readonly kind: 'refused'; readonly reason: LimitReason};

interface AccountUsage {
  tokens: number;
  refilledAt: Millis;
  /** Time at which the token bucket is full again. */
  fullAt: Millis;
  inFlight: number;
}

/** Entries checked for removal when one is added. With only one, the table could never shrink when load falls. */
const checksPerAdd = 2;

const unlimited: LimitOutcome = {
  kind: 'admitted',
  release: () => undefined,
};

/**
 * Rate and concurrency limits of client accounts on this node. The rate limit is a token bucket that holds the
 * requests of one second.
 */
export class AccountLimits {
  private readonly usages = new Map<AccountId, AccountUsage>();

  constructor(private readonly clock: Clock) {}

  /** Number of accounts in the table: those with requests in flight or a bucket not yet full, and some idle ones. */
  get size(): number {
    return this.usages.size;
  }

  /** Admits or refuses a request; an admitted one must be released when its response has ended. */
  admit(account: Account): LimitOutcome {
    const {ratePerSecond, concurrency} = account;
    if (ratePerSecond <= 0 && concurrency <= 0) return unlimited;
    const usage = this.getUsage(account);
    updateTokens(usage, ratePerSecond, this.clock.getTime());
    if (concurrency > 0 && usage.inFlight >= concurrency) {
      return {kind: 'refused', reason: 'concurrency'};
    }
    if (ratePerSecond > 0) {
      if (usage.tokens < 1) return {kind: 'refused', reason: 'rate'};
      usage.tokens -= 1;
      const missing = computeBurst(ratePerSecond) - usage.tokens;
      usage.fullAt = usage.refilledAt + (missing / ratePerSecond) * 1000;
    }
    usage.inFlight += 1;
    let isReleased = false;
    return {
      kind: 'admitted',
      release: () => {
        if (isReleased) return;
        isReleased = true;
        usage.inFlight -= 1;
      },
    };
  }

  private getUsage({id, ratePerSecond}: Account): AccountUsage {
    const known = this.usages.get(id);
    if (known) return known;
    this.removeIdle();
    const usage = {
      tokens: computeBurst(ratePerSecond),
      refilledAt: this.clock.getTime(),
      fullAt: 0,
      inFlight: 0,
    };
    this.usages.set(id, usage);
    return usage;
  }

  /** Checks the entries whose last check is longest ago; those in use move to the end of the map. */
  private removeIdle(): void {
    const now = this.clock.getTime();
    let checks = 0;
    for (const [id, usage] of this.usages) {
      if (checks === checksPerAdd) return;
      checks += 1;
      this.usages.delete(id);
      const isIdle = usage.inFlight === 0 && now >= usage.fullAt;
      if (!isIdle) this.usages.set(id, usage);
    }
  }
}

function computeBurst(ratePerSecond: number): number {
  return Math.max(1, ratePerSecond);
}

function updateTokens(
  usage: AccountUsage,
  ratePerSecond: number,
  now: Millis,
): void {
  const refill = ((now - usage.refilledAt) / 1000) * ratePerSecond;
  usage.tokens = Math.min(computeBurst(ratePerSecond), usage.tokens + refill);
  usage.refilledAt = now;
}
