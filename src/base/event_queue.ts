import {Clock, Millis} from './clock.js';

/** FIFO queue of events for one task; only one reader may wait at a time. */
export class EventQueue<Event> {
  private readonly events: Event[] = [];
  private wakeReader: (() => void) | undefined;

  constructor(private readonly clock: Clock) {}

  add(event: Event): void {
    this.events.push(event);
    this.wakeReader?.();
  }

  /** Resolves with the next event, or with undefined if none is added before the point in time. */
  async receive(until: Millis): Promise<Event | undefined> {
    if (this.events.length === 0) {
      const timeoutMs = until - this.clock.getTime();
      if (timeoutMs > 0) {
        await new Promise<void>(resolve => {
          const timer = this.clock.startTimer(timeoutMs, resolve);
          this.wakeReader = () => {
            timer.cancel();
            resolve();
          };
        });
        this.wakeReader = undefined;
      }
    }
    return this.events.shift();
  }
}
