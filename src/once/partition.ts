import {setMaxListeners} from 'node:events';
import {
  Clock,
  describeError,
  LogUnavailableError,
  Logger,
  Millis,
} from '../base/index.js';
import {LogClient} from '../logservice/index.js';
import {AppendBatcher, BatchOptions} from './batcher.js';
import {KeyStreamReader} from './key_stream_reader.js';
import {ClaimDecision} from './key_table.js';
import {ClaimResolution, KeyOutcome, keyRecordCodec} from './record.js';

const longPollMs: Millis = 10_000;
const retryMs: Millis = 250;
// A stream whose newest record is older than the window cannot be told from one that lost records.
const marksPerWindow = 8;

/** A request for a key, by the entry that made the claim id. */
export interface ClaimRequest {
  readonly key: string;
  readonly claim: string;
  readonly print: string;
  /** The entry waits no longer than this for the decision. */
  readonly waitMs: Millis;
}

/**
 * Decision on a claim. Only `granted` permits the request. `appended` tells that the claim may be in the log, so
 * that its client has to release it unless it was granted.
 */
export type ClaimResponse = (
  | {readonly kind: 'granted'}
  | {readonly kind: 'answered'; readonly outcome: KeyOutcome}
  | {readonly kind: 'pending'}
  | {readonly kind: 'mismatch'}
  | {readonly kind: 'undecided'; readonly reason: string}
) & {readonly appended: boolean};

/** How a partition is kept. */
export interface PartitionOptions {
  readonly stream: string;
  readonly windowMs: Millis;
  readonly batch: BatchOptions;
}

interface Waiter {
  readonly request: ClaimRequest;
  readonly deadline: Millis;
  readonly finish: (verdict: ClaimDecision) => void;
}

// Any number of claims wait while a partition is read, beyond the count at which Node.js warns of a leak.
function makeBroadcast(): AbortController {
  const broadcast = new AbortController();
  setMaxListeners(0, broadcast.signal);
  return broadcast;
}

const late: ClaimDecision = {
  kind: 'undecided',
  reason: 'the log did not answer in time',
};

/** Follows one stream `keys-P` and decides claims on its keys. */
export class KeyPartition {
  private readonly reader: KeyStreamReader;
  private readonly batcher: AppendBatcher;
  private readonly waiters = new Map<string, Waiter>();
  /** Whether the fold reached the end of the stream and has not lost it since. */
  private isWhole = false;
  private state: 'reading' | 'ready' | 'failing' = 'reading';
  private stateChange = makeBroadcast();
  /** When a record that had just been appended was last seen. */
  private seenAt = -Infinity;
  private markedAt = -Infinity;
  /** Outcomes on their way to the log; a replay of one runs nothing, so it need not wait. */
  private readonly outcomes = new Map<string, KeyOutcome>();
  private badReported = 0;
  private recheck: Promise<void> | undefined;

  constructor(
    private readonly options: PartitionOptions,
    private readonly log: LogClient,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    const {stream, windowMs, batch} = options;
    this.reader = new KeyStreamReader(stream, log, windowMs);
    this.batcher = new AppendBatcher(stream, log, batch, clock);
  }

  /** Follows the stream until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.readOnce(this.state === 'ready' ? longPollMs : 0, signal);
      } catch (error) {
        if (signal.aborted) return;
        this.setState('failing');
        this.logger.warn(
          {stream: this.options.stream, error: describeError(error)},
          'key log not read',
        );
        await this.clock.sleep(retryMs, signal);
      }
    }
  }

  /** Appends a claim, reads it back and decides it; answers at once if the key is known to be held. */
  async claim(request: ClaimRequest): Promise<ClaimResponse> {
    const deadline = this.clock.getTime() + request.waitMs;
    await this.waitUntilRead(deadline);
    const known = this.judgeKnown(request);
    if (known) return this.answer(known, false);
    if (this.state !== 'ready') {
      const reason = 'the log cannot be read, or not yet';
      return {kind: 'undecided', reason, appended: false};
    }
    return this.answer(await this.appendClaim(request, deadline), true);
  }

  /** Resolves when the end of a claim is in the log; a LogUnavailableError leaves open whether it is. */
  async record(end: ClaimResolution): Promise<void> {
    if (end.kind === 'complete') this.outcomes.set(end.claim, end.outcome);
    try {
      // A release lets the key be claimed again, a caller may wait for that.
      await this.batcher.append(end, end.kind === 'release');
    } finally {
      this.outcomes.delete(end.claim);
    }
  }

  /** Appends a mark if the stream was quiet for long. */
  async appendMarkIfQuiet(): Promise<void> {
    const now = this.clock.getTime();
    const quietMs = now - Math.max(this.seenAt, this.markedAt);
    if (this.state !== 'ready') return;
    if (quietMs < this.options.windowMs / marksPerWindow) return;
    this.markedAt = now;
    await this.appendMark(false);
  }

