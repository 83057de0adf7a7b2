import {LogUnavailableError, ManualClock, Millis} from '../base/index.js';
import {LogClient, LogPage, LogRecord} from '../logservice/index.js';

/** In-memory log client; an append that times out still takes effect. */
export class FakeLog implements LogClient {
  down = false;
  delayMs: Millis = 0;
  /** Number of the next appends that take effect but whose reply is lost. */
  loseReplies = 0;
  appends = 0;
  private readonly streams = new Map<string, LogRecord[]>();
  private readonly firstOffsets = new Map<string, number>();
  private readonly wakers = new Set<AbortController>();

  constructor(
    private readonly clock: ManualClock,
    private readonly timeoutMs: Millis = 1000,
  ) {}

  async append(stream: string, values: readonly unknown[]): Promise<number> {
    this.checkUp();
    const {delayMs} = this;
    if (delayMs >= this.timeoutMs) {
      void this.clock
        .sleep(delayMs)
        .then(() => this.addRecords(stream, values));
      await this.clock.sleep(this.timeoutMs);
      throw new LogUnavailableError('timeout');
    }
    if (delayMs > 0) await this.clock.sleep(delayMs);
    const offset = this.addRecords(stream, values);
    if (this.loseReplies > 0) {
      this.loseReplies -= 1;
      throw new LogUnavailableError('reply lost');
    }
    return offset;
  }

  async read(
    stream: string,
    from: number,
    limit: number,
    waitMs: Millis = 0,
    signal?: AbortSignal,
  ): Promise<LogPage> {
    this.checkUp();
    if (this.delayMs > 0) await this.clock.sleep(this.delayMs, signal);
    if (from >= this.getNext(stream) && waitMs > 0) {
      const waker = new AbortController();
      this.wakers.add(waker);
      const signals = signal ? [signal, waker.signal] : [waker.signal];
      await this.clock.sleep(waitMs, AbortSignal.any(signals));
      this.wakers.delete(waker);
    }
    // An aborted read fails even if it has found records.
    if (signal?.aborted) throw new LogUnavailableError('aborted');
    this.checkUp();
    const found = this.listRecords(stream).filter(
      record => record.offset >= from,
    );
    return {
      firstOffset: this.firstOffsets.get(stream) ?? 0,
      nextOffset: this.getNext(stream),
      records: found.slice(0, limit),
    };
  }

  async close(): Promise<void> {}

  listRecords(stream: string): LogRecord[] {
    const known = this.streams.get(stream) ?? [];
    this.streams.set(stream, known);
    return known;
  }

  /** Removes records older than the given time. */
  removeBefore(stream: string, atMs: Millis): void {
    const records = this.listRecords(stream);
    const kept = records.findIndex(record => record.atMs >= atMs);
    const removed = kept < 0 ? records.length : kept;
    const next = this.getNext(stream);
    records.splice(0, removed);
    this.firstOffsets.set(stream, records[0]?.offset ?? next);
  }

  /** Removes all records and offsets, as if the log service were replaced by an empty one. */
  removeAll(stream: string): void {
    this.streams.delete(stream);
    this.firstOffsets.delete(stream);
  }

  private getNext(stream: string): number {
    const first = this.firstOffsets.get(stream) ?? 0;
    const last = this.listRecords(stream).at(-1);
    return last ? last.offset + 1 : first;
  }

  private addRecords(stream: string, values: readonly unknown[]): number {
    const offset = this.getNext(stream);
    const atMs = this.clock.getTime();
    this.appends += 1;
    for (const [i, value] of values.entries()) {
      this.listRecords(stream).push({offset: offset + i, atMs, value});
    }
    for (const waker of this.wakers) waker.abort();
    return offset;
  }

  private checkUp(): void {
    if (this.down) throw new LogUnavailableError('down');
  }
}
