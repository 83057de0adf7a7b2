import {Clock, describeError, Logger, Millis, runEvery} from '../base/index.js';
import {ClaimResolution} from './record.js';

const retryIntervalMs: Millis = 1000;
// 2,000 outcomes with a body of 4 KiB each take about 11 MB. An entry receives about one keyed request per second.
const maxUnsent = 2000;
const maxConcurrentRetries = 32;

interface UnsentResolution {
  readonly resolution: ClaimResolution;
  readonly giveUpAt: Millis;
}

/** Sends claim resolutions in the background and retries them until the log has recorded them. */
export class ResolutionSender {
  private readonly unsent = new Map<string, UnsentResolution>();
  private readonly firstAttempts = new Set<Promise<void>>();
  private dropped = 0;

  /** `deliver` resolves when the log has the record. A record is dropped after `giveUpAfterMs`. */
  constructor(
    private readonly deliver: (resolution: ClaimResolution) => Promise<void>,
    private readonly giveUpAfterMs: Millis,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Retries failed records until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await runEvery(this.clock, retryIntervalMs, signal, async () => {
      const batch = [...this.unsent.values()].slice(0, maxConcurrentRetries);
      await Promise.all(batch.map(entry => this.send(entry)));
    });
  }

  add(resolution: ClaimResolution): void {
    const sent = this.send({
      resolution,
      giveUpAt: this.clock.getTime() + this.giveUpAfterMs,
    });
    this.firstAttempts.add(sent);
    void sent.finally(() => this.firstAttempts.delete(sent));
  }

  /** Resolves when one attempt was made to deliver each record. */
  async waitForFirstAttempts(): Promise<void> {
    await Promise.all(this.firstAttempts);
  }

  countUnsent(): number {
    return this.unsent.size;
  }

  /** Number of records dropped; their keys stay pending until the claims expire. */
  countDropped(): number {
    return this.dropped;
  }

  private async send(unsent: UnsentResolution): Promise<void> {
    const {claim} = unsent.resolution;
    try {
      await this.deliver(unsent.resolution);
      this.unsent.delete(claim);
    } catch (error) {
      this.scheduleRetry(unsent, describeError(error));
    }
  }

  private scheduleRetry(unsent: UnsentResolution, error: string): void {
    const {claim, kind} = unsent.resolution;
    const isExpired = this.clock.getTime() >= unsent.giveUpAt;
    const isFull = this.unsent.size >= maxUnsent && !this.unsent.has(claim);
    // Reinserted at the end of the map, so that each round retries other records.
    this.unsent.delete(claim);
    if (!isExpired && !isFull) {
      this.unsent.set(claim, unsent);
      return;
    }
    this.dropped += 1;
    this.logger.warn({claim, kind, error}, 'claim resolution dropped');
  }
}