  /** Figures for logs and measurements. */
  getStats() {
    const table = this.reader.getTable();
    return {
      state: this.state,
      keys: table.countKeys(),
      badRecords: table.countBadRecords(),
    };
  }

  private async readOnce(waitMs: Millis, signal?: AbortSignal): Promise<void> {
    const page = await this.reader.readPage(waitMs, signal);
    const {
      reachedEnd: whole,
      newRecords: fresh,
      claimIds: claims,
      truncated: lost,
    } = page;
    // Records read on the way to the end of the stream may be old.
    if (this.state === 'ready' && fresh > 0) this.seenAt = this.clock.getTime();
    for (const claim of claims) this.judgeWaiter(claim);
    this.reportBadRecords();
    if (lost) {
      this.logger.error(
        {stream: this.options.stream},
        'key log lost records; keys are refused for one window',
      );
      await this.appendMark(true);
    }
    this.isWhole = whole;
    this.setState(whole ? 'ready' : 'reading');
  }

  private reportBadRecords(): void {
    const badRecords = this.reader.getTable().countBadRecords();
    if (badRecords > this.badReported) {
      const {stream} = this.options;
      this.logger.warn({stream, badRecords}, 'bad key records skipped');
    }
    this.badReported = badRecords;
  }

  private async appendMark(gap: boolean): Promise<void> {
    await this.batcher
      .append({kind: 'mark', gap}, gap)
      .catch(error =>
        this.logger.warn({error: describeError(error)}, 'mark not appended'),
      );
  }

  private setState(state: 'reading' | 'ready' | 'failing'): void {
    if (state === this.state) return;
    this.state = state;
    this.stateChange.abort();
    this.stateChange = makeBroadcast();
  }

  private async waitUntilRead(deadline: Millis): Promise<void> {
    while (this.state === 'reading') {
      const wait = deadline - this.clock.getTime();
      if (wait <= 0) return;
      await this.clock.sleep(wait, this.stateChange.signal);
    }
  }

  private judgeKnown({key, print}: ClaimRequest): ClaimDecision | undefined {
    // A fold that is not at the end may miss the release of a claim that it has.
    if (!this.isWhole) return undefined;
    const table = this.reader.getTable();
    // Time of the log cannot have passed faster than ours since its newest record was seen here.
    const quietMs = this.clock.getTime() - this.seenAt;
    return table.checkKey(key, print, table.getLogTime() + quietMs);
  }

  private appendClaim(
    request: ClaimRequest,
    deadline: Millis,
  ): Promise<ClaimDecision> {
    const {key, claim, print} = request;
    return new Promise(resolve => {
      const done = new AbortController();
      const endWait = (verdict: ClaimDecision) => {
        this.waiters.delete(claim);
        done.abort();
        resolve(verdict);
      };
      this.waiters.set(claim, {request, deadline, finish: endWait});
      void this.clock
        .sleep(deadline - this.clock.getTime(), done.signal)
        .then(() => endWait(late));
      this.batcher
        .append({kind: 'claim', key, claim, print}, true)
        .catch(error => this.findAppended(claim, error));
    });
  }

  /** After a failed append, looks once whether the claim reached the log. */
  private async findAppended(claim: string, error: unknown): Promise<void> {
    this.recheck ??= this.readOnce(0)
      .catch(() => undefined)
      .finally(() => {
        this.recheck = undefined;
      });
    await this.recheck;
    const reason = `the claim was not recorded: ${describeError(error)}`;
    this.waiters.get(claim)?.finish({kind: 'undecided', reason});
  }

  private judgeWaiter(claim: string): void {
    const waiter = this.waiters.get(claim);
    if (!waiter) return;
    const {key, print} = waiter.request;
    // After a pause of this process the entry has given the claim up.
    const inTime = this.clock.getTime() < waiter.deadline;
    waiter.finish(
      inTime ? this.reader.getTable().checkClaim(key, claim, print) : late,
    );
  }

  private async answer(
    verdict: ClaimDecision,
    appended: boolean,
  ): Promise<ClaimResponse> {
    if (verdict.kind === 'pending') {
      const outcome = this.outcomes.get(verdict.claim);
      return outcome
        ? {kind: 'answered', outcome, appended}
        : {kind: 'pending', appended};
    }
    if (verdict.kind !== 'answered') return {...verdict, appended};
    try {
      const outcome = await this.readOutcome(verdict.offset);
      return {kind: 'answered', outcome, appended};
    } catch (error) {
      this.logger.warn({error: describeError(error)}, 'outcome not read');
      return {kind: 'pending', appended};
    }
  }

  private async readOutcome(offset: number): Promise<KeyOutcome> {
    const page = await this.log.read(this.options.stream, offset, 1);
    const record = page.records[0];
    const value = record?.offset === offset ? record.value : undefined;
    if (keyRecordCodec.is(value) && value.kind === 'complete') {
      return value.outcome;
    }
    throw new LogUnavailableError(
      `stream ${this.options.stream} no longer holds the outcome at offset ${offset}; check the log's retention`,
    );
  }
}
