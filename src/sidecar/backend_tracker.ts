import {BackendServerId, Millis, ServiceId} from '../base/index.js';

/** What a backend server says of itself. */
export interface BackendReport {
  readonly server: BackendServerId;
  readonly service: ServiceId;
  /** IP:port on which it takes requests. */
  readonly address: string;
  readonly slots: number;
  readonly phase: 'ready' | 'draining';
  /** How much longer it stays slow after its start. */
  readonly warmupMs: Millis;
  /** Unix time of its start; tells two processes under one id apart. 0 if it does not say. */
  readonly startedAtMs: Millis;
  /** Grows with each report of one process. */
  readonly sequence: number;
}

/** A process that has announced that it leaves, as it is kept in the store. */
export interface Departure {
  readonly server: BackendServerId;
  readonly startedAtMs: Millis;
}

/** Why a report was taken or not. */
export type ReportResult =
  'new' | 'refreshed' | 'leaving' | 'stale' | 'foreign';

/** Silence of the known process after which another one is believed that claims an earlier start. */
const silenceMs: Millis = 6000;
/** Reports of growing sequence that such a process must have sent; a delayed report comes alone. */
const minReports = 3;

/** The backend server of this VM as far as its reports tell: the newest process that has not left. */
export class BackendTracker {
  private report: BackendReport | undefined;
  private departed: Departure | undefined;
  private left = false;
  private takenAt: Millis = 0;
  /** The newest report that was refused as stale, and how many of its process came in order. */
  private refused:
    {readonly report: BackendReport; readonly count: number} | undefined;

  /** `address` is where the backend server of this VM listens; reports of any other address are foreign. */
  constructor(private readonly address: string | undefined) {}

  /** The process that may get work, if there is one. */
  getReady(): BackendReport | undefined {
    if (this.left || this.report?.phase !== 'ready') return undefined;
    return this.report;
  }

  /** The newest report, also of a process that leaves. */
  getLatest(): BackendReport | undefined {
    return this.report;
  }

  getDeparture(): Departure | undefined {
    return this.departed;
  }

  /** Takes over what an earlier process of this node acknowledged. */
  loadDeparture(departure: Departure): void {
    this.departed ??= departure;
  }

  /** Takes a report unless it is older than what is known. */
  applyReport(report: BackendReport, now: Millis): ReportResult {
    if (this.address !== undefined && report.address !== this.address) {
      return 'foreign';
    }
    if (this.isStale(report) && !this.isSuccessor(report, now)) return 'stale';
    this.takenAt = now;
    this.refused = undefined;
    const isSame = this.isSameProcess(report);
    if (report.phase === 'draining') {
      this.report = report;
      this.markDeparted(report);
      return 'leaving';
    }
    const verdict = isSame && !this.left ? 'refreshed' : 'new';
    this.report = report;
    this.left = false;
    return verdict;
  }

  /** Takes the last word of a process; true if it was the present one. */
  recordDeregistration(server: BackendServerId): boolean {
    if (this.report?.server !== server || this.left) return false;
    this.markDeparted(this.report);
    return true;
  }

  private markDeparted({server, startedAtMs}: BackendReport): void {
    this.left = true;
    this.departed = {server, startedAtMs};
  }

  private isSameProcess(report: BackendReport): boolean {
    return (
      this.report?.server === report.server &&
      this.report.startedAtMs === report.startedAtMs
    );
  }

  /**
   * Whether a process that claims an earlier start has in truth followed the known one: a clock may have been set back
   * between the two starts.
   */
  private isSuccessor(report: BackendReport, now: Millis): boolean {
    if (this.report && this.isSameProcess(report)) return false;
    const before = this.refused;
    const isNext =
      before?.report.server === report.server &&
      before.report.startedAtMs === report.startedAtMs &&
      before.report.sequence < report.sequence;
    const count = isNext ? before.count + 1 : 1;
    this.refused = {report, count};
    return (
      report.phase === 'ready' &&
      count >= minReports &&
      now - this.takenAt > silenceMs
    );
  }

  private isStale(report: BackendReport): boolean {
    const {departed} = this;
    if (
      departed &&
      report.phase === 'ready' &&
      report.startedAtMs <= departed.startedAtMs &&
      (report.startedAtMs > 0 || report.server === departed.server)
    ) {
      return true;
    }
    const known = this.report;
    if (!known) return false;
    if (report.startedAtMs !== known.startedAtMs) {
      return report.startedAtMs < known.startedAtMs;
    }
    return report.server === known.server && report.sequence <= known.sequence;
  }
}
