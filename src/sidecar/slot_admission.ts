import {Millis} from '../base/index.js';
import {
  findWantedRequests,
  IdleReportSchedule,
  isWantedRequest,
  RetryLimits,
  SlotRequest,
  WantedRequests,
  WindowedRetryBudget,
} from '../dispatch/index.js';
import {EntryMessage, SlotRefusal} from '../mesh/index.js';
import {BackendMonitor} from './backend_monitor.js';

type RequestMessage = Extract<EntryMessage, {kind: 'request'}>;

/** Decides which slot requests may start, by the retry budget, the verdict on the server and its idle time. */
export class SlotAdmission {
  private readonly retryBudget = new WindowedRetryBudget();
  private readonly idleReports = new IdleReportSchedule();

  constructor(private readonly monitor: BackendMonitor) {}

  /** Reason to refuse a slot request on arrival, if any. */
  findRefusal(
    {isRepeat, isForIdle, isIdempotent}: RequestMessage,
    limits: RetryLimits,
    now: Millis,
  ): SlotRefusal | undefined {
    if (isRepeat && !this.retryBudget.hasRetry(now, limits)) {
      return 'repeat-budget';
    }
    if (isForIdle && !isWantedRequest(this.findWanted(now), isIdempotent)) {
      return 'not-idle';
    }
    return undefined;
  }

  /** Makes the condition under which a queued request may start now, beside a number of running ones. */
  makeStartFilter(
    running: number,
    limits: RetryLimits,
    now: Millis,
  ): (request: SlotRequest) => boolean {
    const verdict = this.monitor.getVerdict(now);
    return ({isIdempotent, isRetry, isForIdle}) =>
      (isForIdle || this.monitor.canRun(verdict, isIdempotent, running, now)) &&
      (!isRetry || this.retryBudget.hasRetry(now, limits));
  }

  /** Counts a grant; at the grant, so that requests granted at the same time cannot jointly exceed the retry budget. */
  recordGrant({isRetry}: SlotRequest, limits: RetryLimits, now: Millis): void {
    this.monitor.recordGrant(now);
    if (isRetry) this.retryBudget.recordRetry(now, limits);
    else this.retryBudget.recordFirstAttempt(now, limits);
  }

  /** Returns which requests to ask entries for now, because the server is idle; the report then counts as sent. */
  claimIdleReport(now: Millis): WantedRequests | undefined {
    return this.idleReports.claimReport(
      this.monitor.getVerdict(now),
      this.monitor.getIdleTime(now),
      now,
    );
  }

  private findWanted(now: Millis): WantedRequests | undefined {
    return findWantedRequests(
      this.monitor.getVerdict(now),
      this.monitor.getIdleTime(now),
    );
  }
}
