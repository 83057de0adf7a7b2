import {ServerResponse} from 'node:http';
import {countBytes, Millis, RequestId} from '../base/index.js';
import {RawHeaders} from '../mesh/index.js';
import {platformHeaders} from '../../platform/headers.js';
import {filterHeaders} from './raw_headers.js';

const MS_PER_S = 1000;

/** Error codes of responses that the node generates itself. */
export type LocalErrorCode =
  | 'not-ready'
  | 'no-route'
  | 'bad-request'
  | 'too-large'
  | 'busy'
  | 'no-server'
  | 'leaving'
  | 'expired'
  | 'timeout'
  | 'server-failed';

/** Statuses that promise the caller that its request was not run and never will be. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

function getStatus(error: LocalErrorCode): number {
  switch (error) {
    case 'no-route':
      return 404;
    case 'bad-request':
      return 400;
    case 'too-large':
      return 413;
    case 'not-ready':
    case 'busy':
    case 'no-server':
    case 'leaving':
    case 'expired':
      return 503;
    case 'timeout':
      return 504;
    case 'server-failed':
      return 502;
  }
}

/** Writes the response to one caller. */
export class CallerResponse {
  constructor(
    private readonly response: ServerResponse,
    private readonly requestId: RequestId | undefined,
    private readonly isShuttingDown: () => boolean,
  ) {}

  isClosed(): boolean {
    return this.response.destroyed || this.response.closed;
  }

  /** Sends an error of the node; `retryAfterMs` becomes the Retry-After header. */
  sendError(error: LocalErrorCode, retryAfterMs?: Millis): void {
    if (this.isClosed() || this.response.headersSent) return;
    const status = getStatus(error);
    const body = JSON.stringify({error});
    this.response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      ...(this.requestId && {[platformHeaders.requestId]: this.requestId}),
      ...(retryAfterMs !== undefined && {
        'retry-after': (retryAfterMs / MS_PER_S).toFixed(2),
      }),
      ...this.makeConnectionHeader(),
    });
    this.response.end(body);
  }

  /** Sends a complete response of a backend server. */
  sendBuffered(
    status: number,
    headers: RawHeaders,
    chunks: readonly Uint8Array[],
  ): void {
    if (this.isClosed()) return;
    this.writeHead(status, headers, countBytes(chunks));
    for (const chunk of chunks) this.response.write(chunk);
    this.response.end();
  }

  /** Starts a response that is streamed as it arrives. */
  startStream(status: number, headers: RawHeaders): void {
    if (!this.isClosed()) this.writeHead(status, headers, undefined);
  }

  /** Writes a part of a streamed response; `onTaken` is called once the caller's connection has taken it. */
  writeChunk(chunk: Uint8Array, onTaken: () => void): void {
    if (this.isClosed()) return;
    this.response.write(chunk, error => {
      if (!error) onTaken();
    });
  }

  endStream(): void {
    if (!this.isClosed()) this.response.end();
  }

  /** Destroys the connection, so that a truncated response does not look complete. */
  abort(): void {
    this.response.destroy();
  }

  private writeHead(
    status: number,
    headers: RawHeaders,
    length: number | undefined,
  ): void {
    // The backend server may have run the request, so a status that promises the opposite becomes 502.
    const isNotRunStatus = notRunStatuses.has(status);
    const kept = filterHeaders(
      headers,
      name =>
        !(name === 'content-length' && length !== undefined && length > 0) &&
        !(isNotRunStatus && name === platformHeaders.signature) &&
        name !== 'retry-after',
    );
    if (length !== undefined && length > 0) {
      kept.push('content-length', String(length));
    }
    for (const [name, value] of Object.entries(this.makeConnectionHeader())) {
      kept.push(name, value);
    }
    this.response.writeHead(isNotRunStatus ? 502 : status, kept);
  }

  private makeConnectionHeader(): Record<string, string> {
    return this.isShuttingDown() ? {connection: 'close'} : {};
  }
}
