import {Clock, Millis, ServiceId} from '../base/index.js';

const retryShare = 0.1;
const reservePerSecond = 1;
const maxTokens = 50;

/** Bounds retries to a share of requests plus a small reserve, so that retries never multiply an overload. */
export class RetryBudget {
  private tokens = 5;
  private refilledAt: Millis;

  constructor(private readonly clock: Clock) {
    this.refilledAt = clock.getTime();
  }

  /** Counts a first attempt. */
  recordRequest(): void {
    this.tokens = Math.min(maxTokens, this.tokens + retryShare);
  }

  /** Takes the right to one retry, if there is one. */
  useRetry(): boolean {
    if (!this.hasRetry()) return false;
    this.tokens -= 1;
    return true;
  }

  hasRetry(): boolean {
    const now = this.clock.getTime();
    const refill = ((now - this.refilledAt) / 1000) * reservePerSecond;
    this.tokens = Math.min(maxTokens, this.tokens + refill);
    this.refilledAt = now;
    return this.tokens >= 1;
  }

  /**
   * Gives retries back. Refusals before an answer added no work, so searching for a free slot stays possible while
   * there is one, and ends by the budget when there is none.
   */
  releaseRetries(count: number): void {
    this.tokens = Math.min(maxTokens, this.tokens + count);
  }
}

/** One budget per service, so that one sick service does not use up the retries of the others. */
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

  /** Forgets the budgets of services that are no longer configured. */
  removeUnconfigured(services: Readonly<Record<ServiceId, unknown>>): void {
    for (const service of this.budgets.keys()) {
      if (!(service in services)) this.budgets.delete(service);
    }
  }
}
