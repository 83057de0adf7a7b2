import {Logger, Millis} from '../base/index.js';
import {RequestRateLimit} from '../dispatch/index.js';
import {HeardNotice, NamedLimit, SlotCounts} from '../mesh/index.js';
import {BackendReport, BackendTracker} from './backend_tracker.js';
import {GuardMetrics} from './metrics.js';

/** What an answer says about its backend server. */
export interface ServerNotice {
  readonly limit:
    | {readonly kind: 'none'}
    | {readonly kind: 'named'; readonly perSecond: number}
    | {readonly kind: 'malformed'; readonly text: string};
  readonly isLeaving: boolean;
}

/** Applies the limits and departures that a backend server names in its answers, directly or through other nodes. */
export class NoticeTracker {
  private limit: NamedLimit | undefined;
  private limitHeardAt: Millis = 0;
  /** Limit that another node has heard, until the process that named it has reported here. */
  private pendingLimit: NamedLimit | undefined;

  constructor(
    private readonly tracker: BackendTracker,
    private readonly rateLimit: RequestRateLimit,
    private readonly metrics: GuardMetrics,
    private readonly logger: Logger,
  ) {}

  getLimit(): NamedLimit | undefined {
    return this.limit;
  }

  /** The limit with its age and what this guard allows of it; undefined without a limit. */
  describeLimit(now: Millis): SlotCounts['limit'] {
    const allowedPerSecond = this.rateLimit.getAllowedRate();
    if (!this.limit || allowedPerSecond === undefined) return undefined;
    const {perSecond} = this.limit;
    const ageMs = Math.round(now - this.limitHeardAt);
    return {perSecond, ageMs, allowedPerSecond};
  }

  /** Updates the metrics of the limit. */
  reportLimit(now: Millis): void {
    const {serverLimit, serverLimitAge} = this.metrics;
    const limit = this.describeLimit(now);
    serverLimitAge.set((limit?.ageMs ?? 0) / 1000);
    if (limit) {
      serverLimit.set({kind: 'named'}, limit.perSecond);
      serverLimit.set({kind: 'allowed'}, limit.allowedPerSecond);
    } else serverLimit.reset();
  }

  /** Applies an answer of a backend process; returns whether it says for the first time that the process leaves. */
  recordAnswer(
    backend: BackendReport,
    {limit, isLeaving}: ServerNotice,
    now: Millis,
  ): boolean {
    if (!this.tracker.isCurrent(backend)) return false;
    switch (limit.kind) {
      case 'none':
        this.setLimit(undefined, now);
        break;
      case 'named':
        this.setLimit(makeLimit(backend, limit.perSecond), now);
        break;
      case 'malformed':
        this.logger.warn(
          {server: backend.server, text: limit.text},
          'limit in an answer ignored: not a decimal number',
        );
    }
    return isLeaving && this.recordDeparture(backend, 'answer');
  }

  /** Applies what another node has heard; returns whether the current process turns out to be leaving. */
  recordHeard(
    {departure, limit}: HeardNotice,
    source: 'peer' | 'store',
    now: Millis,
  ): boolean {
    if (limit) this.pendingLimit = limit;
    this.applyPendingLimit(now);
    return departure !== undefined && this.recordDeparture(departure, source);
  }

  /** Starts anew with another backend process. */
  recordNewProcess(now: Millis): void {
    this.setLimit(undefined, now);
    this.applyPendingLimit(now);
  }

  private recordDeparture(
    {server, startedAtMs}: Pick<BackendReport, 'server' | 'startedAtMs'>,
    source: 'answer' | 'peer' | 'store',
  ): boolean {
    const isNews = this.tracker.recordDeparture({server, startedAtMs});
    if (isNews) {
      this.metrics.departures.inc({source});
      this.logger.info({server, startedAtMs, source}, 'backend server leaves');
    }
    return isNews;
  }

  private applyPendingLimit(now: Millis): void {
    const backend = this.tracker.getReady();
    const {pendingLimit} = this;
    if (!backend || !pendingLimit) return;
    if (
      this.limit === undefined &&
      pendingLimit.server === backend.server &&
      pendingLimit.startedAtMs === backend.startedAtMs
    ) {
      this.setLimit(pendingLimit, now);
    }
    this.pendingLimit = undefined;
  }

  private setLimit(limit: NamedLimit | undefined, now: Millis): void {
    const before = this.limit;
    if (limit) this.limitHeardAt = now;
    if (limit?.perSecond === before?.perSecond) return;
    this.limit = limit;
    this.rateLimit.setLimit(limit?.perSecond, now);
    this.logger.info(
      {
        server: (limit ?? before)?.server,
        perSecond: limit?.perSecond,
        before: before?.perSecond,
        allowedPerSecond: this.rateLimit.getAllowedRate(),
      },
      'server limit',
    );
  }
}

function makeLimit(
  {server, startedAtMs}: BackendReport,
  perSecond: number,
): NamedLimit {
  return {server, startedAtMs, perSecond};
}
