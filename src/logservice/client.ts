import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {Agent} from 'undici';
import {
  decodeWith,
  describeError,
  LogUnavailableError,
  Millis,
} from '../base/index.js';

const recordCodec = t.type({
  offset: t.number,
  atMs: t.number,
  value: t.unknown,
});

const pageCodec = t.type({
  firstOffset: t.number,
  nextOffset: t.number,
  records: t.array(recordCodec),
});

const appendCodec = t.type({offset: t.number});

/** One record of a stream; `atMs` is the timestamp that the log service assigned. */
export type LogRecord = t.TypeOf<typeof recordCodec>;

/**
 * Part of a stream. `firstOffset` is the oldest retained offset; `nextOffset` is the offset that the next append
 * will get. `records` start at the requested offset, or at `firstOffset` if that is later.
 */
export type LogPage = t.TypeOf<typeof pageCodec>;

/** Address, timeout and connections of a log client. */
export interface LogClientOptions {
  /** Base URL, such as http://127.0.0.1:7000. */
  readonly url: string;
  /** Timeout of a request; a long poll adds its own wait. */
  readonly timeoutMs: Millis;
  /** Local IP address to connect from. */
  readonly localAddress?: string;
  /** Maximum number of connections; each long poll occupies one. 16 by default. */
  readonly connections?: number;
}

/** Access to streams of the platform's log service. */
export interface LogClient {
  /**
   * Appends records in one write and returns the offset of the first. After a LogUnavailableError the write may or may
   * not have taken effect.
   */
  append(stream: string, values: readonly unknown[]): Promise<number>;
  /** Reads from an offset; waits up to `waitMs` for the first record. Throws LogUnavailableError. */
  read(
    stream: string,
    from: number,
    limit: number,
    waitMs?: Millis,
    signal?: AbortSignal,
  ): Promise<LogPage>;
  close(): Promise<void>;
}

/** Creates the HTTP client of the log service. */
export function createLogClient(options: LogClientOptions): LogClient {
  const agent = new Agent({
    connections: options.connections ?? 16,
    keepAliveTimeout: 30_000,
    localAddress: options.localAddress,
    connect: {timeout: options.timeoutMs},
  });

  async function request<A>(
    codec: t.Type<A, unknown, unknown>,
    method: 'GET' | 'POST',
    path: string,
    timeoutMs: Millis,
    body?: string,
    signal?: AbortSignal,
  ): Promise<A> {
    const timeout = AbortSignal.timeout(timeoutMs);
    const abortSignal = signal ? AbortSignal.any([timeout, signal]) : timeout;
    try {
      const response = await agent.request({
        origin: options.url,
        path,
        method,
        body,
        headers: body ? {'content-type': 'application/json'} : {},
        signal: abortSignal,
      });
      const text = await response.body.text();
      if (response.statusCode !== 200) {
        throw new Error(`status ${response.statusCode}: ${text.slice(0, 200)}`);
      }
      const decoded = decodeWith(codec, JSON.parse(text));
      if (E.isLeft(decoded)) throw decoded.left;
      return decoded.right;
    } catch (error) {
      throw new LogUnavailableError(
        `log service ${options.url}: ${describeError(error)}; check that it is running and that log.url is correct`,
        {cause: error},
      );
    }
  }

  return {
    async append(stream, values) {
      const response = await request(
        appendCodec,
        'POST',
        `/streams/${stream}/records`,
        options.timeoutMs,
        JSON.stringify({records: values}),
      );
      return response.offset;
    },
    read(stream, from, limit, waitMs = 0, signal) {
      return request(
        pageCodec,
        'GET',
        `/streams/${stream}/records?from=${from}&limit=${limit}&waitMs=${waitMs}`,
        options.timeoutMs + waitMs,
        undefined,
        signal,
      );
    },
    close: () => agent.destroy(),
  };
}
