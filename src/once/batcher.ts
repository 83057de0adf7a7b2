import {Clock, Millis} from '../base/index.js';
import {LogClient} from '../logservice/index.js';
import {KeyRecord} from './record.js';

/** How appends are grouped. */
export interface BatchOptions {
  /** Least time between the starts of two appends to one stream. */
  readonly minIntervalMs: Millis;
  /** Longest time that a record that nobody waits for is held back to go along with others. */
  readonly lingerMs: Millis;
  readonly maxRecords: number;
}

/**
 * 32 streams with 12 keyed requests/s each make 390 claims/s and as many outcomes; the log takes several hundred
 * appends/s. docs/keys.md has the measured rates.
 */
export const defaultBatchOptions: BatchOptions = {
  minIntervalMs: 25,
  lingerMs: 500,
  maxRecords: 500,
};

interface Queued {
  readonly record: KeyRecord;
  readonly urgent: boolean;
  readonly at: Millis;
  readonly resolve: () => void;
  readonly reject: (error: unknown) => void;
}

/** Appends to one stream, one append at a time, each with all records that wait. */
export class AppendBatcher {
  private queue: readonly Queued[] = [];
  private running = false;
  private startedAt = -Infinity;
  private pause = new AbortController();

  constructor(
    private readonly stream: string,
    private readonly log: Pick<LogClient, 'append'>,
    private readonly options: BatchOptions,
    private readonly clock: Clock,
  ) {}

  /** Resolves when the record is in the log; a LogUnavailableError leaves open whether it is. */
  append(record: KeyRecord, urgent: boolean): Promise<void> {
    return new Promise((resolve, reject) => {
      const at = this.clock.getTime();
      this.queue = [...this.queue, {record, urgent, at, resolve, reject}];
      if (urgent) this.pause.abort();
      if (!this.running) void this.run();
    });
  }

  private async run(): Promise<void> {
    this.running = true;
    while (this.queue.length > 0) {
      const wait = this.computeStart() - this.clock.getTime();
      if (wait > 0) {
        this.pause = new AbortController();
        await this.clock.sleep(wait, this.pause.signal);
      } else {
        await this.appendBatch();
      }
    }
    this.running = false;
  }

  private computeStart(): Millis {
    const earliest = this.startedAt + this.options.minIntervalMs;
    if (this.queue.some(queued => queued.urgent)) return earliest;
    return Math.max(earliest, this.queue[0].at + this.options.lingerMs);
  }

  private async appendBatch(): Promise<void> {
    const batch = this.queue.slice(0, this.options.maxRecords);
    this.queue = this.queue.slice(batch.length);
    this.startedAt = this.clock.getTime();
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
