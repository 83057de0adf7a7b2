import {Clock, Millis} from '../base/index.js';
import {initialCreditBytes} from '../mesh/index.js';

/** Response body bytes that a guard may send to an entry, which extends the credit as its caller takes them. */
export class SendWindow {
  private credit = initialCreditBytes;
  private sent = 0;
  private wakeSender: (() => void) | undefined;
  private pausedMs: Millis = 0;
  private pausedAt: Millis | undefined;

  constructor(private readonly clock: Clock) {}

  /** Time for which the response has waited for its caller, which says nothing about the backend server. */
  getPausedTime(): Millis {
    return this.pausedAt === undefined
      ? this.pausedMs
      : this.pausedMs + this.clock.getTime() - this.pausedAt;
  }

  /** Bytes that may be sent now. */
  getFree(): number {
    return Math.max(0, this.credit - this.sent);
  }

  recordSent(bytes: number): void {
    this.sent += bytes;
  }

  /** Raises the credit to a total; an older, lower one is ignored. */
  setCredit(credit: number): void {
    if (!(credit > this.credit)) return;
    this.credit = credit;
    this.wakeSender?.();
  }

  /** Resolves when bytes may be sent, or when the signal aborts. */
  async waitUntilFree(signal: AbortSignal): Promise<void> {
    if (this.getFree() > 0) return;
    this.pausedAt = this.clock.getTime();
    while (this.getFree() === 0 && !signal.aborted) {
      await new Promise<void>(resolve => {
        const wake = () => {
          signal.removeEventListener('abort', wake);
          resolve();
        };
        this.wakeSender = wake;
        signal.addEventListener('abort', wake);
      });
    }
    this.wakeSender = undefined;
    this.pausedMs = this.getPausedTime();
    this.pausedAt = undefined;
  }
}
