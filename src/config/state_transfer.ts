import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {
  decodeWith,
  describeError,
  Logger,
  Millis,
  Random,
  UnavailableError,
} from '../base/index.js';
import {NodeCallClient, NodeCallServer} from '../nodecalls/index.js';
import {ConfigState} from './config_state.js';
import {decodeState, EncodedState, encodeState} from './state_codec.js';

const callName = 'config-state';
const callTimeoutMs: Millis = 5000;
const maxAttemptsPerDataCentre = 2;

/** A node from which the configuration state can be fetched. */
export interface ConfigPeer {
  readonly node: string;
  readonly dataCentre: string;
  /** host:port of its data port. */
  readonly dataAddress: string;
}

const requestCodec = t.type({next: t.Int});
const bufferCodec = new t.Type<Buffer, Buffer, unknown>(
  'bytes',
  (value): value is Buffer => value instanceof Uint8Array,
  (value, context) =>
    value instanceof Uint8Array
      ? t.success(Buffer.from(value))
      : t.failure(value, context),
  value => value,
);
const replyCodec = t.type({
  next: t.Int,
  state: t.union([
    t.null,
    t.type({
      format: t.number,
      next: t.Int,
      version: t.Int,
      bytes: bufferCodec,
      proof: t.string,
    }),
  ]),
});

/** Reply of a peer: its newer state, or `not-newer`. */
export type PeerStateReply = ConfigState | 'not-newer';

/** Fetches the configuration state of other nodes. */
export class PeerStateClient {
  constructor(
    private readonly callClient: NodeCallClient,
    private readonly clusterKey: string,
    private readonly listPeers: () => readonly ConfigPeer[],
    private readonly random: Random,
    private readonly logger: Logger,
  ) {}

  /** Fetches the state of one node in each of two data centres, or in the only one; returns the replies received. */
  async fetch(next: number): Promise<readonly PeerStateReply[]> {
    const byDataCentre = new Map<string, ConfigPeer[]>();
    for (const peer of this.listPeers()) {
      const peers = byDataCentre.get(peer.dataCentre) ?? [];
      byDataCentre.set(peer.dataCentre, [...peers, peer]);
    }
    const replies: PeerStateReply[] = [];
    for (const peers of this.sortRandomly([...byDataCentre.values()])) {
      if (replies.length === 2) break;
      const reply = await this.fetchFromAny(this.sortRandomly(peers), next);
      if (reply) replies.push(reply);
    }
    return replies;
  }

  /** Fetches the state of one node; throws UnavailableError, or InvalidInputError for an invalid reply. */
  async fetchFrom(address: string, next: number): Promise<PeerStateReply> {
    const body = await this.callClient.call(
      address,
      callName,
      {next},
      callTimeoutMs,
    );
    const reply = decodeWith(replyCodec, body);
    if (E.isLeft(reply)) throw reply.left;
    if (!reply.right.state) return 'not-newer';
    const state = await decodeState(this.clusterKey, reply.right.state);
    if (E.isLeft(state)) throw state.left;
    return state.right;
  }

  private async fetchFromAny(
    peers: readonly ConfigPeer[],
    next: number,
  ): Promise<PeerStateReply | undefined> {
    for (const peer of peers.slice(0, maxAttemptsPerDataCentre)) {
      try {
        return await this.fetchFrom(peer.dataAddress, next);
      } catch (error) {
        this.logger.warn(
          {peer: peer.node, error: describeError(error)},
          'failed to fetch the configuration from a peer',
        );
      }
    }
    return undefined;
  }

  private sortRandomly<T>(items: readonly T[]): readonly T[] {
    return items
      .map(item => ({item, key: this.random()}))
      .sort((a, b) => a.key - b.key)
      .map(({item}) => item);
  }
}

/** Registers the call by which other nodes fetch this node's configuration state. */
export function registerStateTransfer(
  callServer: NodeCallServer,
  clusterKey: string,
  source: {isLoaded(): boolean; getState(): ConfigState},
): void {
  // Encoding takes tens of milliseconds at full size, so concurrent calls share one encoding.
  let cached: {state: ConfigState; encoded: Promise<EncodedState>} | undefined;
  callServer.register(callName, async body => {
    const request = decodeWith(requestCodec, body);
    if (E.isLeft(request)) throw request.left;
    if (!source.isLoaded()) {
      throw new UnavailableError(
        'this node has no configuration yet; use another node',
      );
    }
    const state = source.getState();
    if (state.next <= request.right.next) {
      return {next: state.next, state: null};
    }
    if (cached?.state !== state) {
      cached = {state, encoded: encodeState(clusterKey, state)};
    }
    return {next: state.next, state: await cached.encoded};
  });
}
