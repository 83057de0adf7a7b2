import {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';

/** Body of a caller's request; a held one can be sent again. */
export type RequestBody =
  | {readonly kind: 'none'}
  | {readonly kind: 'held'; readonly bytes: Buffer}
  | {readonly kind: 'stream'; readonly stream: Readable};

const maxHeldBytes = 64 * 1024;

/** Holds a body of a known small length; streams any other. */
export async function readBody(request: IncomingMessage): Promise<RequestBody> {
  const length = Number(request.headers['content-length'] ?? NaN);
  if (!(length <= maxHeldBytes)) return {kind: 'stream', stream: request};
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return {kind: 'held', bytes: Buffer.concat(chunks)};
}
