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

/** One record of a stream; `atMs` is the time of the log service. */
export type LogRecord = t.TypeOf<typeof recordCodec>;

/**
 * Part of a stream. `firstOffset` is the oldest retained offset; `nextOffset` is the offset that the next
 * append gets. `records` start at the offset asked for, or at `firstOffset` if that is later.
 */
export type LogPage = t.TypeOf<typeof pageCodec>;

/** Where and how patiently to talk to the log service. */
export interface LogClientOptions {
  /** Base URL, such as http://127.0.0.1:7000. */
  readonly url: string;
  /** Longest wait for an answer beyond a long poll's own wait. */
  readonly timeoutMs: Millis;
  /** Local IP address to connect from. */
  readonly localAddress?: string;
  /** Most connections at once; each long poll holds one. 16 by default. */
  readonly connections?: number;
}

/** Access to streams of the platform's log service. */
export interface LogClient {
  /**
   * Appends records as one write and gives the offset of the first. A LogUnavailableError leaves open
   * whether the write took effect.
   */
  append(stream: string, values: readonly unknown[]): Promise<number>;
  /** Reads from an offset; waits up to `waitMs` for a first record. Throws LogUnavailableError. */
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
    const stop = signal ? AbortSignal.any([timeout, signal]) : timeout;
    try {
      const answer = await agent.request({
        origin: options.url,
        path,
        method,
        body,
        headers: body ? {'content-type': 'application/json'} : {},
        signal: stop,
      });
      const text = await answer.body.text();
      if (answer.statusCode !== 200) {
        throw new Error(`status ${answer.statusCode}: ${text.slice(0, 200)}`);
      }
      const decoded = decodeWith(codec, JSON.parse(text));
      if (E.isLeft(decoded)) throw decoded.left;
      return decoded.right;
    } catch (error) {
      throw new LogUnavailableError(
        `log service ${options.url}: ${describeError(error)}; check that it runs and that log.url is right`,
        {cause: error},
      );
    }
  }

  return {
    async append(stream, values) {
      const answer = await request(
        appendCodec,
        'POST',
        `/streams/${stream}/records`,
        options.timeoutMs,
        JSON.stringify({records: values}),
      );
      return answer.offset;
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
