import {BackendServerId, Clock, Millis} from '../base/index.js';
import {SlotLoad} from '../guard/index.js';

interface LoadReport extends SlotLoad {
  readonly atMs: Millis;
}

/** Slots fill and empty within an answer time, so an older report says nothing of the present. */
const maxAgeMs: Millis = 1000;
/** Above the 5,400 backend servers of the fleet; the oldest reports are dropped. */
const maxReports = 8192;

/** What this entry knows of the load of backend servers. */
export class ServerLoads {
  private readonly reports = new Map<BackendServerId, LoadReport>();
  private readonly inFlight = new Map<BackendServerId, number>();

  constructor(private readonly clock: Clock) {}

  /** The load a guard reported within the last second, undefined if there is none. */
  getLoad(server: BackendServerId): SlotLoad | undefined {
    const report = this.reports.get(server);
    return report && this.clock.getTime() - report.atMs <= maxAgeMs
      ? report
      : undefined;
  }

  /** Requests that this entry has under way to the server. */
  countInFlight(server: BackendServerId): number {
    return this.inFlight.get(server) ?? 0;
  }

  /** Takes the load that came with an answer. */
  record(server: BackendServerId, {free, slots}: SlotLoad): void {
    this.reports.delete(server);
    this.reports.set(server, {free, slots, atMs: this.clock.getTime()});
    if (this.reports.size <= maxReports) return;
    for (const oldest of this.reports.keys()) {
      this.reports.delete(oldest);
      return;
    }
  }

  /** Counts a call to the server as under way until the task ends. */
  async runTracked<T>(
    server: BackendServerId,
    task: () => Promise<T>,
  ): Promise<T> {
    this.inFlight.set(server, this.countInFlight(server) + 1);
    try {
      return await task();
    } finally {
      const left = this.countInFlight(server) - 1;
      if (left > 0) this.inFlight.set(server, left);
      else this.inFlight.delete(server);
    }
  }
}
