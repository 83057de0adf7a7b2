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
const readRetryMs: Millis = 250;
// Idle streams get marks, since a stream without a record in the last window is indistinguishable from one that lost
// records.
const marksPerWindow = 8;

/** Request of an entry to claim a key under a claim id that it generated. */
export interface ClaimRequest {
  readonly key: string;
  readonly claim: string;
  readonly print: string;
  /** Longest time that the entry waits for the decision. */
  readonly waitMs: Millis;
}

/**
 * Decision on a claim. Only `granted` permits the request to be sent. If `appended` is set, the claim may be in the
 * log, and the client must release it unless it was granted.
 */
export type ClaimResponse = (
  | {readonly kind: 'granted'}
  | {readonly kind: 'answered'; readonly outcome: KeyOutcome}
  | {readonly kind: 'pending'}
  | {readonly kind: 'mismatch'}
  | {readonly kind: 'undecided'; readonly reason: string}
) & {readonly appended: boolean};

/** Stream, key window and batching of a partition. */
export interface PartitionOptions {
  readonly stream: string;
  readonly windowMs: Millis;
  readonly batch: BatchOptions;
}

interface ClaimWaiter {
  readonly request: ClaimRequest;
  readonly deadline: Millis;
  readonly finish: (decision: ClaimDecision) => void;
}

// Any number of claims may wait for a state change, more than the count at which Node.js warns of a listener leak.
function makeSharedAbortController(): AbortController {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
}

const timeoutDecision: ClaimDecision = {
  kind: 'undecided',
  reason: 'the log did not respond in time',
};

/** Reads one stream `keys-P` continuously and decides claims on its keys. */
export class KeyPartition {
  private readonly reader: KeyStreamReader;
  private readonly batcher: AppendBatcher;
  private readonly waiters = new Map<string, ClaimWaiter>();
  /** Whether the last page read reached the end of the stream. */
  private isCaughtUp = false;
  private state: 'reading' | 'ready' | 'failing' = 'reading';
  private stateChange = makeSharedAbortController();
  /** Time at which a newly appended record was last read. */
  private lastRecordSeenAt = -Infinity;
  private lastMarkAt = -Infinity;
  /** Outcomes not yet in the log. They may be replayed at once, because a replay runs no request. */
  private readonly unwrittenOutcomes = new Map<string, KeyOutcome>();
  private loggedBadRecords = 0;
  private readAfterFailure: Promise<void> | undefined;

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

  /** Reads the stream until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.readNextPage(
          this.state === 'ready' ? longPollMs : 0,
          signal,
        );
      } catch (error) {
        if (signal.aborted) return;
        this.setState('failing');
        this.logger.warn(
          {stream: this.options.stream, error: describeError(error)},
          'reading key log failed',
        );
        await this.clock.sleep(readRetryMs, signal);
      }
    }
  }

  /** Appends a claim, reads it back and decides it; no append is needed if the key is known to be held. */
  async claim(request: ClaimRequest): Promise<ClaimResponse> {
    const deadline = this.clock.getTime() + request.waitMs;
    await this.waitUntilRead(deadline);
    const knownDecision = this.checkKnownHolder(request);
    if (knownDecision) return this.makeResponse(knownDecision, false);
    if (this.state !== 'ready') {
      const reason = 'the log cannot be read, or is not read to its end yet';
      return {kind: 'undecided', reason, appended: false};
    }
    return this.makeResponse(await this.appendClaim(request, deadline), true);
  }

  /** Resolves when the record is in the log. After a LogUnavailableError the record may or may not be in the log. */
  async recordResolution(resolution: ClaimResolution): Promise<void> {
    if (resolution.kind === 'complete')
      this.unwrittenOutcomes.set(resolution.claim, resolution.outcome);
    try {
      // A release frees the key, and a caller may be waiting to claim it again.
      await this.batcher.append(resolution, resolution.kind === 'release');
    } finally {
      this.unwrittenOutcomes.delete(resolution.claim);
    }
  }

  /** Appends a mark if the stream received no record for a fraction of the key window. */
  async appendMarkIfIdle(): Promise<void> {
    const now = this.clock.getTime();
    const idleMs = now - Math.max(this.lastRecordSeenAt, this.lastMarkAt);
    if (this.state !== 'ready') return;
    if (idleMs < this.options.windowMs / marksPerWindow) return;
    this.lastMarkAt = now;
    await this.appendMark(false);
  }

  /** Statistics for tests and benchmarks. */
  getStats() {
    const table = this.reader.getTable();
    return {
      state: this.state,
      keys: table.countKeys(),
      badRecords: table.countBadRecords(),
    };
  }

