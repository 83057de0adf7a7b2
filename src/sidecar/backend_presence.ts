import {Clock, Logger, Millis, ServiceId} from '../base/index.js';
import {RequestRateLimit} from '../dispatch/index.js';
import {HeardNotice, NamedLimit} from '../mesh/index.js';
import {
  BackendReport,
  BackendSettings,
  BackendTracker,
  ReportResult,
} from './backend_tracker.js';
import {DepartureState, Deregistration} from './departures.js';
import {GuardMetrics} from './metrics.js';
import {NoticeEffect, NoticeTracker, ServerNotice} from './server_notice.js';

/** A departure is acknowledged only if the store has it within this time; the server waits a second. */
const storeTimeoutMs: Millis = 850;
/**
 * While a starting node cannot read the departures that it stored before, a server is used once it has sent this number of
 * reports over this time; late reports of one that has left arrive together.
 */
const minUnconfirmedReports = 3;
const minUnconfirmedSpanMs: Millis = 2500;

/** Answer to what a backend server says of itself; `unsaved`: the store did not confirm a departure in time. */
export type AnnouncementResult = 'accepted' | 'rejected' | 'unsaved';

/** What becomes of a change of the backend server. */
export interface PresenceHandlers {
  /** Whether the configuration contains a service; reports for other services are foreign to this fleet. */
  isKnownService(service: ServiceId): boolean;
  /** Saves departures for the next process of this node; resolves with true once the store has them. */
  saveDepartures(departures: DepartureState): Promise<boolean>;
  /** A report was accepted; `isNewServer` if the process before had another id. */
  onReport(
    report: BackendReport,
    result: ReportResult,
    isNewServer: boolean,
  ): void;
  /** The current process turned out to leave. */
  onDeparture(): void;
  onLimitChange(): void;
}

/** Which backend process this VM has, from its reports and answers, the settings, other nodes and the store. */
export class BackendPresence {
  readonly tracker: BackendTracker;
  private readonly notices: NoticeTracker;
  /** Whether the departures that earlier processes of this node stored are known. */
  private isInformed = false;
  private unconfirmedReports = 0;
  private firstReportAt: Millis | undefined;
  private savedDepartures: DepartureState;
  private saving = Promise.resolve(true);

  constructor(
    settings: BackendSettings,
    rateLimit: RequestRateLimit,
    private readonly handlers: PresenceHandlers,
    metrics: GuardMetrics,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.tracker = new BackendTracker(settings, clock.getTime());
    this.savedDepartures = this.tracker.getDepartures();
    this.notices = new NoticeTracker(this.tracker, rateLimit, metrics, logger);
  }

  /** The current process, if it accepts requests and is known not to have left before this process started. */
  getReady(): BackendReport | undefined {
    return this.isInformed ? this.tracker.getReady() : undefined;
  }

  getLimit(): NamedLimit | undefined {
    return this.notices.getLimit();
  }

  describeLimit(now: Millis): ReturnType<NoticeTracker['describeLimit']> {
    return this.notices.describeLimit(now);
  }

  /** Updates the metrics of the limit. */
  reportLimit(now: Millis): void {
    this.notices.reportLimit(now);
  }

  /** Applies a report of the backend server; a departure is accepted once the store has it. */
  async applyReport(report: BackendReport): Promise<AnnouncementResult> {
    const now = this.clock.getTime();
    const previous = this.tracker.getLatest();
    const result = this.handlers.isKnownService(report.service)
      ? this.tracker.applyReport(report, now)
      : 'foreign';
    if (result !== 'refreshed') {
      this.logger.info({report, result}, 'backend server report');
    }
    const saved = this.saveDepartures();
    switch (result) {
      case 'stale':
      case 'foreign':
        return 'rejected';
      case 'departed':
        return this.waitUntilSaved(saved);
      case 'new':
        this.notices.recordNewProcess(now);
        break;
      case 'leaving':
      case 'refreshed':
        break;
    }
    this.recordUnconfirmed(now);
    this.handlers.onReport(report, result, previous?.server !== report.server);
    return result === 'leaving' ? this.waitUntilSaved(saved) : 'accepted';
  }

  /** Stops sending to a process that deregistered; accepted once the store has it. */
  recordDeregistration(notice: Deregistration): Promise<AnnouncementResult> {
    const isCurrent = this.tracker.recordDeregistration(
      notice,
      this.clock.getTime(),
    );
    this.logger.info({...notice, isCurrent}, 'backend server deregistered');
    const saved = this.saveDepartures();
    if (isCurrent) this.handlers.onDeparture();
    return this.waitUntilSaved(saved);
  }

  /** Applies what an answer of a process says about it. */
  recordAnswer(backend: BackendReport, notice: ServerNotice): void {
    const now = this.clock.getTime();
    this.applyEffect(this.notices.recordAnswer(backend, notice, now));
  }

  /** Applies what another node has heard of this VM's backend server. */
  recordHeard(notice: HeardNotice): void {
    const now = this.clock.getTime();
    this.applyEffect(this.notices.recordHeard(notice, 'peer', now));
  }

  /** Applies the departures that an earlier process of this node stored; from now on reports are relied on. */
  recordStored({last, all}: DepartureState): void {
    const notice = {departure: last, departures: all};
    const now = this.clock.getTime();
    const effect = this.notices.recordHeard(notice, 'store', now);
    this.isInformed = true;
    this.applyEffect(effect === 'none' ? 'limit-changed' : effect);
  }

  /** Applies changed settings: they decide the service of this VM from now on. */
  updateSettings(settings: BackendSettings): void {
    if (this.tracker.updateSettings(settings, this.clock.getTime())) {
      this.logger.info(settings, 'backend server replaced by the settings');
      this.handlers.onDeparture();
    }
  }

  private applyEffect(effect: NoticeEffect): void {
    void this.saveDepartures();
    switch (effect) {
      case 'none':
        return;
      case 'limit-changed':
        return this.handlers.onLimitChange();
      case 'departed':
        return this.handlers.onDeparture();
    }
  }

  private recordUnconfirmed(now: Millis): void {
    if (this.isInformed) return;
    this.firstReportAt ??= now;
    this.unconfirmedReports += 1;
    this.isInformed =
      this.unconfirmedReports >= minUnconfirmedReports &&
      now - this.firstReportAt >= minUnconfirmedSpanMs;
    if (this.isInformed) {
      this.logger.warn(
        'stored departures could not be read; backend server used as it reports',
      );
    }
  }

  private saveDepartures(): Promise<boolean> {
    const departures = this.tracker.getDepartures();
    if (departures === this.savedDepartures) return this.saving;
    this.savedDepartures = departures;
    this.saving = this.handlers.saveDepartures(departures);
    return this.saving;
  }

  private waitUntilSaved(saved: Promise<boolean>): Promise<AnnouncementResult> {
    return new Promise(resolve => {
      const timer = this.clock.startTimer(storeTimeoutMs, () => {
        this.logger.warn('departure not acknowledged: not stored yet');
        resolve('unsaved');
      });
      void saved.then(isSaved => {
        timer.cancel();
        resolve(isSaved ? 'accepted' : 'unsaved');
      });
    });
  }
}
