import {Clock, Millis} from '../base/index.js';

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
    const now = this.clock.getTime();
    const refill = ((now - this.refilledAt) / 1000) * reservePerSecond;
    this.tokens = Math.min(maxTokens, this.tokens + refill);
    this.refilledAt = now;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