  private async readNextPage(
    waitMs: Millis,
    signal?: AbortSignal,
  ): Promise<void> {
    const page = await this.reader.readPage(waitMs, signal);
    const {reachedEnd, newRecords, claimIds, truncated} = page;
    // While the reader catches up, the records that it reads may be old.
    if (this.state === 'ready' && newRecords > 0)
      this.lastRecordSeenAt = this.clock.getTime();
    for (const claim of claimIds) this.finishWaiter(claim);
    this.logBadRecords();
    if (truncated) {
      this.logger.error(
        {stream: this.options.stream},
        'key log lost records; refusing keyed requests for one key window',
      );
      await this.appendMark(true);
    }
    this.isCaughtUp = reachedEnd;
    this.setState(reachedEnd ? 'ready' : 'reading');
  }

  private logBadRecords(): void {
    const badRecords = this.reader.getTable().countBadRecords();
    if (badRecords > this.loggedBadRecords) {
      const {stream} = this.options;
      this.logger.warn({stream, badRecords}, 'malformed key records skipped');
    }
    this.loggedBadRecords = badRecords;
  }

  private async appendMark(gap: boolean): Promise<void> {
    await this.batcher
      .append({kind: 'mark', gap}, gap)
      .catch(error =>
        this.logger.warn(
          {error: describeError(error)},
          'appending mark failed',
        ),
      );
  }

  private setState(state: 'reading' | 'ready' | 'failing'): void {
    if (state === this.state) return;
    this.state = state;
    this.stateChange.abort();
    this.stateChange = makeSharedAbortController();
  }

  private async waitUntilRead(deadline: Millis): Promise<void> {
    while (this.state === 'reading') {
      const wait = deadline - this.clock.getTime();
      if (wait <= 0) return;
      await this.clock.sleep(wait, this.stateChange.signal);
    }
  }

  private checkKnownHolder({
    key,
    print,
  }: ClaimRequest): ClaimDecision | undefined {
    // A table that is not up to date may hold a claim whose release it has not read yet.
    if (!this.isCaughtUp) return undefined;
    const table = this.reader.getTable();
    // The log's clock has advanced by at most the local time since its newest record was read.
    const idleMs = this.clock.getTime() - this.lastRecordSeenAt;
    return table.checkKey(key, print, table.getLogTime() + idleMs);
  }

  private appendClaim(
    request: ClaimRequest,
    deadline: Millis,
  ): Promise<ClaimDecision> {
    const {key, claim, print} = request;
    return new Promise(resolve => {
      const waitEnded = new AbortController();
      const finishWait = (decision: ClaimDecision) => {
        this.waiters.delete(claim);
        waitEnded.abort();
        resolve(decision);
      };
      this.waiters.set(claim, {request, deadline, finish: finishWait});
      void this.clock
        .sleep(deadline - this.clock.getTime(), waitEnded.signal)
        .then(() => finishWait(timeoutDecision));
      this.batcher
        .append({kind: 'claim', key, claim, print}, true)
        .catch(error => this.checkFailedAppend(claim, error));
    });
  }

  /** After a failed append, reads the log once more, since the claim may have been recorded. */
  private async checkFailedAppend(
    claim: string,
    error: unknown,
  ): Promise<void> {
    this.readAfterFailure ??= this.readNextPage(0)
      .catch(() => undefined)
      .finally(() => {
        this.readAfterFailure = undefined;
      });
    await this.readAfterFailure;
    const reason = `the claim was not recorded: ${describeError(error)}`;
    this.waiters.get(claim)?.finish({kind: 'undecided', reason});
  }

  private finishWaiter(claim: string): void {
    const waiter = this.waiters.get(claim);
    if (!waiter) return;
    const {key, print} = waiter.request;
    // Past the deadline, such as after a pause of this process, the entry has given up the claim.
    const inTime = this.clock.getTime() < waiter.deadline;
    waiter.finish(
      inTime
        ? this.reader.getTable().checkClaim(key, claim, print)
        : timeoutDecision,
    );
  }

  private async makeResponse(
    decision: ClaimDecision,
    appended: boolean,
  ): Promise<ClaimResponse> {
    if (decision.kind === 'pending') {
      const outcome = this.unwrittenOutcomes.get(decision.claim);
      return outcome
        ? {kind: 'answered', outcome, appended}
        : {kind: 'pending', appended};
    }
    if (decision.kind !== 'answered') return {...decision, appended};
    try {
      const outcome = await this.readOutcome(decision.offset);
      return {kind: 'answered', outcome, appended};
    } catch (error) {
      this.logger.warn({error: describeError(error)}, 'reading outcome failed');
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
      `stream ${this.options.stream} no longer retains the outcome at offset ${offset}; check the retention of the log`,
    );
  }
}
