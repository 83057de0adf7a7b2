import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {asId, Clock, Logger, Millis, Random, RequestId} from '../base/index.js';
import {WeightedRoundRobin} from '../dispatch/index.js';
import {platformHeaders} from '../../platform/headers.js';
import {CallerResponse, LocalErrorCode} from './caller_response.js';
import {RequestTask, TaskContext} from './request_task.js';
import {BodyBudgets} from './memory_budgets.js';
import {pickForBackend} from './raw_headers.js';
import {readRequestBody} from './request_body.js';
import {Routing, RoutingRoute, RoutingTable} from './routing.js';

/** Margin before the caller's deadline for the response to reach it, which takes 1 to 8 ms one way. */
const responseMarginMs: Millis = 25;
/** Added to the configured header and idle timeouts, so that no request arrives on an idle connection being closed. */
const connectionTimeoutMarginMs: Millis = 1000;
/** Retry-After of errors that are expected to pass soon. */
const transientRetryAfterMs: Millis = 300;
/** Must exceed every header limit that operators configure; a typical one is 16 KiB. */
const maxHeaderBytes = 256 * 1024;
/** Time after the deadline of a request for its caller to take the rest of the response. */
const takeTimeoutMs: Millis = 5000;

/** What the entry needs from the rest of the node. */
export interface EntryContext extends TaskContext {
  isShuttingDown(): boolean;
  /** Request bodies held by the node; a request whose body does not fit is refused as not run. */
  readonly bodies: BodyBudgets;
  /** Whether callers have had time to switch to other nodes, so that new requests are refused. */
  isRefusingRequests(): boolean;
}

/** Accepts the requests of the callers on this VM. */
export class Entry {
  readonly server: Server;
  private routingTable: RoutingTable | undefined;
  private readonly serviceSelector: WeightedRoundRobin;
  private openRequests = 0;

  constructor(
    private readonly context: EntryContext,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {
    this.serviceSelector = new WeightedRoundRobin(random);
    const options = {
      keepAlive: true,
      noDelay: true,
      maxHeaderSize: maxHeaderBytes,
    };
    this.server = createServer(options, (req, res) => {
      this.openRequests += 1;
      void this.serve(req, res).finally(() => (this.openRequests -= 1));
    });
    this.server.requestTimeout = 0;
  }

  /** Applies a version of the configuration; requests in progress finish under the old one. */
  setRouting(routing: Routing): void {
    this.routingTable = new RoutingTable(routing);
    const {headerTimeoutMs, idleTimeoutMs} = routing.limits;
    this.server.headersTimeout = headerTimeoutMs + connectionTimeoutMarginMs;
    this.server.keepAliveTimeout = idleTimeoutMs + connectionTimeoutMarginMs;
  }

  countOpen(): number {
    return this.openRequests;
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
    const callerResponse = new CallerResponse(response, requestId, () =>
      this.context.isShuttingDown(),
    );
    response.on('error', () => response.destroy());
    if (this.context.isRefusingRequests()) {
      return this.refuse(callerResponse, requestId, 'leaving');
    }
    const {routingTable} = this;
    if (!routingTable)
      return this.refuse(callerResponse, requestId, 'not-ready');
    const route = routingTable.find(
      request.headers.host ?? '',
      request.url ?? '',
    );
    if (!route) return this.refuse(callerResponse, requestId, 'no-route');
    if (!requestId)
      return this.refuse(callerResponse, requestId, 'bad-request');
    const deadlineAt = receivedAt + readTimeLimit(request, route);
    const read = await readRequestBody(
      request,
      {
        maxBytes: routingTable.routing.limits.maxBodyBytes,
        timeoutMs: deadlineAt - receivedAt,
        budgets: this.context.bodies,
      },
      this.clock,
    );
    if (read.kind === 'too-large' || read.kind === 'busy') {
      return this.refuse(callerResponse, requestId, read.kind);
    }
    if (read.kind !== 'complete') {
      this.logger.info(
        {requestId, result: 'caller-left'},
        'request body incomplete',
      );
      return;
    }
    const task = new RequestTask(
      {
        requestId,
        route,
        service: this.serviceSelector.choose(route.id, route.shares),
        method: request.method ?? 'GET',
        target: request.url ?? '/',
        headers: pickForBackend(request.rawHeaders),
        body: read.body,
        receivedAt,
        deadlineAt,
      },
      callerResponse,
      this.context,
      this.clock,
      this.random,
      this.logger,
    );
    response.once('close', () => {
      task.cancel();
      task.releaseMemory();
    });
    await task.run().finally(() => read.release());
    if (response.closed) return task.releaseMemory();
    this.scheduleAbort(response, deadlineAt);
  }

  private refuse(
    reply: CallerResponse,
    requestId: RequestId | undefined,
    error: Exclude<LocalErrorCode, 'timeout' | 'server-failed'>,
  ): void {
    const isTransient = ['not-ready', 'busy', 'leaving'].includes(error);
    reply.sendError(error, isTransient ? transientRetryAfterMs : undefined);
    this.context.metrics.requests.inc({result: error});
    this.logger.info(
      {requestId, result: error, version: this.routingTable?.routing.version},
      'request refused',
    );
  }

  /** Ends a response that its caller does not take, so that its memory does not stay in use. */
  private scheduleAbort(response: ServerResponse, deadlineAt: Millis): void {
    if (response.closed) return;
    const timeoutMs = deadlineAt + takeTimeoutMs - this.clock.getTime();
    const timer = this.clock.startTimer(timeoutMs, () => response.destroy());
    response.once('close', () => timer.cancel());
  }
}

/** Time until the node must respond: the caller's timeout less the margin, at most the timeout of the route. */
function readTimeLimit(request: IncomingMessage, route: RoutingRoute): Millis {
  const header = Number(request.headers[platformHeaders.remainingMs] ?? NaN);
  const callerMs = header > 0 ? header : route.timeoutMs;
  return Math.max(1, Math.min(callerMs - responseMarginMs, route.timeoutMs));
}
