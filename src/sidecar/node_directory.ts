import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {
  asId,
  BackendServerId,
  Clock,
  decodeWith,
  describeError,
  isIpAddress,
  isWholeNumber,
  Logger,
  Millis,
  NodeId,
  parseJson,
} from '../base/index.js';
import {Departure, DepartureState, noDepartures} from './departures.js';
import {KeyedRecord, KeyedStore, StoreEpoch} from './keyed_store.js';
import {StoreMetrics} from './metrics.js';

const minRetryDelayMs: Millis = 200;
const maxRetryDelayMs: Millis = 1500;
const maxNodeIdLength = 200;
/** Interval at which a departure to be stored waits for the first listing. */
const joinPollMs: Millis = 20;

/** Record that a node keeps in the store for other nodes and for its own next process. */
export interface DirectoryEntry {
  readonly node: NodeId;
  /** host:port at which the node accepts links. */
  readonly address: string;
  /** Backend processes of this node's VM that have announced their shutdown. */
  readonly departures?: DepartureState;
}

const departureCodec = t.intersection([
  t.type({server: t.string, startedAtMs: t.number}),
  t.partial({isUpperBound: t.boolean}),
]);
const entryCodec = t.intersection([
  t.type({address: t.string}),
  t.partial({
    departure: t.unknown,
    departures: t.unknown,
  }),
]);

/**
 * Directory of all nodes and their addresses in the store. A node writes its record before it reads all others: of two
 * nodes that start at the same time, the later reader finds the other and connects to it.
 */
export class NodeDirectory {
  private own: DirectoryEntry | undefined;
  private hasJoined = false;
  /** Departures to be stored. */
  private departures: DepartureState = noDepartures;
  private pendingWrite = Promise.resolve(true);
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
      isSameState(stored.departures, this.own.departures);
    if (isKnown) this.ownEpoch = before.epoch;
    else await this.write(this.own);
    const {entries, epoch} = isKnown ? before : await this.read(signal);
    if (epoch !== this.ownEpoch) return undefined;
    this.hasJoined = true;
    this.logger.info(
      {nodes: entries.length, isKnown, epoch},
      'joined the fleet',
    );
    return entries;
  }

  /** Departures of this node's VM that the store has, as far as they were listed or written. */
  getDepartures(): DepartureState {
    return this.own?.departures ?? noDepartures;
  }

  /**
   * Saves the departures of this VM, so that the next process of this node rejects late reports; resolves with true once
   * the store has them, with false if the node ends before. Waits for the first listing, as what earlier processes saved
   * must not be replaced unread.
   */
  saveDepartures(departures: DepartureState): Promise<boolean> {
    this.departures = departures;
    this.pendingWrite = this.pendingWrite.then(() => this.writeDepartures());
    return this.pendingWrite;
  }

  private async writeDepartures(): Promise<boolean> {
    let retryDelayMs = minRetryDelayMs;
    while (!this.signal?.aborted) {
      const {own, departures} = this;
      if (!own || !this.hasJoined) {
        await this.clock.sleep(joinPollMs, this.signal);
        continue;
      }
      if (isSameState(own.departures, departures)) return true;
      try {
        await this.write({...own, departures});
        return true;
      } catch (error) {
        this.logger.warn(
          {departures, error: describeError(error)},
          'departures not stored yet, retrying',
        );
        await this.clock.sleep(retryDelayMs, this.signal);
        retryDelayMs = Math.min(maxRetryDelayMs, retryDelayMs * 2);
      }
    }
    return false;
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

  /** Writes this node's record; what it holds counts as stored once the store has confirmed it. */
  private async write(own: DirectoryEntry): Promise<void> {
    this.metrics.calls.inc({call: 'put-node', result: 'started'});
    const {node, address, departures} = own;
    const record = {
      address,
      departure: departures?.last,
      departures: departures?.all,
    };
    this.ownEpoch = await this.store.put(
      this.topic,
      node,
      Buffer.from(JSON.stringify(record)),
    );
    this.own = own;
  }

  private decode({key, value}: KeyedRecord): DirectoryEntry | undefined {
    if (value.length === 0) return undefined;
    const entry = decodeWith(entryCodec, parseJson(value.toString()));
    const problem = E.isLeft(entry)
      ? describeError(entry.left)
      : findInvalidField(key, entry.right);
    if (E.isLeft(entry) || problem) {
      this.logger.warn({key, error: problem}, 'node record ignored: malformed');
      return undefined;
    }
    const {address, departure, departures} = entry.right;
    const last = this.decodeDeparture(key, departure);
    const all = (Array.isArray(departures) ? departures : [departure])
      .map(value => this.decodeDeparture(key, value))
      .filter(value => value !== undefined);
    return {
      node: asId<NodeId>(key),
      address,
      ...((last ?? all.length > 0) && {departures: {last, all}}),
    };
  }

  /** Decodes one departure of a record; an odd one is left out, and the others hold. */
  private decodeDeparture(key: string, value: unknown): Departure | undefined {
    if (value === undefined || value === null) return undefined;
    const departure = decodeWith(departureCodec, value);
    if (E.isLeft(departure) || !isWholeNumber(departure.right.startedAtMs)) {
      this.logger.warn({key}, 'departure in a node record ignored: malformed');
      return undefined;
    }
    const {server, startedAtMs, isUpperBound} = departure.right;
    return {
      server: asId<BackendServerId>(server),
      startedAtMs,
      ...(isUpperBound && {isUpperBound}),
    };
  }
}

function findInvalidField(
  key: string,
  {address}: t.TypeOf<typeof entryCodec>,
): string | undefined {
  if (key.length > maxNodeIdLength) return 'the node id is too long';
  return isIpAddress(address) ? undefined : 'address: expected IP:port';
}

function isSameState(
  a: DepartureState = noDepartures,
  b: DepartureState = noDepartures,
): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
