import {BackendServerId, Clock, ServiceId} from '../base/index.js';
import {Configuration} from '../config/index.js';
import {Announcement} from './announcements.js';
import {RefusalReason} from './call.js';
import {SlotPolicy, SlotLimiter} from './slot_limiter.js';

const defaultMaxQueue = 16;

/** The slot limiters of the backend servers of this VM. */
export class SlotLimiters {
  private readonly limiters = new Map<BackendServerId, SlotLimiter>();
  /** Servers that were removed while exchanges with them are still running. */
  private readonly removedServers = new Set<BackendServerId>();

  constructor(
    private readonly getConfiguration: () => Configuration,
    private readonly clock: Clock,
  ) {}

  /** Returns the limiter of a backend server, created with the announced number of slots if there is none. */
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

  /** Applies an announcement: sets the number of slots and refuses the waiting requests of a draining server. */
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

  /** Removes a server whose announcement expired and refuses the requests that wait for it. */
  remove(server: BackendServerId, reason: RefusalReason): void {
    const limiter = this.limiters.get(server);
    if (!limiter) return;
    limiter.refuseWaiters(reason);
    // Keep the limiter while old exchanges run: a server that announces itself again would otherwise get up to twice
    // its slots.
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
