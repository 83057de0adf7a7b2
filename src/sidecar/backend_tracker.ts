import {BackendServerId, Millis, ServiceId} from '../base/index.js';
import {BackendProcess} from '../mesh/index.js';
import {
  addDeparture,
  Departure,
  DepartureState,
  Deregistration,
  hasDeparted,
  isSameProcess,
  noDepartures,
  replaceUpperBound,
} from './departures.js';

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

/** What the settings say about the backend server of this VM. */
export interface BackendSettings {
  /** Listen address; reports with any other address are foreign. */
  readonly address?: string | undefined;
  readonly service?: ServiceId | undefined;
}

/**
 * Outcome of applying a report: `stale` and `foreign` reports are rejected. `departed`: a process that is not the current
 * one leaves, which is recorded.
 */
export type ReportResult =
  'new' | 'refreshed' | 'leaving' | 'departed' | 'stale' | 'foreign';

/** Time without reports from the current process after which a process with an earlier start time may replace it. */
const takeoverSilenceMs: Millis = 6000;
/** Reports in increasing sequence that such a process must have sent; a single one may be a delayed report. */
const minTakeoverReports = 3;
/** Time over which they must arrive; reports that were held up together arrive together. */
const minTakeoverSpanMs: Millis = 2000;
/** Time within which clocks agree; a process that claims to have started later than that is not plausible. */
const maxClockErrorMs: Millis = 600_000;

/** Process whose reports are stale, and which may turn out to be the successor of the current one. */
interface Candidate {
  readonly report: BackendReport;
  readonly count: number;
  readonly firstAt: Millis;
}

/**
 * Tracks the current process of this VM's backend server. Its service is the one that the settings name, until a process of
 * another service that started after the settings were read takes the address over.
 */
export class BackendTracker {
  private latest: BackendReport | undefined;
  private departures: DepartureState = noDepartures;
  private hasLeft = false;
  /** Undefined until the first report. */
  private lastAcceptedAt: Millis | undefined;
  private candidate: Candidate | undefined;
  private address: string | undefined;
  private service: ServiceId | undefined;

  constructor(
    {address, service}: BackendSettings,
    /** Unix time at which the settings were read. */
    private settingsReadAt: Millis = 0,
  ) {
    this.address = address;
    this.service = service;
  }

  /** Latest report of the current process, if it accepts requests. */
  getReady(): BackendReport | undefined {
    if (this.hasLeft || this.latest?.phase !== 'ready') return undefined;
    return this.latest;
  }

  /** Latest accepted report, including that of a draining process. */
  getLatest(): BackendReport | undefined {
    return this.latest;
  }

  /** Service of this VM. */
  getService(): ServiceId | undefined {
    return this.latest?.service ?? this.service;
  }

  getDeparture(): Departure | undefined {
    return this.departures.last;
  }

  /** What is known of departures; the same object until that changes. */
  getDepartures(): DepartureState {
    return this.departures;
  }

  /** Applies changed settings; returns whether they end the use of the current process. */
  updateSettings({address, service}: BackendSettings, now: Millis): boolean {
    const isSame = address === this.address && service === this.service;
    if (isSame) return false;
    this.address = address;
    this.service = service;
    this.settingsReadAt = now;
    const {latest} = this;
    const isReplaced =
      (address !== undefined && latest?.address !== address) ||
      (service !== undefined && latest?.service !== service);
    if (!latest || !isReplaced) return false;
    this.latest = undefined;
    this.candidate = undefined;
    return !this.hasLeft;
  }

  /**
   * Records the departure of a process that was the current one, of which this node, one before it or another node has
   * heard; returns whether it ends the use of the current process.
   */
  recordDeparture(departure: Departure): boolean {
    const {last} = this.departures;
    const isNewer = !last || last.startedAtMs < departure.startedAtMs;
    this.addDeparture(departure, isNewer ? departure : last);
    return this.endIfDeparted();
  }

  /** Records departures of processes that may never have been the current one. */
  recordDepartures(departures: readonly Departure[]): boolean {
    for (const departure of departures) this.addDeparture(departure);
    return this.endIfDeparted();
  }

  /** Whether a process is the one that reported last. */
  isCurrent(process: BackendProcess): boolean {
    return this.latest !== undefined && isSameProcess(this.latest, process);
  }

