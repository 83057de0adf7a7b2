import {BackendServerId, Clock, ServiceId} from '../base/index.js';
import {Configuration} from '../config/index.js';
import {Announcement} from './announcements.js';
import {RefusalReason} from './call.js';
import {SlotPolicy, SlotLimiter} from './slot_limiter.js';

const defaultMaxQueue = 16;

/** The slot tables of the backend servers of this VM. */
export class SlotLimiters {
  private readonly limiters = new Map<BackendServerId, SlotLimiter>();
  /** Servers that are gone while exchanges with them still run. */
  private readonly removedServers = new Set<BackendServerId>();

  constructor(
    private readonly getConfiguration: () => Configuration,
    private readonly clock: Clock,
  ) {}

  /** The table of a backend server, with the slots of its newest announcement. */
  get({server, service, slots}: Announcement): SlotLimiter {
    const known = this.limiters.get(server);
    if (known) return known;
    const limiter = new SlotLimiter(
      slots,
      () => this.makePolicy(service),
      this.clock,
    );
    this.limiters.set(server, limiter);
    return limiter;
  }

  /** Takes an announcement: its slot count, and that a leaving server serves nobody who waits. */
  apply(announcement: Announcement): void {
    this.removedServers.delete(announcement.server);
    this.removeIdle();
    const limiter = this.get(announcement);
    const {phase, slots} = announcement;
    if (phase === 'draining' || phase === 'stopped') {
      limiter.refuseWaiters('draining');
    }
    limiter.setSlots(slots);
  }

  /** Refuses those who wait for a server that is gone. */
  remove(server: BackendServerId, reason: RefusalReason): void {
    const limiter = this.limiters.get(server);
    if (!limiter) return;
    limiter.refuseWaiters(reason);
    // A server that announces itself again while old exchanges run would otherwise get twice its slots.
    this.removedServers.add(server);
    this.removeIdle();
  }

  private removeIdle(): void {
    for (const server of this.removedServers) {
      if (!this.limiters.get(server)?.isIdle()) continue;
      this.limiters.delete(server);
      this.removedServers.delete(server);
    }
  }

  private makePolicy(service: ServiceId): SlotPolicy {
    const {services, partners} = this.getConfiguration();
    return {
      maxQueue: services[service]?.queuePerServer ?? defaultMaxQueue,
      getWeight: partner => partners[partner]?.weight ?? 1,
    };
  }
}
