import {BackendServerId, Clock, ServiceId} from '../base/index.js';
import {Configuration} from '../config/index.js';
import {Announcement} from './announcements.js';
import {RefusalReason} from './call.js';
import {SlotPolicy, SlotLimiter} from './slot_limiter.js';

const defaultQueue = 16;

/** The slot tables of the backend servers of this VM. */
export class SlotLimiters {
  private readonly tables = new Map<BackendServerId, SlotLimiter>();
  /** Servers that are gone while exchanges with them still run. */
  private readonly gone = new Set<BackendServerId>();

  constructor(
    private readonly getConfiguration: () => Configuration,
    private readonly clock: Clock,
  ) {}

  /** The table of a backend server, with the slots of its newest announcement. */
  get({server, service, slots}: Announcement): SlotLimiter {
    const known = this.tables.get(server);
    if (known) return known;
    const table = new SlotLimiter(
      slots,
      () => this.makePolicy(service),
      this.clock,
    );
    this.tables.set(server, table);
    return table;
  }

  /** Takes an announcement: its slot count, and that a leaving server serves nobody who waits. */
  apply(announcement: Announcement): void {
    this.gone.delete(announcement.server);
    this.removeIdle();
    const table = this.get(announcement);
    const {phase, slots} = announcement;
    if (phase === 'draining' || phase === 'stopped') {
      table.refuseWaiters('draining');
    }
    table.setSlots(slots);
  }

  /** Refuses those who wait for a server that is gone. */
  remove(server: BackendServerId, reason: RefusalReason): void {
    const table = this.tables.get(server);
    if (!table) return;
    table.refuseWaiters(reason);
    // A server that announces itself again while old exchanges run would otherwise get twice its slots.
    this.gone.add(server);
    this.removeIdle();
  }

  private removeIdle(): void {
    for (const server of this.gone) {
      if (!this.tables.get(server)?.isIdle()) continue;
      this.tables.delete(server);
      this.gone.delete(server);
    }
  }

  private makePolicy(service: ServiceId): SlotPolicy {
    const {services, partners} = this.getConfiguration();
    return {
      maxQueue: services[service]?.queuePerServer ?? defaultQueue,
      getWeight: partner => partners[partner]?.weight ?? 1,
    };
  }
}
