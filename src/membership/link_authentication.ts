import {randomBytes} from 'node:crypto';
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {
  asId,
  decodeWith,
  isValidId,
  NodeId,
  UnauthorizedError,
} from '../base/index.js';
import {isSameSecret, signParts} from '../hash/index.js';
import {FrameSocket} from './frame_socket.js';

const maxProofBytes = 1024;

const helloCodec = t.type({node: t.string, nonce: t.string});
const proofCodec = t.type({proof: t.string});

type Hello = t.TypeOf<typeof helloCodec>;

/** The side of a connection: the node that dialled it or the node that accepted it. */
export type LinkSide = 'dialler' | 'acceptor';

function makeHello(node: NodeId): Hello {
  return {node, nonce: randomBytes(16).toString('base64url')};
}

// Signs both nonces, both ids and the side, so that a proof is valid for one connection and one direction only.
function signProof(
  key: string,
  side: LinkSide,
  dialler: Hello,
  acceptor: Hello,
): string {
  const parts = [dialler, acceptor].flatMap(({node, nonce}) => [node, nonce]);
  return signParts(key, ['peer-link', side, ...parts]);
}

async function receiveJson<A>(
  socket: FrameSocket,
  codec: t.Type<A, unknown, unknown>,
): Promise<A> {
  const frame = await socket.receive();
  if (!frame)
    throw new UnauthorizedError('peer closed the link before authentication');
  if (frame.isBinary || frame.bytes.length > maxProofBytes) {
    throw new UnauthorizedError(
      'peer sent a binary or oversized frame during authentication',
    );
  }
  const decoded = decodeWith(codec, JSON.parse(frame.bytes.toString()));
  if (E.isLeft(decoded)) throw decoded.left;
  return decoded.right;
}

function sendJson(socket: FrameSocket, value: unknown): void {
  socket.send(JSON.stringify(value));
}

/**
 * Mutual authentication with the cluster key: sends a proof to the other side and verifies its proof; the dialler sends
 * its proof first. Returns the id of the other node. Throws an UnauthorizedError, or the error of a malformed frame.
 */
export async function verifyPeer(
  socket: FrameSocket,
  side: LinkSide,
  self: NodeId,
  key: string,
): Promise<NodeId> {
  const ownHello = makeHello(self);
  if (side === 'dialler') sendJson(socket, ownHello);
  const peerHello = await receiveJson(socket, helloCodec);
  if (side === 'acceptor') sendJson(socket, ownHello);
  if (!isValidId(peerHello.node) || peerHello.node === self) {
    throw new UnauthorizedError(
      `peer sent an invalid node id or the id of this node: ${peerHello.node}`,
    );
  }
  const dialler = side === 'dialler' ? ownHello : peerHello;
  const acceptor = side === 'dialler' ? peerHello : ownHello;
  const proof = signProof(key, side, dialler, acceptor);
  if (side === 'dialler') sendJson(socket, {proof});
  const received = await receiveJson(socket, proofCodec);
  const otherSide = side === 'dialler' ? 'acceptor' : 'dialler';
  const expected = signProof(key, otherSide, dialler, acceptor);
  if (!isSameSecret(received.proof, expected)) {
    throw new UnauthorizedError(
      `proof of node ${peerHello.node} is not made with the cluster key; check peers.cluster_key on both nodes`,
    );
  }
  if (side === 'acceptor') sendJson(socket, {proof});
  return asId<NodeId>(peerHello.node);
}
