import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {
  Clock,
  decodeWith,
  describeError,
  Logger,
  Millis,
  NodeId,
  runEvery,
} from '../base/index.js';
import {rankByRendezvous} from '../hash/index.js';
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

/** Names of the node calls of an arbiter. */
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

const ownershipIntervalMs: Millis = 1000;
// Time without use after which a partition stops. Until other nodes receive a changed roster, which takes seconds, they
// keep calling the former arbiter.
const partitionIdleTimeoutMs: Millis = 30_000;

/** A node that may be the arbiter of partitions. */
export interface ArbiterNode {
  readonly node: NodeId;
  /** host:port of its data port. */
  readonly dataAddress: string;
}

/** Settings of the idempotency keys, the same on all nodes. */
export interface KeySettings {
  readonly windowMs: Millis;
  readonly partitions: number;
}

/** Settings and roster access that the node provides to its arbiter. */
export interface ArbiterContext extends KeySettings {
  readonly node: NodeId;
  readonly batch?: BatchOptions;
  /** Nodes in state `serving`, including this one. */
  listNodes(): readonly ArbiterNode[];
}

/** Response to the calls `complete` and `release`. */
export interface ResolutionResponse {
  readonly recorded: boolean;
  /** Why the record may be missing from the log; empty if it is recorded. */
  readonly reason: string;
}

interface RunningPartition {
  readonly partition: KeyPartition;
  readonly stop: AbortController;
  lastUsedAt: Millis;
}

/** Ranks the nodes for a partition by rendezvous hashing; the first is its arbiter. */
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
 * Decides claims on the keys of the partitions that rendezvous hashing assigns to this node, and of any partition for
 * which another node calls it. Several arbiters of one partition are harmless, because log order decides.
 */
export class KeyArbiter {
  private readonly running = new Map<string, RunningPartition>();
  private readonly stopController = new AbortController();
  private rankedNodeIds = '';
  private ownedStreams: readonly string[] = [];

  constructor(
    private readonly context: ArbiterContext,
    private readonly log: LogClient,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Registers the handlers for calls of other nodes. */
  registerCalls(handlers: Pick<NodeCallServer, 'register'>): void {
    handlers.register(keyCallNames.claim, async body =>
      this.claim(decodeRequest(claimRequestCodec, body)),
    );
    const handleResolution = async (
      body: unknown,
    ): Promise<ResolutionResponse> => {
      const resolution = decodeRequest(claimResolutionCodec, body);
      try {
        await this.recordResolution(resolution);
        return {recorded: true, reason: ''};
      } catch (error) {
        return {recorded: false, reason: describeError(error)};
      }
    };
    handlers.register(keyCallNames.complete, handleResolution);
    handlers.register(keyCallNames.release, handleResolution);
  }

  /** Starts and stops partitions as ownership changes, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.updateOwnership();
    await runEvery(this.clock, ownershipIntervalMs, signal, () =>
      this.updateOwnership(),
    );
    this.stopController.abort();
    for (const {stop} of this.running.values()) stop.abort();
    this.running.clear();
  }

  /** Decides a claim within `waitMs` of the request. */
  claim(request: ClaimRequest): Promise<ClaimResponse> {
    return this.getPartition(this.getStream(request.key)).claim(request);
  }

  /** Appends the outcome or the release of a claim to the log. Throws LogUnavailableError. */
  recordResolution(resolution: ClaimResolution): Promise<void> {
    return this.getPartition(this.getStream(resolution.key)).recordResolution(
      resolution,
    );
  }

  /** Statistics of each partition that runs on this node. */
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
    for (const stream of this.listOwnedStreams()) this.getPartition(stream);
    const now = this.clock.getTime();
    for (const [stream, {partition, stop, lastUsedAt}] of this.running) {
      if (now - lastUsedAt < partitionIdleTimeoutMs) {
        void partition.appendMarkIfIdle();
        continue;
      }
      this.logger.info({stream}, 'key partition stopped');
      stop.abort();
      this.running.delete(stream);
    }
  }

  // Ranking 450 nodes for 32 partitions takes milliseconds, so the result is cached until the nodes change.
  private listOwnedStreams(): readonly string[] {
    const nodes = this.context.listNodes();
    const ids = nodes.map(({node}) => node).join(' ');
    if (ids !== this.rankedNodeIds) {
      this.rankedNodeIds = ids;
      this.ownedStreams = Array.from(
        {length: this.context.partitions},
        (_, i) => `keys-${i}`,
      ).filter(
        stream => rankArbiters(stream, nodes)[0]?.node === this.context.node,
      );
    }
    return this.ownedStreams;
  }

  /** Returns the partition of a stream and marks it as used; starts it if it does not run here. */
  private getPartition(stream: string): KeyPartition {
    const running = this.running.get(stream) ?? this.startPartition(stream);
    running.lastUsedAt = this.clock.getTime();
    return running.partition;
  }

  private startPartition(stream: string): RunningPartition {
    this.logger.info({stream}, 'key partition started');
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
      lastUsedAt: this.clock.getTime(),
    };
    this.running.set(stream, started);
    if (!this.stopController.signal.aborted) {
      void partition.run(started.stop.signal);
    }
    return started;
  }
}

function decodeRequest<A>(
  codec: t.Type<A, unknown, unknown>,
  body: unknown,
): A {
  const decoded = decodeWith(codec, body);
  if (E.isLeft(decoded)) throw decoded.left;
  return decoded.right;
}
