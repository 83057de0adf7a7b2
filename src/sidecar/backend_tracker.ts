import {BackendServerId, Millis, ServiceId} from '../base/index.js';
import {BackendProcess} from '../mesh/index.js';

/** State that a backend server reports about itself. */
export interface BackendReport {
  readonly server: BackendServerId;
  readonly service: ServiceId;
  /** IP:port on which it accepts requests. */
  readonly address: string;
  readonly slots: number;
  readonly phase: 'ready' | 'draining';
  /** Remaining duration of the slow start. */
  readonly warmupMs: Millis;
  /** Unix time of the process start; distinguishes two processes with the same id. 0 if not reported. */
  readonly startedAtMs: Millis;
  /** Increases with each report of the same process. */
  readonly sequence: number;
}

/** A backend process that has announced its shutdown, as persisted in the store. */
export type Departure = BackendProcess;

/** Outcome of applying a report: `stale` and `foreign` reports are rejected. */
export type ReportResult =
  'new' | 'refreshed' | 'leaving' | 'stale' | 'foreign';

/** Time without reports from the current process after which a process with an earlier start time may replace it. */
const takeoverSilenceMs: Millis = 6000;
/** Reports in increasing sequence that such a process must have sent; a single one may be a delayed report. */
const minTakeoverReports = 3;

/** Tracks the current process of this VM's backend server from its reports. */
export class BackendTracker {
  private latest: BackendReport | undefined;
  private departure: Departure | undefined;
  private hasLeft = false;
  private lastAcceptedAt: Millis = 0;
  /** Last stale report of a process other than the current one, and the number of its reports received in sequence. */
  private candidate:
    {readonly report: BackendReport; readonly count: number} | undefined;

  /** `address` is the listen address of this VM's backend server; reports with any other address are foreign. */
  constructor(private readonly address: string | undefined) {}

  /** Latest report of the current process, if it accepts requests. */
  getReady(): BackendReport | undefined {
    if (this.hasLeft || this.latest?.phase !== 'ready') return undefined;
    return this.latest;
  }

  /** Latest accepted report, including that of a draining process. */
  getLatest(): BackendReport | undefined {
    return this.latest;
  }

  getDeparture(): Departure | undefined {
    return this.departure;
  }

  /**
   * Records the departure of a process that this node, one before it or another node has heard of; returns whether it
   * ends the use of the current process.
   */
  recordDeparture(departure: Departure): boolean {
    if (this.isCurrent(departure)) {
      const isNews = !this.hasLeft;
      this.markDeparted(departure);
      return isNews;
    }
    const known = this.departure;
    if (!known || known.startedAtMs < departure.startedAtMs) {
      this.departure = departure;
    }
    return false;
  }

  /** Whether a process is the one that reported last. */
  isCurrent({server, startedAtMs}: Departure): boolean {
    return (
      this.latest?.server === server && this.latest.startedAtMs === startedAtMs
    );
  }

  /** Applies a report unless it is foreign or out of date. */
  applyReport(report: BackendReport, now: Millis): ReportResult {
    if (this.address !== undefined && report.address !== this.address) {
      return 'foreign';
    }
    if (this.isStale(report) && !this.isSuccessor(report, now)) return 'stale';
    this.lastAcceptedAt = now;
    this.candidate = undefined;
    const isSame = this.isCurrent(report);
    if (report.phase === 'draining') {
      this.latest = report;
      this.markDeparted(report);
      return 'leaving';
    }
    const result = isSame && !this.hasLeft ? 'refreshed' : 'new';
    this.latest = report;
    this.hasLeft = false;
    return result;
  }

  /** Records that a process deregistered; returns whether it was the current one. */
  recordDeregistration(server: BackendServerId): boolean {
    if (this.latest?.server !== server || this.hasLeft) return false;
    this.markDeparted(this.latest);
    return true;
  }

  private markDeparted({server, startedAtMs}: Departure): void {
    this.hasLeft = true;
    this.departure = {server, startedAtMs};
  }

  /**
   * Whether a process with an earlier start time has nevertheless replaced the current one: the clock may have been set
   * back between the two starts.
   */
  private isSuccessor(report: BackendReport, now: Millis): boolean {
    if (this.latest && this.isCurrent(report)) return false;
    const previous = this.candidate;
    const continuesPrevious =
      previous?.report.server === report.server &&
      previous.report.startedAtMs === report.startedAtMs &&
      previous.report.sequence < report.sequence;
    const count = continuesPrevious ? previous.count + 1 : 1;
    this.candidate = {report, count};
    return (
      report.phase === 'ready' &&
      count >= minTakeoverReports &&
      now - this.lastAcceptedAt > takeoverSilenceMs
    );
  }

  private isStale(report: BackendReport): boolean {
    const {departure} = this;
    if (
      departure &&
      report.phase === 'ready' &&
      report.startedAtMs <= departure.startedAtMs &&
      (report.startedAtMs > 0 || report.server === departure.server)
    ) {
      return true;
    }
    const latest = this.latest;
    if (!latest) return false;
    if (report.startedAtMs !== latest.startedAtMs) {
      return report.startedAtMs < latest.startedAtMs;
    }
    return (
      report.server === latest.server && report.sequence <= latest.sequence
    );
  }
}
