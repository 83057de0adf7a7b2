import {Logger, Millis} from '../base/index.js';
import {RequestRateLimit} from '../dispatch/index.js';
import {
  BackendProcess,
  HeardNotice,
  NamedLimit,
  SlotCounts,
} from '../mesh/index.js';
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

/** What a notice has changed; `departed`: the current process of the backend server turns out to be leaving. */
export type NoticeEffect = 'none' | 'limit-changed' | 'departed';

/** Applies the limits and departures that a backend server names in its answers, directly or through other nodes. */
export class NoticeTracker {
  private limit: NamedLimit | undefined;
  private limitHeardAt: Millis = 0;
  /** Limit that another node has heard, until the process that named it has reported or answered here. */
  private pendingLimit: NamedLimit | undefined;
  private hasAnswered = false;

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

  /** Applies an answer of a backend process. */
  recordAnswer(
    backend: BackendReport,
    {limit, isLeaving}: ServerNotice,
    now: Millis,
  ): NoticeEffect {
    if (!this.tracker.isCurrent(backend)) {
      // What an earlier process says of its shutdown stays true.
      if (isLeaving) this.tracker.recordDepartures([backend]);
      return 'none';
    }
    this.hasAnswered = true;
    this.pendingLimit = undefined;
    if (isLeaving && this.recordDeparture(backend, 'answer')) return 'departed';
    switch (limit.kind) {
      case 'none':
        return this.setLimit(undefined, now);
      case 'named':
        return this.setLimit(makeLimit(backend, limit.perSecond), now);
      case 'malformed':
        this.logger.warn(
          {server: backend.server, text: limit.text},
          'limit in an answer ignored: not a decimal number',
        );
        return 'none';
    }
  }

  /** Applies what another node has heard; a limit only until this node hears an answer itself. */
  recordHeard(
    {departure, departures, limit}: HeardNotice,
    source: 'peer' | 'store',
    now: Millis,
  ): NoticeEffect {
    if (departure && this.recordDeparture(departure, source)) return 'departed';
    if (departures && this.tracker.recordDepartures(departures)) {
      return 'departed';
    }
    if (limit && !this.hasAnswered) this.pendingLimit = limit;
    return this.applyPendingLimit(now);
  }

  /** Starts anew with another backend process. */
  recordNewProcess(now: Millis): void {
    this.hasAnswered = false;
    this.setLimit(undefined, now);
    this.applyPendingLimit(now);
  }

  private recordDeparture(
    {server, startedAtMs}: BackendProcess,
    source: 'answer' | 'peer' | 'store',
  ): boolean {
    const isNews = this.tracker.recordDeparture({server, startedAtMs});
    if (isNews) {
      this.metrics.departures.inc({source});
      this.logger.info({server, startedAtMs, source}, 'backend server leaves');
    }
    return isNews;
  }

  private applyPendingLimit(now: Millis): NoticeEffect {
    const {pendingLimit} = this;
    const backend = this.tracker.getReady();
    if (!backend || !pendingLimit) return 'none';
    this.pendingLimit = undefined;
    const isOfBackend =
      pendingLimit.server === backend.server &&
      pendingLimit.startedAtMs === backend.startedAtMs;
    return isOfBackend ? this.setLimit(pendingLimit, now) : 'none';
  }

  private setLimit(limit: NamedLimit | undefined, now: Millis): NoticeEffect {
    const before = this.limit;
    if (limit) this.limitHeardAt = now;
    if (limit?.perSecond === before?.perSecond) return 'none';
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
    return 'limit-changed';
  }
}

function makeLimit(
  {server, startedAtMs}: BackendProcess,
  perSecond: number,
): NamedLimit {
  return {server, startedAtMs, perSecond};
}
