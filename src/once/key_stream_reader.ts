import {Millis} from '../base/index.js';
import {LogClient, LogPage} from '../logservice/index.js';
import {KeyTable} from './key_table.js';

const pageSize = 1000;
// Fewer records than this are read rather than skipped by further probes.
const probeStop = 2 * pageSize;

/** What a page brought; `whole` tells that the end of the stream was reached. */
export interface PageResult {
  readonly reachedEnd: boolean;
  /** Number of records that were new to the fold. */
  readonly newRecords: number;
  /** Claim ids of the page. */
  readonly claimIds: readonly string[];
  /** The log has less than was read before: it lost records. */
  readonly truncated: boolean;
}

const nothing = {reachedEnd: false, newRecords: 0, claimIds: []};

/** Reads one stream `keys-P` into a fold, from one window before its end. */
export class KeyStreamReader {
  private table: KeyTable;
  private next = -1;
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

  /** Reads and folds one page; reads may overlap. Throws LogUnavailableError. */
  async readPage(waitMs: Millis, signal?: AbortSignal): Promise<PageResult> {
    if (this.next < 0) await this.findStart(signal);
    const {next, epoch} = this;
    const page = await this.log.read(
      this.stream,
      next,
      pageSize,
      waitMs,
      signal,
    );
    if (epoch !== this.epoch) return {...nothing, truncated: false};
    if (page.nextOffset < next) {
      this.reset(0);
      return {...nothing, truncated: true};
    }
    if (page.firstOffset > this.next) this.reset(page.firstOffset);
    return this.foldPage(page);
  }

  private foldPage(page: LogPage): PageResult {
    const claims: string[] = [];
    let fresh = 0;
    for (const record of page.records) {
      if (record.offset < this.next) continue;
      const applied = this.table.apply(record);
      if (applied?.kind === 'claim') claims.push(applied.claim);
      this.next = record.offset + 1;
      fresh += 1;
    }
    const whole = this.next >= page.nextOffset;
    return {
      reachedEnd: whole,
      newRecords: fresh,
      claimIds: claims,
      truncated: false,
    };
  }

  /** Forgets everything; what was lost is not covered. */
  private reset(next: number): void {
    this.epoch += 1;
    this.next = next;
    this.table = new KeyTable(this.windowMs, undefined);
  }

  /** Finds the newest offset that is at least one window older than the end of the stream. */
  private async findStart(signal?: AbortSignal): Promise<void> {
    const head = await this.log.read(this.stream, 0, 1, 0, signal);
    const first = head.records[0];
    const isComplete = head.firstOffset === 0;
    if (!first) {
      this.startAt(head.nextOffset, isComplete ? -Infinity : undefined);
      return;
    }
    let high = head.nextOffset - 1;
    const newest = await this.readOne(high, signal);
    const oldestMs = (newest ?? first).atMs - this.windowMs;
    if (first.atMs > oldestMs) {
      this.startAt(first.offset, isComplete ? -Infinity : first.atMs);
      return;
    }
    let low = first;
    while (high - low.offset > probeStop) {
      const middle = Math.floor((low.offset + high) / 2);
      const probe = await this.readOne(middle, signal);
      if (probe && probe.atMs <= oldestMs) low = probe;
      else high = middle;
    }
    this.startAt(low.offset, low.atMs);
  }

  private startAt(next: number, coveredSince: Millis | undefined): void {
    if (this.next >= 0) return;
    this.next = next;
    this.table = new KeyTable(this.windowMs, coveredSince);
  }

  private async readOne(offset: number, signal?: AbortSignal) {
    const page = await this.log.read(this.stream, offset, 1, 0, signal);
    return page.records[0];
  }
}
