import {IncomingMessage, ServerResponse} from 'node:http';
import {Readable} from 'node:stream';
import {Clock, Millis} from '../base/index.js';
import {hasBody, makeDisconnectSignal} from '../guard/index.js';

/** Body of a caller's request; a held one can be sent again. */
export type RequestBody =
  | {readonly kind: 'none'}
  | {readonly kind: 'held'; readonly bytes: Buffer}
  | {readonly kind: 'stream'; readonly stream: Readable};

const maxHeldBytes = 64 * 1024;
/** Bodies held at once by one node; further ones are streamed. 256 requests of the largest held size. */
const maxTotalBytes = 16 * 1024 * 1024;

/** The body for one attempt. */
export function getSendableBody(body: RequestBody): Buffer | Readable | null {
  switch (body.kind) {
    case 'none':
      return null;
    case 'held':
      return body.bytes;
    case 'stream':
      return body.stream;
  }
}

/** A caller's body as far as it is needed before the request is sent. */
export interface ReceivedBody {
  /** Undefined when a body that is to be held did not arrive whole in time. */
  readonly body: RequestBody | undefined;
  /** Aborts when the caller is gone or its body stalls. */
  readonly signal: AbortSignal;
  hasStalled(): boolean;
}

/** Bounds in time of a body. */
export interface BodyLimits {
  readonly deadline: Millis;
  /** Longest time without a byte while the body is wanted. */
  readonly stallMs: Millis;
}

/** Reads callers' bodies within bounds of memory and time. */
export class BodyReader {
  private heldBytes = 0;

  constructor(private readonly clock: Clock) {}

  /** Holds a body of a known small length; streams any other. */
  async receive(
    request: IncomingMessage,
    response: ServerResponse,
    limits: BodyLimits,
  ): Promise<ReceivedBody> {
    const gone = makeDisconnectSignal(response);
    if (!hasBody(request)) {
      return {body: {kind: 'none'}, signal: gone, hasStalled: () => false};
    }
    const over = new AbortController();
    const stop = new AbortController();
    let stalled = false;
    gone.addEventListener('abort', () => stop.abort(), {once: true});
    response.once('close', () => over.abort());
    void this.watch(request, limits.stallMs, over.signal, () => {
      stalled = true;
      stop.abort();
      over.abort();
    });
    void this.clock
      .sleep(limits.deadline - this.clock.getTime(), over.signal)
      .then(() => over.abort());
    const body = await this.read(request, over.signal);
    return {body, signal: stop.signal, hasStalled: () => stalled};
  }

  private async read(
    request: IncomingMessage,
    signal: AbortSignal,
  ): Promise<RequestBody | undefined> {
    const length = Number(request.headers['content-length'] ?? NaN);
    const isHeld =
      length <= maxHeldBytes && this.heldBytes + length <= maxTotalBytes;
    if (!isHeld) return {kind: 'stream', stream: request};
    this.heldBytes += length;
    signal.addEventListener('abort', () => (this.heldBytes -= length), {
      once: true,
    });
    const bytes = await readWhole(request, signal);
    return bytes && {kind: 'held', bytes};
  }

  private async watch(
    request: IncomingMessage,
    stallMs: Millis,
    signal: AbortSignal,
    onStall: () => void,
  ): Promise<void> {
    let seen = -1;
    while (!signal.aborted && !request.complete && !request.destroyed) {
      const received = request.socket.bytesRead;
      // Unread bytes mean that the backend server, not the caller, is slow.
      if (received === seen && request.readableLength === 0) return onStall();
      seen = received;
      await this.clock.sleep(stallMs, signal);
    }
  }
}

function readWhole(
  request: IncomingMessage,
  signal: AbortSignal,
): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    const addChunk = (chunk: Buffer) => chunks.push(chunk);
    const end = (bytes: Buffer | undefined) => {
      request.off('data', addChunk).off('end', endWhole);
      request.off('error', endEarly).off('close', endEarly);
      signal.removeEventListener('abort', endEarly);
      resolve(bytes);
    };
    const endWhole = () => end(Buffer.concat(chunks));
    const endEarly = () => {
      end(undefined);
      request.on('error', () => undefined).pause();
    };
    request.on('data', addChunk).once('end', endWhole);
    request.once('error', endEarly).once('close', endEarly);
    signal.addEventListener('abort', endEarly, {once: true});
    if (signal.aborted) endEarly();
  });
}
