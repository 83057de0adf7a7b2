import * as E from 'fp-ts/lib/Either.js';
import {
  Clock,
  describeError,
  Logger,
  Millis,
  Random,
  ServiceId,
} from '../base/index.js';
import {KeyedRecord, KeyedStore, StoreEpoch} from './keyed_store.js';
import {StoreMetrics} from './metrics.js';
import {Routing} from './routing.js';

/**
 * Longest wait of a poll. Connections may go silent without a reset, those to the store and those to other nodes together,
 * and the end of its own poll is all that shows it to a node: the wait, its margin, the pause after an update and a new
 * listing together stay below the 2 s within which a change must be in force. Each node polls as often in a fleet of any
 * size.
 */
const maxPollWaitMs: Millis = 1150;
/** Shortest wait, as a fraction of the longest; the spread keeps nodes that a change woke together from polling in step. */
const minPollWaitFraction = 0.9;
/** Pause after an update, so that changes in quick succession are read together. */
const coalesceDelayMs: Millis = 250;
/**
 * Times at which the newest records are listed again after the node lost its place in the history: listings may lag behind
 * by seconds after the platform dropped it, and a change that was made meanwhile is in no page that can still be read.
 */
const relistDelaysMs: readonly Millis[] = [4000, 6500];
const minRetryDelayMs: Millis = 200;
const maxRetryDelayMs: Millis = 1000;

/** A peer's newer configuration is requested if the store has not delivered it within this time. */
const routingRequestDelayMs: Millis = 400;

/** Time for a peer to answer such a request before another peer is asked. */
const routingRequestTimeoutMs: Millis = 800;

/** Where to go on reading, and the epoch of the store in which that offset is valid. */
interface Position {
  readonly offset: number;
  readonly epoch: StoreEpoch;
}

/** Location and format of the operator's configuration in the store. */
export interface RoutingSource {
  readonly topic: string;
  readonly key: string;
  decode(document: Buffer): E.Either<Error, Routing>;
}

/** Follows the operator's configuration in the store; never replaces the version in force by an older one. */
export class RoutingFollower {
  private routing: Routing | undefined;
  private document: Buffer | undefined;
  private isReachable = true;
  private pollController = new AbortController();
  /** Times at which the newest records are to be listed again; increasing. */
  private relistTimes: readonly Millis[] = [];
  private epoch: StoreEpoch | undefined;
  /** Newest version that a peer has in force. */
  private peerVersion = -1;
  private lastRequestAt = -Infinity;

