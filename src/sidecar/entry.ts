import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {asId, Clock, Logger, Millis, Random, RequestId} from '../base/index.js';
import {WeightedRoundRobin} from '../dispatch/index.js';
import {platformHeaders} from '../../platform/headers.js';
import {CallerResponse, LocalErrorCode} from './caller_response.js';
import {RequestTask, TaskContext} from './request_task.js';
import {pickForBackend} from './raw_headers.js';
import {Routing, RoutingRoute, RoutingTable} from './routing.js';

/** The way of an answer to the caller, 1 to 8 ms one way at the first users, is left over by answering this early. */
const answerLeadMs: Millis = 25;
/** Idle connections stay open this much longer than callers may use them, so that no request meets a close. */
const idleSlackMs: Millis = 1000;
const notReadyRetryMs: Millis = 300;
/** Above every limit that operators set on headers, 16 KiB at the first users. */
const maxHeaderBytes = 256 * 1024;
/** Bodies held at once by one node; a further one is refused as not run. */
const maxHeldBytes = 96 * 1024 * 1024;

/** What the entry needs from the rest of the node. */
export interface EntryContext extends TaskContext {
  isShuttingDown(): boolean;
  /** Whether callers have had the time to turn to other nodes, so that what comes now is refused. */
  isRefusingRequests(): boolean;
}

/** Takes the requests of the callers on this VM. */
export class Entry {
  readonly server: Server;
  private table: RoutingTable | undefined;
  private readonly split: WeightedRoundRobin;
  private heldBytes = 0;
  private open = 0;

  constructor(
    private readonly context: EntryContext,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {
    this.split = new WeightedRoundRobin(random);
    const options = {
      keepAlive: true,
      noDelay: true,
      maxHeaderSize: maxHeaderBytes,
    };
    this.server = createServer(options, (req, res) => {
      this.open += 1;
      void this.serve(req, res).finally(() => (this.open -= 1));
    });
    this.server.requestTimeout = 0;
  }

  /** Takes a version into force; requests under way end under the old one. */
  setRouting(routing: Routing): void {
    this.table = new RoutingTable(routing);
    const {headerTimeoutMs, idleTimeoutMs} = routing.limits;
    this.server.headersTimeout = headerTimeoutMs + idleSlackMs;
    this.server.keepAliveTimeout = idleTimeoutMs + idleSlackMs;
  }

  countOpen(): number {
    return this.open;
  }

  /** Closes the port and all its connections at once. */
  abort(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const receivedAt = this.clock.getTime();
    const id = request.headers[platformHeaders.requestId];
    const requestId = typeof id === 'string' ? asId<RequestId>(id) : undefined;
    const reply = new CallerResponse(response, requestId, () =>
      this.context.isShuttingDown(),
    );
    response.on('error', () => response.destroy());
    if (this.context.isRefusingRequests()) {
      return this.refuse(reply, requestId, 'leaving');
    }
    const {table} = this;
    if (!table) return this.refuse(reply, requestId, 'not-ready');
    const route = table.find(request.headers.host ?? '', request.url ?? '');
    if (!route) return this.refuse(reply, requestId, 'no-route');
    if (!requestId) return this.refuse(reply, requestId, 'bad-request');
    const deadlineAt = receivedAt + readTimeLimit(request, route);
    const body = await this.readBody(
      request,
      table.routing.limits.maxBodyBytes,
      deadlineAt - receivedAt,
    );
    if (body === 'too-large' || body === 'busy') {
      return this.refuse(reply, requestId, body);
    }
    if (body === 'gone') {
      this.logger.info({requestId, result: 'caller-left'}, 'body not whole');
      return;
    }
    const task = new RequestTask(
      {
        requestId,
        route,
        service: this.split.choose(route.id, route.shares),
        method: request.method ?? 'GET',
        target: request.url ?? '/',
        headers: pickForBackend(request.rawHeaders),
        body: body.length > 0 ? body : null,
        receivedAt,
        deadlineAt,
      },
      reply,
      this.context,
      this.clock,
      this.random,
      this.logger,
    );
    response.once('close', () => task.cancel());
    this.heldBytes += body.length;
    await task.run().finally(() => (this.heldBytes -= body.length));
  }

  private refuse(
    reply: CallerResponse,
    requestId: RequestId | undefined,
    error: Exclude<LocalErrorCode, 'timeout' | 'server-failed'>,
  ): void {
    const isPassing = ['not-ready', 'busy', 'leaving'].includes(error);
    reply.sendError(error, isPassing ? notReadyRetryMs : undefined);
    this.context.metrics.requests.inc({result: error});
    this.logger.info(
      {requestId, result: error, version: this.table?.routing.version},
      'request refused',
    );
  }

  private readBody(
    request: IncomingMessage,
    maxBytes: number,
    timeoutMs: Millis,
  ): Promise<Buffer | 'too-large' | 'busy' | 'gone'> {
    return new Promise(resolve => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      const end = (result: Buffer | 'too-large' | 'busy' | 'gone') => {
        timer.cancel();
        resolve(result);
      };
      const timer = this.clock.startTimer(timeoutMs, () => {
        request.destroy();
        end('gone');
      });
      request.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > maxBytes || this.heldBytes + bytes > maxHeldBytes) {
          end(bytes > maxBytes ? 'too-large' : 'busy');
          request.pause();
        } else {
          chunks.push(chunk);
        }
      });
      request.once('end', () => end(Buffer.concat(chunks)));
      request.once('error', () => end('gone'));
      request.once('close', () => end('gone'));
    });
  }
}

/** Time until the node must have answered: what the caller waits for, and at most the time limit of the route. */
function readTimeLimit(request: IncomingMessage, route: RoutingRoute): Millis {
  const header = Number(request.headers[platformHeaders.remainingMs] ?? NaN);
  const callerMs = header > 0 ? header : route.timeoutMs;
  return Math.max(1, Math.min(callerMs - answerLeadMs, route.timeoutMs));
}
