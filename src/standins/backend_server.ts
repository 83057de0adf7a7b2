import {createHash} from 'node:crypto';
import {IncomingMessage, ServerResponse} from 'node:http';
import Fastify, {FastifyInstance} from 'fastify';
import {Clock, Millis, systemClock} from '../base/index.js';

/**
 * Fault mode of the stand-in; its health endpoint reports ok in all of them. `slow` delays responses, `wrong` responds
 * with status 500, `cut` closes the connection after half of the body, `stall` sends nothing more after half of the
 * body, `silent` does not respond, and `flap` alternates between slow and healthy periods.
 */
export type FaultMode =
  'healthy' | 'slow' | 'wrong' | 'cut' | 'stall' | 'silent' | 'flap';

/** Faults that tests set at run time with `POST /faults`. */
export interface BackendFaults {
  readonly mode: FaultMode;
  /** Additional delay of each response in the modes slow and flap. */
  readonly slowMs: Millis;
  /** Share of requests that the fault affects, 0 to 1. */
  readonly share: number;
  /** In the mode flap: length of each slow and each healthy period. */
  readonly periodMs: Millis;
}

/** Options of the stand-in. */
export interface BackendOptions {
  readonly id: string;
  readonly slots: number;
  readonly workMs: Millis;
  /** Length of the cold start, during which an additional delay falls linearly from 3 times `workMs` to 0. */
  readonly coldStartMs: Millis;
  readonly clock?: Clock;
  /** Called for each run of a method other than GET, before the response is sent. */
  readonly onRun?: (run: RequestRun) => void;
}

/** The stand-in and its controls. */
export interface BackendServer {
  readonly app: FastifyInstance;
  getPhase(): 'ready' | 'draining';
  drain(): void;
}

/** One request that the stand-in has run. */
export interface RequestRun {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly key: string;
  readonly atMs: Millis;
}

/** Builds a backend server stand-in: limited slots, cold start, drain, shedding, cancellation, gray faults. */
export function buildBackendServer(options: BackendOptions): BackendServer {
  const clock = options.clock ?? systemClock;
  const startedAt = clock.getTime();
  const app = Fastify({forceCloseConnections: true});
  const runs: RequestRun[] = [];
  let faults: BackendFaults = {
    mode: 'healthy',
    slowMs: 1000,
    share: 1,
    periodMs: 2000,
  };
  let inFlight = 0;
  let served = 0;
  let phase: 'ready' | 'draining' = 'ready';

  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', (_request, payload, done) =>
    done(null, payload),
  );

  function getActiveFault(): FaultMode {
    // 37 and 100 are coprime, so the affected requests are spread evenly.
    const isAffected = (served * 37) % 100 < faults.share * 100;
    if (!isAffected) return 'healthy';
    if (faults.mode !== 'flap') return faults.mode;
    const period = Math.floor((clock.getTime() - startedAt) / faults.periodMs);
    return period % 2 === 0 ? 'slow' : 'healthy';
  }

  function computeWorkMs(fault: FaultMode): Millis {
    const age = clock.getTime() - startedAt;
    const coldMs =
      age < options.coldStartMs
        ? options.workMs * 3 * (1 - age / options.coldStartMs)
        : 0;
    return options.workMs + coldMs + (fault === 'slow' ? faults.slowMs : 0);
  }

  async function handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (inFlight >= options.slots) {
      response.writeHead(503, {'fescuewheel-not-run': 'true'});
      response.end('shed');
      return;
    }
    inFlight += 1;
    const fault = getActiveFault();
    served += 1;
    const cancelled = new AbortController();
    response.once('close', () => cancelled.abort());
    try {
      const body = await readBody(request);
      // A request counts as run from its start, even if it is cancelled later: the strictest interpretation for checks
      // that a request was not run.
      recordRun(request);
      await clock.sleep(computeWorkMs(fault), cancelled.signal);
      if (cancelled.signal.aborted) return;
      await writeAnswer(fault, request, response, body, cancelled.signal);
    } finally {
      inFlight -= 1;
    }
  }

  function recordRun(request: IncomingMessage): void {
    const run: RequestRun = {
      requestId: String(request.headers['fescuewheel-request-id'] ?? ''),
      method: request.method ?? '',
      path: request.url ?? '',
      key: String(request.headers['idempotency-key'] ?? ''),
      atMs: clock.getTime(),
    };
    runs.push(run);
    if (run.method !== 'GET') options.onRun?.(run);
  }

  async function writeAnswer(
    fault: FaultMode,
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
    cancelled: AbortSignal,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://backend');
    const size = Number(url.searchParams.get('size') ?? 0);
    const answer = Buffer.from(
      size > 0
        ? 'x'.repeat(size)
        : JSON.stringify({
            server: options.id,
            path: url.pathname + url.search,
            requestId: request.headers['fescuewheel-request-id'],
            received: body.length,
          }),
    );
    switch (fault) {
      case 'wrong':
        response.writeHead(500, {'content-type': 'text/plain'});
        response.end('internal error');
        return;
      case 'silent':
        await clock.sleep(600_000, cancelled);
        return;
      case 'cut':
      case 'stall':
        response.writeHead(200, {'content-length': answer.length});
        response.write(answer.subarray(0, Math.ceil(answer.length / 2)));
        if (fault === 'stall') await clock.sleep(600_000, cancelled);
        else await clock.sleep(5);
        response.destroy();
        return;
      case 'healthy':
      case 'slow':
      case 'flap':
        response.writeHead(request.method === 'POST' ? 201 : 200, {
          'content-type': 'application/json',
          'content-length': answer.length,
          'content-digest': `sha-256=:${createHash('sha256').update(answer).digest('base64')}:`,
        });
        response.end(answer);
    }
  }

  app.get('/health', async () => ({status: 'ok'}));
  app.get('/runs', async () => runs);
  app.get('/load', async () => ({inFlight, slots: options.slots}));
  app.post('/faults', async request => {
    const body = await readBody(request.raw);
    faults = {...faults, ...JSON.parse(body.toString())};
    return faults;
  });
  app.post('/drain', async () => {
    phase = 'draining';
    return {phase};
  });
  app.all('/*', async (request, reply) => {
    reply.hijack();
    await handleRequest(request.raw, reply.raw).catch(() =>
      reply.raw.destroy(),
    );
  });
  return {
    app,
    getPhase: () => phase,
    drain: () => {
      phase = 'draining';
    },
  };
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}
