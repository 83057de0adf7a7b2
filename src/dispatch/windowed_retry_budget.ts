import {Millis} from '../base/index.js';

/** Limits of one guard on retries, which are runs of requests that were already sent to another backend server. */
export interface RetryLimits {
  readonly ratio: number;
  readonly windowMs: Millis;
  /** This guard's part of the retries allowed beyond the ratio. */
  readonly extra: number;
}

const bucketsPerWindow = 10;

/**
 * Limits retries to a ratio of the first attempts at one guard within a sliding window, plus a fixed extra. Together
 * the guards of a service keep the limit of the service, because each first attempt and each retry is counted at
 * exactly one guard.
 */
export class WindowedRetryBudget {
  private readonly buckets = new Map<
    number,
    {firstAttempts: number; retries: number}
  >();

  recordFirstAttempt(now: Millis, limits: RetryLimits): void {
    this.getBucket(now, limits).firstAttempts += 1;
  }

  recordRetry(now: Millis, limits: RetryLimits): void {
    this.getBucket(now, limits).retries += 1;
  }

  /** Whether the window allows one more retry. */
  hasRetry(now: Millis, limits: RetryLimits): boolean {
    const oldest = this.getBucketIndex(now, limits) - bucketsPerWindow;
    let firstAttempts = 0;
    let retries = 0;
    for (const [index, counts] of this.buckets) {
      if (index < oldest) this.buckets.delete(index);
      else {
        firstAttempts += counts.firstAttempts;
        retries += counts.retries;
      }
    }
    return retries + 1 <= limits.ratio * firstAttempts + limits.extra;
  }

  private getBucketIndex(now: Millis, limits: RetryLimits): number {
    return Math.floor((now * bucketsPerWindow) / limits.windowMs);
  }

  private getBucket(
    now: Millis,
    limits: RetryLimits,
  ): {firstAttempts: number; retries: number} {
    const index = this.getBucketIndex(now, limits);
    let bucket = this.buckets.get(index);
    if (!bucket) {
      bucket = {firstAttempts: 0, retries: 0};
      this.buckets.set(index, bucket);
    }
    return bucket;
  }
}
