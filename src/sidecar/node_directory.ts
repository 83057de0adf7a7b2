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
import {KeyedRecord, KeyedStore} from './keyed_store.js';
import {StoreMetrics} from './metrics.js';

const firstPauseMs: Millis = 200;
const maxPauseMs: Millis = 1500;

/** What a node keeps in the store for others and for its own next process. */
export interface DirectoryEntry {
  readonly node: NodeId;
  /** host:port at which it takes links. */
  readonly address: string;
  /** Backend server whose leaving this node has acknowledged. */
  readonly departure?: Departure;
}

const entryCodec = t.intersection([
  t.type({address: t.string}),
  t.partial({departure: t.type({server: t.string, startedAtMs: t.number})}),
]);

/**
 * Nodes by address, in the store. A node writes its entry and then reads all: of two that start at once, the later reader
 * sees the other, and introduces itself over a link.
 */
export class NodeDirectory {
  private own: DirectoryEntry | undefined;
  private joined = false;
  private writing: Promise<void> = Promise.resolve();

  constructor(
    private readonly store: KeyedStore,
    private readonly topic: string,
    private readonly metrics: StoreMetrics,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  isJoined(): boolean {
    return this.joined;
  }

  /** Writes this node's entry and reads those of all nodes, as often as it takes. */
  async join(
    own: DirectoryEntry,
    signal: AbortSignal,
  ): Promise<readonly DirectoryEntry[]> {
    this.own ??= own;
    let pause = firstPauseMs;
    for (;;) {
      try {
        const before = await this.read(signal);
        const earlier = before.find(({node}) => node === own.node);
        this.own = {...earlier, ...this.own};
        const isKnown = earlier?.address === own.address;
        if (!isKnown) await this.write();
        const known = isKnown ? before : await this.read(signal);
        this.joined = true;
        this.logger.info({nodes: known.length, isKnown}, 'joined the fleet');
        return known;
      } catch (error) {
        if (signal.aborted) return [];
        this.logger.warn(
          {error: describeError(error)},
          'cannot join the fleet yet; peers may still dial this node',
        );
        await this.clock.sleep(pause, signal);
        pause = Math.min(maxPauseMs, pause * 2);
      }
    }
  }

  /** Keeps the departure of a backend server, so that the next process of this node does not take an old report for news. */
  recordDeparture(departure: Departure): Promise<void> {
    const known = this.own?.departure;
    if (
      !this.own ||
      (known?.server === departure.server &&
        known.startedAtMs === departure.startedAtMs)
    ) {
      return this.writing;
    }
    this.own = {...this.own, departure};
    this.writing = this.writing
      .then(() => this.write())
      .catch(error =>
        this.logger.warn(
          {departure, error: describeError(error)},
          'departure not kept; it binds this process only',
        ),
      );
    return this.writing;
  }

  private async read(signal: AbortSignal): Promise<readonly DirectoryEntry[]> {
    this.metrics.calls.inc({call: 'list-nodes', result: 'started'});
    const {records} = await this.store.listNewest(this.topic, signal);
    return records
      .map(record => this.decode(record))
      .filter(entry => entry !== undefined);
  }

  private async write(): Promise<void> {
    if (!this.own) return;
    this.metrics.calls.inc({call: 'put-node', result: 'started'});
    const {node, address, departure} = this.own;
    await this.store.put(
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
        'entry of a node ignored: malformed',
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
