import {Clock, Millis, ServiceId} from '../base/index.js';

/** Retries allowed per request. */
const retryRatio = 0.1;
/** Retries per second allowed whatever the number of requests. */
const minRetriesPerSecond = 1;
const maxTokens = 50;
const initialTokens = 5;

/** Limits retries to a fraction of the requests plus a small fixed rate, so that retries do not amplify an overload. */
export class RetryBudget {
  private tokens = initialTokens;
  private refilledAt: Millis;

  constructor(private readonly clock: Clock) {
    this.refilledAt = clock.getTime();
  }

  /** Counts a request, which adds its fraction of a retry to the budget. */
  recordRequest(): void {
    this.tokens = Math.min(maxTokens, this.tokens + retryRatio);
  }

  /** Takes one retry from the budget; false if none is left. */
  useRetry(): boolean {
    if (!this.hasRetry()) return false;
    this.tokens -= 1;
    return true;
  }

  hasRetry(): boolean {
    const now = this.clock.getTime();
    const refill = ((now - this.refilledAt) / 1000) * minRetriesPerSecond;
    this.tokens = Math.min(maxTokens, this.tokens + refill);
    this.refilledAt = now;
    return this.tokens >= 1;
  }

  /**
   * Returns the retries of a request that was refused by some backend servers and then answered by another. Refusals
   * cause no work on the servers, so a search that finds a free slot is not charged; one that finds none is, and ends
   * when the budget is used up.
   */
  releaseRetries(count: number): void {
    this.tokens = Math.min(maxTokens, this.tokens + count);
  }
}

/** One budget per service, so that one failing service does not use up the retries of the others. */
export class RetryBudgets {
  private readonly budgets = new Map<ServiceId, RetryBudget>();

  constructor(private readonly clock: Clock) {}

  get(service: ServiceId): RetryBudget {
    const known = this.budgets.get(service);
    if (known) return known;
    const budget = new RetryBudget(this.clock);
    this.budgets.set(service, budget);
    return budget;
  }

  /** Removes the budgets of services that are no longer configured. */
  removeUnconfigured(services: Readonly<Record<ServiceId, unknown>>): void {
    for (const service of this.budgets.keys()) {
      if (!(service in services)) this.budgets.delete(service);
    }
  }
}
