import {Clock, Millis} from '../base/index.js';
import {LogClient} from '../logservice/index.js';
import {KeyRecord} from './record.js';

/** Limits for batches of appended records. */
export interface BatchOptions {
  /** Minimum time between the starts of two appends to one stream. */
  readonly minIntervalMs: Millis;
  /** Longest delay of a record that is not urgent (no caller waits for it), so that it shares an append with others. */
  readonly lingerMs: Millis;
  readonly maxRecords: number;
}

/**
 * Limits that keep the appends within the rate of the log: 32 streams with 12 keyed requests/s each produce 390 claims/s
 * and as many outcomes, while the log accepts several hundred appends/s; docs/keys.md lists its rates.
 */
export const defaultBatchOptions: BatchOptions = {
  minIntervalMs: 25,
  lingerMs: 500,
  maxRecords: 500,
};

interface QueuedRecord {
  readonly record: KeyRecord;
  readonly urgent: boolean;
  readonly queuedAt: Millis;
  readonly resolve: () => void;
  readonly reject: (error: unknown) => void;
}

/** Appends records to one stream in batches, one append at a time, each with all queued records up to the limit. */
export class AppendBatcher {
  private queue: readonly QueuedRecord[] = [];
  private running = false;
  private lastAppendAt = -Infinity;
  private sleepAbort = new AbortController();

  constructor(
    private readonly stream: string,
    private readonly log: Pick<LogClient, 'append'>,
    private readonly options: BatchOptions,
    private readonly clock: Clock,
  ) {}

  /** Resolves when the record is in the log. After a LogUnavailableError the record may or may not be in the log. */
  append(record: KeyRecord, urgent: boolean): Promise<void> {
    return new Promise((resolve, reject) => {
      const queuedAt = this.clock.getTime();
      this.queue = [...this.queue, {record, urgent, queuedAt, resolve, reject}];
      if (urgent) this.sleepAbort.abort();
      if (!this.running) void this.run();
    });
  }

  private async run(): Promise<void> {
    this.running = true;
    while (this.queue.length > 0) {
      const wait = this.computeNextAppendTime() - this.clock.getTime();
      if (wait > 0) {
        this.sleepAbort = new AbortController();
        await this.clock.sleep(wait, this.sleepAbort.signal);
      } else {
        await this.appendBatch();
      }
    }
    this.running = false;
  }

  private computeNextAppendTime(): Millis {
    const earliest = this.lastAppendAt + this.options.minIntervalMs;
    if (this.queue.some(queued => queued.urgent)) return earliest;
    return Math.max(earliest, this.queue[0].queuedAt + this.options.lingerMs);
  }

  private async appendBatch(): Promise<void> {
    const batch = this.queue.slice(0, this.options.maxRecords);
    this.queue = this.queue.slice(batch.length);
    this.lastAppendAt = this.clock.getTime();
    try {
      await this.log.append(
        this.stream,
        batch.map(({record}) => record),
      );
      for (const {resolve} of batch) resolve();
    } catch (error) {
      for (const {reject} of batch) reject(error);
    }
  }
}
