import {Millis} from '../base/index.js';

/** Time over which the limit accrues while it is not used, for arrivals that come in bursts. */
const burstMs: Millis = 1000;
/** Lowest rate at which requests start: the answer to one shows when the server takes more again. */
const minPerSecond = 0.25;

/**
 * Limit on the requests a second that one backend server takes from all VMs. All requests for a server start at one
 * guard, so the limit needs no estimate of what other VMs send. Without a limit, any request may start.
 */
export class RequestRateLimit {
  private perSecond: number | undefined;
  private available = 0;
  private updatedAt: Millis = 0;

  /** Sets or lifts the limit. A first limit begins without an accrued part, as it follows requests without one. */
  setLimit(perSecond: number | undefined, now: Millis): void {
    this.available = this.countAvailable(now);
    if (this.perSecond === undefined) this.available = 0;
    this.updatedAt = now;
    this.perSecond = perSecond;
  }

  /** Requests a second that are started at most; undefined without a limit. */
  getAllowedRate(): number | undefined {
    return this.perSecond === undefined
      ? undefined
      : Math.max(minPerSecond, this.perSecond);
  }

  /** Requests that may start now; Infinity without a limit. */
  countAvailable(now: Millis): number {
    const rate = this.getAllowedRate();
    if (rate === undefined) return Infinity;
    const accrued = ((now - this.updatedAt) * rate) / 1000;
    const most = Math.max(1, (rate * burstMs) / 1000);
    return Math.min(most, this.available + accrued);
  }

  canStart(now: Millis): boolean {
    return this.countAvailable(now) >= 1;
  }

  recordStart(now: Millis): void {
    this.addAvailable(-1, now);
  }

  /** Gives back the part of a request that was not sent to the server after all. */
  releaseStart(now: Millis): void {
    this.addAvailable(1, now);
  }

  /** Time until a request may start that has this number of others before it. */
  estimateWait(ahead: number, now: Millis): Millis {
    const rate = this.getAllowedRate();
    if (rate === undefined) return 0;
    const missing = ahead + 1 - this.countAvailable(now);
    return Math.max(0, (missing / rate) * 1000);
  }

  private addAvailable(count: number, now: Millis): void {
    if (this.perSecond === undefined) return;
    this.available = this.countAvailable(now) + count;
    this.updatedAt = now;
  }
}
