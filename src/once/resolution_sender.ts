import {Clock, describeError, Logger, Millis, runEvery} from '../base/index.js';
import {ClaimResolution} from './record.js';

const retryMs: Millis = 1000;
// At 4 KiB of body each, 2,000 outcomes take about 11 MB; one entry sees one keyed request a second.
const maxWaiting = 2000;
const retriesAtOnce = 32;

interface Waiting {
  readonly end: ClaimResolution;
  readonly until: Millis;
}

/** Delivers the ends of claims, in the background and repeatedly until the log has them. */
export class ResolutionSender {
  private readonly waiting = new Map<string, Waiting>();
  private readonly sending = new Set<Promise<void>>();
  private dropped = 0;

  /** `deliver` resolves when the log has the record. After `keepMs` a record is given up. */
  constructor(
    private readonly deliver: (end: ClaimResolution) => Promise<void>,
    private readonly keepMs: Millis,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Retries until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await runEvery(this.clock, retryMs, signal, async () => {
      const batch = [...this.waiting.values()].slice(0, retriesAtOnce);
      await Promise.all(batch.map(waiting => this.send(waiting)));
    });
  }

  add(end: ClaimResolution): void {
    const sent = this.send({end, until: this.clock.getTime() + this.keepMs});
    this.sending.add(sent);
    void sent.finally(() => this.sending.delete(sent));
  }

  /** Resolves when each record was tried once. */
  async waitForFirstAttempts(): Promise<void> {
    await Promise.all(this.sending);
  }

  countUnsent(): number {
    return this.waiting.size;
  }

  /** Records given up; their keys stay pending until the window ends. */
  countDropped(): number {
    return this.dropped;
  }

  private async send(waiting: Waiting): Promise<void> {
    const {claim} = waiting.end;
    try {
      await this.deliver(waiting.end);
      this.waiting.delete(claim);
    } catch (error) {
      this.scheduleRetry(waiting, describeError(error));
    }
  }

  private scheduleRetry(waiting: Waiting, error: string): void {
    const {claim, kind} = waiting.end;
    const isLate = this.clock.getTime() >= waiting.until;
    const isFull = this.waiting.size >= maxWaiting && !this.waiting.has(claim);
    // Set anew at the end, so that each retry round takes others.
    this.waiting.delete(claim);
    if (!isLate && !isFull) {
      this.waiting.set(claim, waiting);
      return;
    }
    this.dropped += 1;
    this.logger.warn({claim, kind, error}, 'end of a claim given up');
  }
}
