import {IncomingHttpHeaders} from 'node:http';
import {Readable} from 'node:stream';
import {Clock, Millis} from '../base/index.js';
import {Observation, overdueMultiples} from '../health/index.js';
import {GuardCall} from './call.js';

// A body up to this size fits into the buffers between the hops, so its last byte does not depend on the caller's pace.
const smallBodyBytes = 65_536;
// The entry's own timer for the deadline can fire a little earlier than the guard's.
const deadlineSlackMs: Millis = 50;

/** Times one exchange with a backend server and derives observations of the server's health from it. */
export class ExchangeObserver {
  private startedAt: Millis | undefined;
  private headersMs: Millis | undefined;
  private body: Readable | undefined;
  private isSmallBody = false;
  private overdueCount = 0;

  constructor(
    private readonly clock: Clock,
    private readonly call: Pick<GuardCall, 'body' | 'deadline'>,
  ) {
    // The caller sets the pace of a streamed upload, so the server's time starts at the end of the upload.
    if (call.body instanceof Readable) {
      call.body.once('end', () => {
        this.startedAt = clock.getTime();
      });
    } else {
      this.startedAt = clock.getTime();
    }
  }

  recordHeaders(headers: IncomingHttpHeaders, body: Readable): void {
    this.headersMs = this.measureElapsed();
    this.body = body;
    this.isSmallBody =
      Number(headers['content-length'] ?? NaN) <= smallBodyBytes;
  }

  /**
   * Returns an observation each time the server has worked longer than the next multiple of the limit, so that a
   * hanging server is detected before the deadlines of its requests. The later end of such an exchange reports no
   * time, so that its duration is not counted again.
   */
  observeOverdue(limitMs: Millis): Observation | undefined {
    const tookMs = this.measureServerTime();
    const multiple = overdueMultiples[this.overdueCount];
    if (multiple === undefined || tookMs === undefined) return undefined;
    if (tookMs <= limitMs * multiple) return undefined;
    this.overdueCount += 1;
    return {kind: 'unfinished', atMs: this.clock.getTime(), tookMs};
  }

  /** Returns the observation of an exchange that completed or that failed at the server. */
  observeEnd(ok: boolean): Observation {
    const tookMs =
      this.overdueCount > 0 ? undefined : this.measureResponseTime();
    return {kind: 'answer', atMs: this.clock.getTime(), ok, tookMs};
  }

  /** Returns the observation of an exchange that the deadline or a disconnect of the caller aborted. */
  observeAbort(): Observation {
    const atMs = this.clock.getTime();
    const tookMs = this.measureServerTime();
    if (tookMs === undefined) return {kind: 'reached', atMs};
    const isTimeout =
      this.isServerWorking() && atMs >= this.call.deadline - deadlineSlackMs;
    if (this.overdueCount > 0) {
      return isTimeout
        ? {kind: 'answer', atMs, ok: false}
        : {kind: 'reached', atMs};
    }
    return {kind: isTimeout ? 'timeout' : 'unfinished', atMs, tookMs};
  }

  /** Whether the server still has work to do; unread bytes mean that it waits for the caller to read. */
  private isServerWorking(): boolean {
    return !this.body || this.body.readableLength === 0;
  }

  private measureServerTime(): Millis | undefined {
    return this.isServerWorking() ? this.measureElapsed() : this.headersMs;
  }

  private measureResponseTime(): Millis | undefined {
    return this.isSmallBody ? this.measureElapsed() : this.headersMs;
  }

  private measureElapsed(): Millis | undefined {
    return this.startedAt === undefined
      ? undefined
      : this.clock.getTime() - this.startedAt;
  }
}
