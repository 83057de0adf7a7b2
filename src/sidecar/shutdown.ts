import {Millis} from '../base/index.js';

/**
 * A node that shuts down keeps serving callers until the platform has noticed: the platform polls its readiness once a
 * second and routes callers to other nodes after two negative replies.
 */
const noticePeriodMs: Millis = 2600;
/** Margin before the end of the grace period at which remaining requests are abandoned. */
const exitMarginMs: Millis = 200;

/** Times of a graceful shutdown; Infinity until it starts. */
export class Shutdown {
  private startedAt: Millis = Infinity;
  private deadlineAt: Millis = Infinity;

  start(now: Millis, graceMs: Millis): void {
    this.startedAt = now;
    this.deadlineAt = now + graceMs - exitMarginMs;
  }

  hasStarted(): boolean {
    return this.startedAt < Infinity;
  }

  /** Whether callers have had time to switch to other nodes, so that new requests are refused. */
  isRefusing(now: Millis): boolean {
    return now > this.getNoticeEnd();
  }

  /** Time by which callers have had time to switch to other nodes. */
  getNoticeEnd(): Millis {
    return this.startedAt + noticePeriodMs;
  }

  /** Time by which all requests must have ended. */
  getDeadline(): Millis {
    return this.deadlineAt;
  }
}
