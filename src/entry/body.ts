import {IncomingMessage, ServerResponse} from 'node:http';
import {Readable} from 'node:stream';
import {Clock, Millis} from '../base/index.js';
import {hasBody, makeDisconnectSignal} from '../guard/index.js';

/** Body of a caller's request; a buffered one can be sent again, a streamed one cannot. */
export type RequestBody =
  | {readonly kind: 'none'}
  | {readonly kind: 'buffered'; readonly bytes: Buffer}
  | {readonly kind: 'stream'; readonly stream: Readable};

const maxBufferedBodyBytes = 64 * 1024;
/** Bytes that one node buffers at once, enough for 256 bodies of the largest size; further bodies are streamed. */
const maxTotalBufferedBytes = 16 * 1024 * 1024;

/** The body in the form that the HTTP client takes, for one attempt. */
export function getSendableBody(body: RequestBody): Buffer | Readable | null {
  switch (body.kind) {
    case 'none':
      return null;
    case 'buffered':
      return body.bytes;
    case 'stream':
      return body.stream;
  }
}

/** A request body that is ready to be sent: fully buffered, or a stream that is not yet read. */
export interface ReceivedBody {
  /** Undefined if a body that is to be buffered did not arrive completely in time. */
  readonly body: RequestBody | undefined;
  /** Aborts when the caller disconnects or its body stalls. */
  readonly signal: AbortSignal;
  hasStalled(): boolean;
}

/** Time limits for receiving a body. */
export interface BodyLimits {
  readonly deadline: Millis;
  /** Longest time without a byte from the caller while this node is ready to read. */
  readonly stallMs: Millis;
}

/** Reads request bodies within limits on buffered bytes and on time. */
export class BodyReader {
  private bufferedBytes = 0;

  constructor(private readonly clock: Clock) {}

  /** Buffers a body whose `content-length` is small; streams any other. */
  async receive(
    request: IncomingMessage,
    response: ServerResponse,
    limits: BodyLimits,
  ): Promise<ReceivedBody> {
    const disconnectSignal = makeDisconnectSignal(response);
    if (!hasBody(request)) {
      return {
        body: {kind: 'none'},
        signal: disconnectSignal,
        hasStalled: () => false,
      };
    }
    const finished = new AbortController();
    const cancelled = new AbortController();
    let stalled = false;
    disconnectSignal.addEventListener('abort', () => cancelled.abort(), {
      once: true,
    });
    response.once('close', () => finished.abort());
    void this.watchForStall(request, limits.stallMs, finished.signal, () => {
      stalled = true;
      cancelled.abort();
      finished.abort();
    });
    void this.clock
      .sleep(limits.deadline - this.clock.getTime(), finished.signal)
      .then(() => finished.abort());
    const body = await this.readBody(request, finished.signal);
    return {body, signal: cancelled.signal, hasStalled: () => stalled};
  }

  private async readBody(
    request: IncomingMessage,
    signal: AbortSignal,
  ): Promise<RequestBody | undefined> {
    const length = Number(request.headers['content-length'] ?? NaN);
    const isBuffered =
      length <= maxBufferedBodyBytes &&
      this.bufferedBytes + length <= maxTotalBufferedBytes;
    if (!isBuffered) return {kind: 'stream', stream: request};
    this.bufferedBytes += length;
    signal.addEventListener('abort', () => (this.bufferedBytes -= length), {
      once: true,
    });
    const bytes = await readWhole(request, signal);
    return bytes && {kind: 'buffered', bytes};
  }

  private async watchForStall(
    request: IncomingMessage,
    stallMs: Millis,
    signal: AbortSignal,
    onStall: () => void,
  ): Promise<void> {
    let lastReceived = -1;
    while (!signal.aborted && !request.complete && !request.destroyed) {
      const received = request.socket.bytesRead;
      // Unread bytes in the buffer mean that the backend server, not the caller, is slow.
      if (received === lastReceived && request.readableLength === 0)
        return onStall();
      lastReceived = received;
      await this.clock.sleep(stallMs, signal);
    }
  }
}

/** Reads the body to its end; undefined if the connection fails or the signal aborts before that. */
function readWhole(
  request: IncomingMessage,
  signal: AbortSignal,
): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    const addChunk = (chunk: Buffer) => chunks.push(chunk);
    const end = (bytes: Buffer | undefined) => {
      request.off('data', addChunk).off('end', endWithBody);
      request.off('error', endWithoutBody).off('close', endWithoutBody);
      signal.removeEventListener('abort', endWithoutBody);
      resolve(bytes);
    };
    const endWithBody = () => end(Buffer.concat(chunks));
    const endWithoutBody = () => {
      end(undefined);
      request.on('error', () => undefined).pause();
    };
    request.on('data', addChunk).once('end', endWithBody);
    request.once('error', endWithoutBody).once('close', endWithoutBody);
    signal.addEventListener('abort', endWithoutBody, {once: true});
    if (signal.aborted) endWithoutBody();
  });
}
