import {BackendServerId, Clock, Millis} from '../base/index.js';
import {SlotLoad} from '../guard/index.js';

interface LoadReport extends SlotLoad {
  readonly atMs: Millis;
}

/** Slots are taken and released within one response time, so an older report does not reflect the current load. */
const maxReportAgeMs: Millis = 1000;
/** More than the 5,400 backend servers of the fleet; beyond it the oldest report is dropped. */
const maxReports = 8192;

/** Load of backend servers: slot counts reported by their guards, and this entry's own requests in flight. */
export class ServerLoads {
  private readonly reports = new Map<BackendServerId, LoadReport>();
  private readonly inFlight = new Map<BackendServerId, number>();

  constructor(private readonly clock: Clock) {}

  /** The load that the guard reported within the last second, undefined if there is none. */
  getLoad(server: BackendServerId): SlotLoad | undefined {
    const report = this.reports.get(server);
    return report && this.clock.getTime() - report.atMs <= maxReportAgeMs
      ? report
      : undefined;
  }

  /** Requests from this entry that are in flight to the server. */
  countInFlight(server: BackendServerId): number {
    return this.inFlight.get(server) ?? 0;
  }

  /** Records the load that came with the result of a call. */
  record(server: BackendServerId, {free, slots}: SlotLoad): void {
    this.reports.delete(server);
    this.reports.set(server, {free, slots, atMs: this.clock.getTime()});
    if (this.reports.size <= maxReports) return;
    for (const oldest of this.reports.keys()) {
      this.reports.delete(oldest);
      return;
    }
  }

  /** Runs a task and counts it as a request in flight to the server until it ends. */
  async runTracked<T>(
    server: BackendServerId,
    task: () => Promise<T>,
  ): Promise<T> {
    this.inFlight.set(server, this.countInFlight(server) + 1);
    try {
      return await task();
    } finally {
      const remaining = this.countInFlight(server) - 1;
      if (remaining > 0) this.inFlight.set(server, remaining);
      else this.inFlight.delete(server);
    }
  }
}