  constructor(
    private readonly store: KeyedStore,
    private readonly source: RoutingSource,
    private readonly onChange: (routing: Routing) => void,
    /** Called when the store has come back from an older copy. */
    private readonly onStoreRestored: () => void,
    private readonly metrics: StoreMetrics,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {}

  get(): Routing | undefined {
    return this.routing;
  }

  /** Whether the version in force contains a service; undefined while there is no configuration. */
  hasService(service: ServiceId): boolean | undefined {
    return this.routing?.services.has(service);
  }

  /** Encoded document of the version in force, for sending to peers. */
  getDocument(): Buffer | undefined {
    return this.document;
  }

  getVersion(): number {
    return this.routing?.version ?? -1;
  }

  /** Applies a document from the store or a peer, which `from` names in logs. Returns whether it came into force. */
  applyDocument(document: Buffer, from: string): boolean {
    const decoded = this.source.decode(document);
    if (E.isLeft(decoded)) {
      this.logger.warn(
        {from, error: decoded.left.message, inForce: this.getVersion()},
        'configuration ignored: malformed',
      );
      return false;
    }
    const {version} = decoded.right;
    if (version <= this.getVersion()) {
      if (version < this.getVersion()) {
        this.logger.warn(
          {from, version, inForce: this.getVersion()},
          'configuration ignored: older than the one in force',
        );
      }
      return false;
    }
    const before = this.getVersion();
    this.routing = decoded.right;
    this.document = document;
    this.logger.info({from, version, before}, 'configuration in force');
    this.onChange(decoded.right);
    return true;
  }

  /** Whether a peer has a newer version in force; a store that was restored from a copy may not have it. */
  isBehindPeers(): boolean {
    return this.peerVersion > this.getVersion();
  }

  /** Requests the configuration from a peer that has a newer version, unless the store or another peer delivers it. */
  onPeerVersion(version: number, request: (above: number) => void): void {
    if (version <= this.getVersion()) return;
    this.peerVersion = Math.max(this.peerVersion, version);
    this.clock.startTimer(routingRequestDelayMs, () => {
      if (version <= this.getVersion()) return;
      const now = this.clock.getTime();
      if (now - this.lastRequestAt < routingRequestTimeoutMs) {
        return this.onPeerVersion(version, request);
      }
      this.lastRequestAt = now;
      request(this.getVersion());
    });
  }

  /** Restarts the poll at once, because a peer has a newer version. */
  restartPoll(): void {
    this.pollController.abort();
  }

  /** Follows the store until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let from: Position | undefined;
    let retryDelayMs = minRetryDelayMs;
    let gapDelayMs: Millis = 0;
    let hasListed = false;
    while (!signal.aborted) {
      this.pollController = new AbortController();
      const stopSignal = AbortSignal.any([signal, this.pollController.signal]);
      try {
        if (from === undefined) {
          from = await this.readNewest(stopSignal);
          // A node that starts also gets the newest version from its peers.
          if (hasListed) this.scheduleRelists();
          hasListed = true;
        } else if (this.claimRelist()) {
          // Following goes on where it was: the end offset of this listing may be past records not yet read.
          await this.readNewest(stopSignal);
        } else {
          from = await this.readNext(from, stopSignal);
          // A listing that is itself behind the history leads into the same gap again.
          if (from === undefined) await this.clock.sleep(gapDelayMs, signal);
          gapDelayMs =
            from === undefined
              ? Math.min(maxRetryDelayMs, gapDelayMs * 2 + minRetryDelayMs)
              : 0;
        }
        this.recordReachability(true);
        retryDelayMs = minRetryDelayMs;
      } catch (error) {
        // An aborted poll does not show that the store is unreachable.
        if (this.pollController.signal.aborted) {
          from = undefined;
          continue;
        }
        this.recordReachability(false, describeError(error));
        // A poll that fails first may only show a dead connection; a new one is tried at once.
        if (from === undefined) {
          await this.clock.sleep(retryDelayMs, signal);
          retryDelayMs = Math.min(maxRetryDelayMs, retryDelayMs * 2);
        }
        from = undefined;
      }
    }
  }

  private async readNewest(signal: AbortSignal): Promise<Position> {
    const {records, end, epoch} = await this.countCall('newest', () =>
      this.store.listNewest(this.source.topic, signal),
    );
    this.applyRecords(records);
    this.recordEpoch(epoch);
    return {offset: end, epoch};
  }

  private async readNext(
    {offset, epoch}: Position,
    signal: AbortSignal,
  ): Promise<Position | undefined> {
    const page = await this.countCall('follow', () =>
      this.store.follow(
        this.source.topic,
        offset,
        this.choosePollWait(),
        signal,
      ),
    );
    if (!page) {
      this.logger.warn(
        {offset},
        'offset no longer retained in the store; reading the newest records',
      );
      return undefined;
    }
    if (page.malformed > 0) {
      this.logger.warn(
        {malformed: page.malformed},
        'malformed store records skipped',
      );
    }
    this.applyRecords(page.records);
    this.recordEpoch(page.epoch);
    // The offset was given out again: what was written before it since the restore is in no page that follows.
    if (page.epoch !== epoch) return undefined;
    if (page.records.length > 0)
      await this.clock.sleep(coalesceDelayMs, signal);
    return {offset: page.end, epoch};
  }

  private recordEpoch(epoch: StoreEpoch): void {
    if (epoch === this.epoch) return;
    const before = this.epoch;
    this.epoch = epoch;
    // The first answer names the epoch in which this process starts.
    if (before === undefined) return;
    this.logger.warn(
      {epoch, before, inForce: this.getVersion()},
      'platform store restored from an older copy',
    );
    this.onStoreRestored();
  }

  private choosePollWait(): Millis {
    const fraction =
      minPollWaitFraction + (1 - minPollWaitFraction) * this.random();
    const untilRelistMs =
      (this.relistTimes.at(0) ?? Infinity) - this.clock.getTime();
    return Math.round(
      Math.max(0, Math.min(maxPollWaitMs * fraction, untilRelistMs)),
    );
  }

  private scheduleRelists(): void {
    const now = this.clock.getTime();
    this.relistTimes = relistDelaysMs.map(delayMs => now + delayMs);
  }

  /** Whether a further listing is due; it then counts as done. */
  private claimRelist(): boolean {
    const now = this.clock.getTime();
    const isDue = now >= (this.relistTimes.at(0) ?? Infinity);
    if (isDue) this.relistTimes = this.relistTimes.filter(time => time > now);
    return isDue;
  }

  private applyRecords(records: readonly KeyedRecord[]): void {
    for (const {key, value} of records) {
      if (key === this.source.key && value.length > 0) {
        this.applyDocument(value, 'store');
      }
    }
  }

  private async countCall<A>(call: string, run: () => Promise<A>): Promise<A> {
    try {
      const value = await run();
      this.metrics.calls.inc({call, result: 'ok'});
      return value;
    } catch (error) {
      this.metrics.calls.inc({call, result: 'failed'});
      throw error;
    }
  }

  private recordReachability(isReachable: boolean, error?: string): void {
    if (isReachable === this.isReachable) return;
    this.isReachable = isReachable;
    if (isReachable) this.logger.info('platform store reached again');
    else this.logger.warn({error}, 'platform store lost; going on as it was');
  }
}
