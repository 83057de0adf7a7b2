import Fastify, {FastifyInstance} from 'fastify';
import {Clock, Millis, systemClock} from '../base/index.js';

/** Faults that tests set at run time with `POST /faults`. */
export interface LogFaults {
  /** Connections are closed without a response and no request takes effect. */
  readonly down: boolean;
  /** Delay of each response. */
  readonly delayMs: Millis;
  /** Number of coming appends that take effect but receive no response. */
  readonly loseReplies: number;
}

interface StoredRecord {
  readonly atMs: Millis;
  readonly value: unknown;
}

interface Stream {
  firstOffset: number;
  records: StoredRecord[];
  readonly waiting: Set<() => void>;
}

const noFaults: LogFaults = {down: false, delayMs: 0, loseReplies: 0};

/** Builds the stand-in for the platform's log service; records older than `retentionMs` are removed. */
export function buildLogService(
  retentionMs: Millis,
  clock: Clock = systemClock,
): FastifyInstance {
  const app = Fastify({
    bodyLimit: 64 * 1024 * 1024,
    forceCloseConnections: true,
  });
  const streams = new Map<string, Stream>();
  let faults = noFaults;
  let appends = 0;

  function getStream(name: string): Stream {
    const known = streams.get(name);
    if (known) {
      removeExpired(known);
      return known;
    }
    const stream: Stream = {firstOffset: 0, records: [], waiting: new Set()};
    streams.set(name, stream);
    return stream;
  }

  function removeExpired(stream: Stream): void {
    const oldest = clock.getTime() - retentionMs;
    const firstKept = stream.records.findIndex(record => record.atMs >= oldest);
    const expired = firstKept < 0 ? stream.records.length : firstKept;
    stream.firstOffset += expired;
    stream.records.splice(0, expired);
  }

  app.addHook('onRequest', async (request, reply) => {
    if (request.url.startsWith('/faults')) return;
    if (faults.down) {
      reply.hijack();
      request.raw.destroy();
      return;
    }
    if (faults.delayMs > 0) await clock.sleep(faults.delayMs);
  });

  app.post<{Params: {stream: string}; Body: {records: unknown[]}}>(
    '/streams/:stream/records',
    async (request, reply) => {
      const stream = getStream(request.params.stream);
      const offset = stream.firstOffset + stream.records.length;
      const atMs = clock.getTime();
      for (const value of request.body.records) {
        stream.records.push({atMs, value});
      }
      appends += 1;
      for (const wake of [...stream.waiting]) wake();
      if (faults.loseReplies > 0) {
        faults = {...faults, loseReplies: faults.loseReplies - 1};
        reply.hijack();
        request.raw.destroy();
        return reply;
      }
      return {offset};
    },
  );

  app.get<{
    Params: {stream: string};
    Querystring: {from?: string; limit?: string; waitMs?: string};
  }>('/streams/:stream/records', async request => {
    const stream = getStream(request.params.stream);
    const from = Number(request.query.from ?? 0);
    const limit = Number(request.query.limit ?? 1000);
    const waitMs = Number(request.query.waitMs ?? 0);
    if (from >= stream.firstOffset + stream.records.length && waitMs > 0) {
      await waitForRecord(stream, waitMs);
      removeExpired(stream);
    }
    const start = Math.max(from, stream.firstOffset);
    const index = start - stream.firstOffset;
    return {
      firstOffset: stream.firstOffset,
      nextOffset: stream.firstOffset + stream.records.length,
      records: stream.records
        .slice(index, index + limit)
        .map((record, i) => ({offset: start + i, ...record})),
    };
  });

  async function waitForRecord(stream: Stream, waitMs: Millis): Promise<void> {
    const stop = new AbortController();
    const stopWaiting = () => stop.abort();
    stream.waiting.add(stopWaiting);
    await clock.sleep(waitMs, stop.signal);
    stream.waiting.delete(stopWaiting);
  }

  app.post<{Body: Partial<LogFaults>}>('/faults', async request => {
    faults = {...faults, ...request.body};
    return faults;
  });
  app.get('/stats', async () => ({
    appends,
    streams: [...streams].map(([name, stream]) => ({
      name,
      records: stream.records.length,
      firstOffset: stream.firstOffset,
    })),
  }));
  return app;
}