  /** Applies a report unless it is foreign or out of date. */
  applyReport(report: BackendReport, now: Millis): ReportResult {
    this.lastAcceptedAt ??= now;
    if (this.address !== undefined && report.address !== this.address) {
      return 'foreign';
    }
    if (report.startedAtMs > now + maxClockErrorMs) return 'foreign';
    const isForeign = this.isOfOtherService(report);
    const isRejected = isForeign || this.isStale(report);
    if (isRejected && !this.isSuccessor(report, now)) {
      return isForeign ? 'foreign' : this.recordStale(report);
    }
    if (isRejected) this.recordTakeover();
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

  /**
   * Records that a process deregistered, also one that has not reported yet; returns whether it was the current one and
   * in use. A notice without a start time means the current process of its server, or all that have started so far.
   */
  recordDeregistration(
    {server, startedAtMs}: Deregistration,
    now: Millis,
  ): boolean {
    const {latest} = this;
    const ownStart = latest?.server === server ? latest.startedAtMs : undefined;
    const knownStart = startedAtMs ?? ownStart;
    this.addDeparture(
      knownStart === undefined
        ? {server, startedAtMs: Math.floor(now), isUpperBound: true}
        : {server, startedAtMs: knownStart},
    );
    return this.endIfDeparted();
  }

  private endIfDeparted(): boolean {
    const {latest} = this;
    if (!latest || this.hasLeft) return false;
    if (!hasDeparted(this.departures.all, latest)) return false;
    this.markDeparted(latest);
    return true;
  }

  private markDeparted({server, startedAtMs}: Departure): void {
    this.hasLeft = true;
    this.addDeparture({server, startedAtMs}, {server, startedAtMs});
  }

  private addDeparture(
    departure: Departure,
    last = this.departures.last,
  ): void {
    this.setDepartures(addDeparture(this.departures.all, departure), last);
  }

  private setDepartures(
    all: readonly Departure[],
    last: Departure | undefined,
  ): void {
    const known = this.departures;
    const isSameLast =
      known.last === last ||
      (known.last && last && isSameProcess(known.last, last));
    if (all === known.all && isSameLast) return;
    this.departures = {last, all};
  }

  private recordStale(report: BackendReport): ReportResult {
    const {all, last} = this.departures;
    if (report.phase === 'ready') {
      this.setDepartures(replaceUpperBound(all, report), last);
      return 'stale';
    }
    // A notice of the shutdown stays true however late it arrives.
    this.addDeparture(report);
    return this.endIfDeparted() ? 'leaving' : 'departed';
  }

  /** Start times do not show that the processes before a successor have ended, so that they are listed one by one. */
  private recordTakeover(): void {
    const {all} = this.departures;
    const {latest} = this;
    this.setDepartures(latest ? addDeparture(all, latest) : all, undefined);
  }

  /** Whether the settings name another service, and the process does not show that it came after them. */
  private isOfOtherService({service, startedAtMs}: BackendReport): boolean {
    if (this.service === undefined || service === this.service) return false;
    const isCurrent = this.latest?.service === service;
    return !isCurrent && startedAtMs <= this.settingsReadAt;
  }

  /**
   * Whether a process that its start time does not show to be newer has nevertheless replaced the current one: the clock
   * may have been set back between the two starts.
   */
  private isSuccessor(report: BackendReport, now: Millis): boolean {
    if (this.latest && this.isCurrent(report)) return false;
    const {all} = this.departures;
    if (all.some(departure => isSameProcess(departure, report))) return false;
    const previous = this.candidate;
    const continuesPrevious =
      previous !== undefined &&
      isSameProcess(previous.report, report) &&
      previous.report.sequence < report.sequence;
    const count = continuesPrevious ? previous.count + 1 : 1;
    const firstAt = continuesPrevious ? previous.firstAt : now;
    this.candidate = {report, count, firstAt};
    return (
      report.phase === 'ready' &&
      count >= minTakeoverReports &&
      now - firstAt >= minTakeoverSpanMs &&
      now - (this.lastAcceptedAt ?? now) > takeoverSilenceMs
    );
  }

  private isStale(report: BackendReport): boolean {
    const {all, last: departure} = this.departures;
    if (report.phase === 'ready' && hasDeparted(all, report)) return true;
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
