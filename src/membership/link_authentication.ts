import {randomBytes} from 'node:crypto';
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {
  asId,
  decodeWith,
  isValidId,
  isSameSecret,
  NodeId,
  signParts,
  UnauthorizedError,
} from '../base/index.js';
import {FrameSocket} from './frame_socket.js';

const maxProofBytes = 1024;

const greetingCodec = t.type({node: t.string, nonce: t.string});
const proofCodec = t.type({proof: t.string});

type Greeting = t.TypeOf<typeof greetingCodec>;

/** Which side of the connection a node is. */
export type LinkSide = 'dialler' | 'acceptor';

function makeGreeting(node: NodeId): Greeting {
  return {node, nonce: randomBytes(16).toString('base64url')};
}

// Both nonces, both ids and the side are signed: a proof holds for one connection and one direction only.
function signSide(
  key: string,
  side: LinkSide,
  dialler: Greeting,
  acceptor: Greeting,
): string {
  const parts = [dialler, acceptor].flatMap(({node, nonce}) => [node, nonce]);
  return signParts(key, ['peer-link', side, ...parts]);
}

async function receiveText<A>(
  socket: FrameSocket,
  codec: t.Type<A, unknown, unknown>,
): Promise<A> {
  const frame = await socket.receive();
  if (!frame) throw new UnauthorizedError('peer closed the link unproven');
  if (frame.isBinary || frame.bytes.length > maxProofBytes) {
    throw new UnauthorizedError('peer sent a frame before its proof');
  }
  const decoded = decodeWith(codec, JSON.parse(frame.bytes.toString()));
  if (E.isLeft(decoded)) throw decoded.left;
  return decoded.right;
}

function sendText(socket: FrameSocket, value: unknown): void {
  socket.send(JSON.stringify(value));
}

/**
 * Proves the cluster key to the other side and checks its proof; the dialler proves first. Gives the id of the other
 * node. Throws an UnauthorizedError or the error of a malformed frame.
 */
export async function verifyPeer(
  socket: FrameSocket,
  side: LinkSide,
  self: NodeId,
  key: string,
): Promise<NodeId> {
  const mine = makeGreeting(self);
  if (side === 'dialler') sendText(socket, mine);
  const theirs = await receiveText(socket, greetingCodec);
  if (side === 'acceptor') sendText(socket, mine);
  if (!isValidId(theirs.node) || theirs.node === self) {
    throw new UnauthorizedError(`peer names itself ${theirs.node}`);
  }
  const dialler = side === 'dialler' ? mine : theirs;
  const acceptor = side === 'dialler' ? theirs : mine;
  const proof = signSide(key, side, dialler, acceptor);
  if (side === 'dialler') sendText(socket, {proof});
  const received = await receiveText(socket, proofCodec);
  const otherSide = side === 'dialler' ? 'acceptor' : 'dialler';
  const expected = signSide(key, otherSide, dialler, acceptor);
  if (!isSameSecret(received.proof, expected)) {
    throw new UnauthorizedError(
      `node ${theirs.node} does not hold the cluster key; check peers.cluster_key there and here`,
    );
  }
  if (side === 'acceptor') sendText(socket, {proof});
  return asId<NodeId>(theirs.node);
}
