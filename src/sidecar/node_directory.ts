import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {
  asId,
  BackendServerId,
  Clock,
  decodeWith,
  describeError,
  Logger,
  Millis,
  NodeId,
  parseJson,
} from '../base/index.js';
import {Departure} from './backend_tracker.js';
import {KeyedRecord, KeyedStore, StoreEpoch} from './keyed_store.js';
import {StoreMetrics} from './metrics.js';

const minRetryDelayMs: Millis = 200;
const maxRetryDelayMs: Millis = 1500;

/** Record that a node keeps in the store for other nodes and for its own next process. */
export interface DirectoryEntry {
  readonly node: NodeId;
  /** host:port at which the node accepts links. */
  readonly address: string;
  /** Backend process whose shutdown this node has acknowledged. */
  readonly departure?: Departure;
}

const entryCodec = t.intersection([
  t.type({address: t.string}),
  t.partial({departure: t.type({server: t.string, startedAtMs: t.number})}),
]);

/**
 * Directory of all nodes and their addresses in the store. A node writes its record before it reads all others: of two
 * nodes that start at the same time, the later reader finds the other and connects to it.
 */
export class NodeDirectory {
  private own: DirectoryEntry | undefined;
  private hasJoined = false;
  private pendingWrite: Promise<void> = Promise.resolve();
  /** Epoch of the store in which it acknowledged or listed this node's record. */
  private ownEpoch: StoreEpoch | undefined;
  private signal: AbortSignal | undefined;

  constructor(
    private readonly store: KeyedStore,
    private readonly topic: string,
    private readonly metrics: StoreMetrics,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  isJoined(): boolean {
    return this.hasJoined;
  }

  /**
   * Writes this node's record and reads those of all nodes, retrying until both have happened in the same epoch of the
   * store. To be called again when the store was restored from a copy, which may lack records of this and other nodes.
   */
  async join(
    own: DirectoryEntry,
    signal: AbortSignal,
  ): Promise<readonly DirectoryEntry[]> {
    this.own ??= own;
    this.signal = signal;
    let retryDelayMs = minRetryDelayMs;
    for (;;) {
      try {
        const entries = await this.joinOnce(this.own, signal);
        if (entries) return entries;
      } catch (error) {
        if (signal.aborted) return [];
        this.logger.warn(
          {error: describeError(error)},
          'cannot join the fleet yet, retrying; peers may still connect to this node',
        );
        await this.clock.sleep(retryDelayMs, signal);
        retryDelayMs = Math.min(maxRetryDelayMs, retryDelayMs * 2);
      }
    }
  }

  /** Reads all records, after this node's own is stored; returns undefined if the store was restored in between. */
  private async joinOnce(
    own: DirectoryEntry,
    signal: AbortSignal,
  ): Promise<readonly DirectoryEntry[] | undefined> {
    const before = await this.read(signal);
    const stored = before.entries.find(({node}) => node === own.node);
    this.own = {...stored, ...own, ...this.own};
    const isKnown =
      stored?.address === own.address &&
      isSameDeparture(stored.departure, this.own.departure);
    if (isKnown) this.ownEpoch = before.epoch;
    else await this.write();
    const {entries, epoch} = isKnown ? before : await this.read(signal);
    if (epoch !== this.ownEpoch) return undefined;
    this.hasJoined = true;
    this.logger.info(
      {nodes: entries.length, isKnown, epoch},
      'joined the fleet',
    );
    return entries;
  }

  /** Stores the departure of a backend process, so that the next process of this node rejects its late reports. */
  recordDeparture(departure: Departure): Promise<void> {
    const known = this.own?.departure;
    if (!this.own || isSameDeparture(known, departure)) {
      return this.pendingWrite;
    }
    this.own = {...this.own, departure};
    this.pendingWrite = this.pendingWrite.then(() => this.writeUntilStored());
    return this.pendingWrite;
  }

  private async writeUntilStored(): Promise<void> {
    let retryDelayMs = minRetryDelayMs;
    while (!this.signal?.aborted) {
      try {
        return await this.write();
      } catch (error) {
        this.logger.warn(
          {departure: this.own?.departure, error: describeError(error)},
          'departure not stored yet, retrying; peers know it as well',
        );
        await this.clock.sleep(retryDelayMs, this.signal);
        retryDelayMs = Math.min(maxRetryDelayMs, retryDelayMs * 2);
      }
    }
  }

  private async read(signal: AbortSignal): Promise<{
    readonly entries: readonly DirectoryEntry[];
    readonly epoch: StoreEpoch;
  }> {
    this.metrics.calls.inc({call: 'list-nodes', result: 'started'});
    const {records, epoch} = await this.store.listNewest(this.topic, signal);
    const entries = records
      .map(record => this.decode(record))
      .filter(entry => entry !== undefined);
    return {entries, epoch};
  }

  private async write(): Promise<void> {
    if (!this.own) return;
    this.metrics.calls.inc({call: 'put-node', result: 'started'});
    const {node, address, departure} = this.own;
    this.ownEpoch = await this.store.put(
      this.topic,
      node,
      Buffer.from(JSON.stringify({address, departure})),
    );
  }

  private decode({key, value}: KeyedRecord): DirectoryEntry | undefined {
    if (value.length === 0) return undefined;
    const entry = decodeWith(entryCodec, parseJson(value.toString()));
    if (E.isLeft(entry)) {
      this.logger.warn(
        {key, error: describeError(entry.left)},
        'node record ignored: malformed',
      );
      return undefined;
    }
    const {address, departure} = entry.right;
    return {
      node: asId<NodeId>(key),
      address,
      departure: departure && {
        server: asId<BackendServerId>(departure.server),
        startedAtMs: departure.startedAtMs,
      },
    };
  }
}

function isSameDeparture(
  a: Departure | undefined,
  b: Departure | undefined,
): boolean {
  return a?.server === b?.server && a?.startedAtMs === b?.startedAtMs;
}
