import {Millis} from '../base/index.js';
import {LogClient, LogPage} from '../logservice/index.js';
import {KeyTable} from './key_table.js';

const pageSize = 1000;
// The binary search for the start offset ends at this many records; they are read instead of narrowed down further.
const minProbeRange = 2 * pageSize;

/** Result of reading one page of the stream. */
export interface PageResult {
  /** Whether the end of the stream was reached. */
  readonly reachedEnd: boolean;
  /** Number of records that were not in the table before. */
  readonly newRecords: number;
  /** Ids of the claims among the new records. */
  readonly claimIds: readonly string[];
  /** The stream now ends before the position already read: the log lost records. */
  readonly truncated: boolean;
}

const emptyPage = {reachedEnd: false, newRecords: 0, claimIds: []};

/** Reads one stream `keys-P` into a KeyTable, starting one key window before its end. */
export class KeyStreamReader {
  private table: KeyTable;
  private nextOffset = -1;
  /** Incremented at each reset, so that the results of reads that began earlier are discarded. */
  private epoch = 0;

  constructor(
    private readonly stream: string,
    private readonly log: Pick<LogClient, 'read'>,
    private readonly windowMs: Millis,
  ) {
    this.table = new KeyTable(windowMs, undefined);
  }

  getTable(): KeyTable {
    return this.table;
  }

  /** Reads one page and applies its records; concurrent reads are allowed. Throws LogUnavailableError. */
  async readPage(waitMs: Millis, signal?: AbortSignal): Promise<PageResult> {
    if (this.nextOffset < 0) await this.findStartOffset(signal);
    const {nextOffset, epoch} = this;
    const page = await this.log.read(
      this.stream,
      nextOffset,
      pageSize,
      waitMs,
      signal,
    );
    if (epoch !== this.epoch) return {...emptyPage, truncated: false};
    if (page.nextOffset < nextOffset) {
      this.reset(0);
      return {...emptyPage, truncated: true};
    }
    if (page.firstOffset > this.nextOffset) this.reset(page.firstOffset);
    return this.applyPage(page);
  }

  private applyPage(page: LogPage): PageResult {
    const claimIds: string[] = [];
    let newRecords = 0;
    for (const record of page.records) {
      if (record.offset < this.nextOffset) continue;
      const applied = this.table.apply(record);
      if (applied?.kind === 'claim') claimIds.push(applied.claim);
      this.nextOffset = record.offset + 1;
      newRecords += 1;
    }
    const reachedEnd = this.nextOffset >= page.nextOffset;
    return {
      reachedEnd,
      newRecords,
      claimIds,
      truncated: false,
    };
  }

  /** Starts over with an empty table, which does not cover the lost records. */
  private reset(nextOffset: number): void {
    this.epoch += 1;
    this.nextOffset = nextOffset;
    this.table = new KeyTable(this.windowMs, undefined);
  }

  /** Finds by binary search an offset at least one window older than the newest record, or the oldest retained one. */
  private async findStartOffset(signal?: AbortSignal): Promise<void> {
    const oldestPage = await this.log.read(this.stream, 0, 1, 0, signal);
    const first = oldestPage.records[0];
    const retainsAllRecords = oldestPage.firstOffset === 0;
    if (!first) {
      this.startAt(
        oldestPage.nextOffset,
        retainsAllRecords ? -Infinity : undefined,
      );
      return;
    }
    let high = oldestPage.nextOffset - 1;
    const newest = await this.readRecord(high, signal);
    const windowStartMs = (newest ?? first).atMs - this.windowMs;
    if (first.atMs > windowStartMs) {
      this.startAt(first.offset, retainsAllRecords ? -Infinity : first.atMs);
      return;
    }
    let low = first;
    while (high - low.offset > minProbeRange) {
      const middle = Math.floor((low.offset + high) / 2);
      const probe = await this.readRecord(middle, signal);
      if (probe && probe.atMs <= windowStartMs) low = probe;
      else high = middle;
    }
    this.startAt(low.offset, low.atMs);
  }

  private startAt(nextOffset: number, coveredSince: Millis | undefined): void {
    if (this.nextOffset >= 0) return;
    this.nextOffset = nextOffset;
    this.table = new KeyTable(this.windowMs, coveredSince);
  }

  private async readRecord(offset: number, signal?: AbortSignal) {
    const page = await this.log.read(this.stream, offset, 1, 0, signal);
    return page.records[0];
  }
}
