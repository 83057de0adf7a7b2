import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {
  Clock,
  decodeWith,
  describeError,
  Logger,
  Millis,
  NodeId,
  rankByRendezvous,
  runEvery,
} from '../base/index.js';
import {LogClient} from '../logservice/index.js';
import {NodeCallServer} from '../nodecalls/index.js';
import {BatchOptions, defaultBatchOptions} from './batcher.js';
import {ClaimResponse, ClaimRequest, KeyPartition} from './partition.js';
import {
  ClaimResolution,
  claimResolutionCodec,
  getKeyStream,
  KeyId,
} from './record.js';

/** Names of the node calls. */
export const keyCallNames = {
  claim: 'keys-claim',
  complete: 'keys-complete',
  release: 'keys-release',
} as const;

const claimRequestCodec = t.type({
  key: t.string,
  claim: t.string,
  print: t.string,
  waitMs: t.number,
});

const ownershipPeriodMs: Millis = 1000;
// Other nodes learn of a changed roster within seconds and ask the former arbiter until then.
const keepMs: Millis = 30_000;

/** A node that may be the arbiter of partitions. */
export interface ArbiterNode {
  readonly node: NodeId;
  /** host:port of its data port. */
  readonly dataAddress: string;
}

/** Settings of the keys that all nodes share. */
export interface KeySettings {
  readonly windowMs: Millis;
  readonly partitions: number;
}

/** What an arbiter needs from its node. */
export interface ArbiterContext extends KeySettings {
  readonly node: NodeId;
  readonly batch?: BatchOptions;
  /** Nodes that serve, this one included. */
  listNodes(): readonly ArbiterNode[];
}

/** Answer to the calls `complete` and `release`. */
export interface ResolutionResponse {
  readonly recorded: boolean;
  /** Why the log may not have the record. */
  readonly reason: string;
}

interface Running {
  readonly partition: KeyPartition;
  readonly stop: AbortController;
  wantedAt: Millis;
}

/** Orders the nodes by their right to a partition: the first is its arbiter. */
export function rankArbiters(
  stream: string,
  nodes: readonly ArbiterNode[],
): readonly ArbiterNode[] {
  const byId = new Map(nodes.map(node => [node.node, node]));
  return rankByRendezvous(stream, [...byId.keys()]).flatMap(
    id => byId.get(id) ?? [],
  );
}

/**
 * Decides claims on the keys of the partitions that rendezvous hashing gives to this node, and of those that
 * other nodes ask it for. Several arbiters of one partition are harmless: the order of the log decides.
 */
export class KeyArbiter {
  private readonly running = new Map<string, Running>();
  private readonly stopping = new AbortController();
  private rankedIds = '';
  private owned: readonly string[] = [];

  constructor(
    private readonly context: ArbiterContext,
    private readonly log: LogClient,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Lets other nodes ask this arbiter. */
  registerCalls(handlers: Pick<NodeCallServer, 'register'>): void {
    handlers.register(keyCallNames.claim, async body =>
      this.claim(decodeCall(claimRequestCodec, body)),
    );
    const handleEnd = async (body: unknown): Promise<ResolutionResponse> => {
      const end = decodeCall(claimResolutionCodec, body);
      try {
        await this.record(end);
        return {recorded: true, reason: ''};
      } catch (error) {
        return {recorded: false, reason: describeError(error)};
      }
    };
    handlers.register(keyCallNames.complete, handleEnd);
    handlers.register(keyCallNames.release, handleEnd);
  }

  /** Starts and stops partitions as the ownership changes, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.updateOwnership();
    await runEvery(this.clock, ownershipPeriodMs, signal, () =>
      this.updateOwnership(),
    );
    this.stopping.abort();
    for (const {stop} of this.running.values()) stop.abort();
    this.running.clear();
  }

  /** Decides a claim, within the time that it gives. */
  claim(request: ClaimRequest): Promise<ClaimResponse> {
    return this.usePartition(this.getStream(request.key)).claim(request);
  }

  /** Records the end of a claim. Throws LogUnavailableError. */
  record(end: ClaimResolution): Promise<void> {
    return this.usePartition(this.getStream(end.key)).record(end);
  }

  /** Figures of each partition that runs here. */
  listStats() {
    return [...this.running].map(([stream, {partition}]) => ({
      stream,
      ...partition.getStats(),
    }));
  }

  private getStream(key: string): string {
    return getKeyStream(key as KeyId, this.context.partitions);
  }

  private updateOwnership(): void {
    for (const stream of this.listOwned()) this.usePartition(stream);
    const now = this.clock.getTime();
    for (const [stream, {partition, stop, wantedAt}] of this.running) {
      if (now - wantedAt < keepMs) {
        void partition.appendMarkIfQuiet();
        continue;
      }
      this.logger.info({stream}, 'partition of keys given up');
      stop.abort();
      this.running.delete(stream);
    }
  }

  // Ranking 450 nodes for 32 partitions takes milliseconds, so it is done anew only when the nodes change.
  private listOwned(): readonly string[] {
    const nodes = this.context.listNodes();
    const ids = nodes.map(({node}) => node).join(' ');
    if (ids !== this.rankedIds) {
      this.rankedIds = ids;
      this.owned = Array.from(
        {length: this.context.partitions},
        (_, i) => `keys-${i}`,
      ).filter(
        stream => rankArbiters(stream, nodes)[0]?.node === this.context.node,
      );
    }
    return this.owned;
  }

  private usePartition(stream: string): KeyPartition {
    const known = this.running.get(stream) ?? this.startPartition(stream);
    known.wantedAt = this.clock.getTime();
    return known.partition;
  }

  private startPartition(stream: string): Running {
    this.logger.info({stream}, 'partition of keys taken over');
    const partition = new KeyPartition(
      {
        stream,
        windowMs: this.context.windowMs,
        batch: this.context.batch ?? defaultBatchOptions,
      },
      this.log,
      this.clock,
      this.logger,
    );
    const started = {
      partition,
      stop: new AbortController(),
      wantedAt: this.clock.getTime(),
    };
    this.running.set(stream, started);
    if (!this.stopping.signal.aborted) {
      void partition.run(started.stop.signal);
    }
    return started;
  }
}

function decodeCall<A>(codec: t.Type<A, unknown, unknown>, body: unknown): A {
  const decoded = decodeWith(codec, body);
  if (E.isLeft(decoded)) throw decoded.left;
  return decoded.right;
}
