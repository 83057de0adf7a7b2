import {Clock, Millis, ServiceId} from '../base/index.js';

/** Bounds of waiting at the entry. */
export interface ParkingRules {
  /** Requests that may wait at this entry, over all services. */
  readonly maxParked: number;
  /** Longest wait of one request. */
  readonly budgetMs: Millis;
  /** Time after which a waiting request of a service is tried without a sign of a free slot. */
  readonly resumeMs: Millis;
}

interface ParkedService {
  readonly waiting: Set<(resumed: boolean) => void>;
  /** Whether a resumed request of the service is under way. */
  hasFlight: boolean;
}

/** Requests that were refused as busy and wait at the entry; one of each service is resumed at a time. */
export class ParkingLot {
  private readonly services = new Map<ServiceId, ParkedService>();
  private parked = 0;

  constructor(
    private readonly rules: ParkingRules,
    private readonly clock: Clock,
  ) {}

  /** Waits for a turn to try again; false when there is no place, the budget is used up or the caller is gone. */
  async waitForPlace(
    service: ServiceId,
    deadline: Millis,
    signal: AbortSignal,
  ): Promise<boolean> {
    if (this.parked >= this.rules.maxParked) return false;
    this.parked += 1;
    const lot = this.getService(service);
    const remaining = deadline - this.clock.getTime();
    const resumed = await this.waitForTurn(
      service,
      lot,
      Math.min(this.rules.budgetMs, remaining),
      signal,
    );
    this.parked -= 1;
    if (resumed) lot.hasFlight = true;
    this.removeIdle(service, lot);
    return resumed;
  }

  /** Takes note of a free slot of the service. */
  wake(service: ServiceId): void {
    const lot = this.services.get(service);
    if (!lot || lot.hasFlight) return;
    for (const resume of lot.waiting) return resume(true);
  }

  /** Ends the flight of a resumed request; after an answer the next one follows at once. */
  endFlight(service: ServiceId, wasAnswered: boolean): void {
    const lot = this.services.get(service);
    if (!lot) return;
    lot.hasFlight = false;
    if (wasAnswered) this.wake(service);
    this.removeIdle(service, lot);
  }

  private waitForTurn(
    service: ServiceId,
    lot: ParkedService,
    budgetMs: Millis,
    signal: AbortSignal,
  ): Promise<boolean> {
    return new Promise(resolve => {
      const done = new AbortController();
      const end = (resumed: boolean) => {
        if (!lot.waiting.delete(end)) return;
        if (resumed) lot.hasFlight = true;
        done.abort();
        resolve(resumed);
      };
      lot.waiting.add(end);
      signal.addEventListener('abort', () => end(false), {signal: done.signal});
      void this.clock.sleep(budgetMs, done.signal).then(() => end(false));
      void this.runResumes(service, done.signal);
    });
  }

  private async runResumes(
    service: ServiceId,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(this.rules.resumeMs, signal);
      if (!signal.aborted) this.wake(service);
    }
  }

  private getService(service: ServiceId): ParkedService {
    const known = this.services.get(service);
    if (known) return known;
    const lot = {
      waiting: new Set<(resumed: boolean) => void>(),
      hasFlight: false,
    };
    this.services.set(service, lot);
    return lot;
  }

  private removeIdle(service: ServiceId, lot: ParkedService): void {
    if (lot.waiting.size === 0 && !lot.hasFlight) this.services.delete(service);
  }
}
