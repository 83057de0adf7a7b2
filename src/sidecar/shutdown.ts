import {Millis} from '../base/index.js';

/** A stopping node serves on while the platform notices: it asks once a second and needs two refusals. */
const noticeMs: Millis = 2600;
/** Time before the end of the grace at which what is left is given up. */
const exitLeadMs: Millis = 200;

/** The times of a graceful shutdown; all lie at infinity until it starts. */
export class Shutdown {
  private startedAt: Millis = Infinity;
  private endAt: Millis = Infinity;

  start(now: Millis, graceMs: Millis): void {
    this.startedAt = now;
    this.endAt = now + graceMs - exitLeadMs;
  }

  hasStarted(): boolean {
    return this.startedAt < Infinity;
  }

  /** Whether callers have had the time to turn to other nodes, so that what comes now is refused. */
  isRefusingRequests(now: Millis): boolean {
    return now > this.startedAt + noticeMs;
  }

  /** Point in time by which all requests must have ended. */
  getDeadline(): Millis {
    return this.endAt;
  }
}
