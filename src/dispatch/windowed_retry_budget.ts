import {Millis} from '../base/index.js';

/** Bounds of one guard on runs of requests that were already sent elsewhere. */
export interface RetryLimits {
  readonly ratio: number;
  readonly windowMs: Millis;
  /** This guard's part of the repeats allowed beyond the ratio. */
  readonly extra: number;
}

const bucketsPerWindow = 10;

/**
 * Allows repeats within a share of the first runs at one guard. The sum over the guards of a service keeps the bound of
 * the service, because each first run and each repeat is counted at exactly one guard.
 */
export class WindowedRetryBudget {
  private readonly buckets = new Map<
    number,
    {firsts: number; repeats: number}
  >();

  /** Counts a request that is sent for the first time. */
  recordFirstAttempt(now: Millis, limits: RetryLimits): void {
    this.getBucket(now, limits).firsts += 1;
  }

  /** Counts a repeat that is sent. */
  recordRetry(now: Millis, limits: RetryLimits): void {
    this.getBucket(now, limits).repeats += 1;
  }

  /** Whether the window still allows a repeat. */
  hasRetry(now: Millis, limits: RetryLimits): boolean {
    const oldest = this.getIndex(now, limits) - bucketsPerWindow;
    let firsts = 0;
    let repeats = 0;
    for (const [index, counts] of this.buckets) {
      if (index < oldest) this.buckets.delete(index);
      else {
        firsts += counts.firsts;
        repeats += counts.repeats;
      }
    }
    return repeats + 1 <= limits.ratio * firsts + limits.extra;
  }

  private getIndex(now: Millis, limits: RetryLimits): number {
    return Math.floor((now * bucketsPerWindow) / limits.windowMs);
  }

  private getBucket(
    now: Millis,
    limits: RetryLimits,
  ): {firsts: number; repeats: number} {
    const index = this.getIndex(now, limits);
    let bucket = this.buckets.get(index);
    if (!bucket) {
      bucket = {firsts: 0, repeats: 0};
      this.buckets.set(index, bucket);
    }
    return bucket;
  }
}
