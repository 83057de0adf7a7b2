import {IncomingMessage, ServerResponse} from 'node:http';
import {pipeline} from 'node:stream';
import {FastifyInstance} from 'fastify';
import {
  asId,
  BackendServerId,
  Clock,
  Logger,
  NodeId,
  Random,
  RequestId,
} from '../base/index.js';
import {Configuration, Service} from '../config/index.js';
import {
  buildStreamServer,
  Guard,
  GuardResult,
  GuardCall,
  pickForwardHeaders,
} from '../guard/index.js';
import {ServerWithVerdict} from '../health/index.js';
import {KeyClient} from '../once/index.js';
import {AccountTable} from './accounts.js';
import {AttemptRunner, GuardResponse} from './attempts.js';
import {BodyReader, getSendableBody} from './body.js';
import {CallerError, writeCallerError} from './caller_error.js';
import {Candidates} from './candidates.js';
import {ServerChoice} from './server_choice.js';
import {
  isIdempotent,
  AdmittedRequest,
  parseTimeout,
} from './admitted_request.js';
import {AccountLimits} from './account_limits.js';
import {forwardBody, IdempotencyKeyHandler} from './idempotency.js';
import {findReachability, Reachability} from './node_backoff.js';
import {GuardClient} from './guard_client.js';
import {RouteTable} from './route_table.js';

/** Dependencies of the entry on the rest of the node. */
export interface EntryContext {
  readonly node: NodeId;
  readonly localGuard: Guard;
  readonly guardClient: GuardClient;
  readonly keyClient: Pick<KeyClient, 'claim'>;
  /** Returns the backend servers of a service with the verdict of the exclusion rule on each. */
  evaluateServers(service: Service): readonly ServerWithVerdict[];
  /** Called after each exchange with another node, with the reachability that it showed. */
  onReachability(node: NodeId, reachability: Reachability): void;
  isShuttingDown(): boolean;
}

/** Accepts callers' requests, authenticates and routes them, and forwards each to a backend server. */
export class Entry {
  readonly app: FastifyInstance;
  private routes: RouteTable;
  private accounts: AccountTable;
  private readonly attemptRunner: AttemptRunner;
  private readonly limits: AccountLimits;
  private readonly bodyReader: BodyReader;
  private readonly keyHandler: IdempotencyKeyHandler;
  private sequence = 0;

  constructor(
    private readonly context: EntryContext,
    private config: Configuration,
    private readonly clock: Clock,
    random: Random,
    private readonly logger: Logger,
  ) {
    this.routes = new RouteTable(config);
    this.accounts = new AccountTable(config);
    this.attemptRunner = new AttemptRunner(
      service => context.evaluateServers(service),
      clock,
      random,
    );
    this.limits = new AccountLimits(clock);
    this.bodyReader = new BodyReader(clock);
    this.keyHandler = new IdempotencyKeyHandler(
      context.keyClient,
      clock,
      logger,
    );
    this.app = buildStreamServer((request, response) =>
      this.handle(request, response),
    );
  }

  /** Applies a new configuration. */
  setConfiguration(config: Configuration): void {
    this.config = config;
    this.routes = new RouteTable(config);
    this.accounts = new AccountTable(config);
    this.attemptRunner.setServices(config.services);
  }

  /** Clears the cached candidates; called when the verdicts on backend servers may have changed. */
  resetCandidates(): void {
    this.attemptRunner.candidates.reset();
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = this.makeRequestId();
    const refuse = (error: CallerError) =>
      writeCallerError(response, requestId, error);

    if (this.context.isShuttingDown()) {
      response.setHeader('connection', 'close');
      return refuse({kind: 'leaving', ran: 'no'});
    }
    const host = (request.headers.host ?? '').replace(/:\d+$/, '');
    const route = this.routes.find(host, request.url ?? '/');
    const service = route && this.config.services[route.service];
    if (!route || !service) return refuse({kind: 'no-route', ran: 'no'});
    const account = this.accounts.find(request);
    if (!account) return refuse({kind: 'unauthorized', ran: 'no'});
    const timeoutMs = parseTimeout(request, service);
    if (timeoutMs === undefined)
      return refuse({kind: 'bad-request', ran: 'no'});

    const limit = this.limits.admit(account);
    if (limit.kind === 'refused') {
      return refuse({kind: 'over-limit', ran: 'no'});
    }
    response.once('close', limit.release);

    const deadline = this.clock.getTime() + timeoutMs;
    const {body, signal, hasStalled} = await this.bodyReader.receive(
      request,
      response,
      {deadline, stallMs: service.stallMs},
    );
    const {partner} = account;
    const fields = {requestId, request, response, route, service, partner};
    if (!body) return this.refuse(fields, {kind: 'body-timeout', ran: 'no'});
    const admitted: AdmittedRequest = {...fields, deadline, body, signal};
    const keyFields = isIdempotent(admitted)
      ? {}
      : await this.keyHandler.claimKey(admitted, account.id);
    if (keyFields === 'answered') return;
    await this.forward({...admitted, ...keyFields});
    // The part of the body that arrived may have reached a backend server.
    if (hasStalled()) {
      this.refuse(fields, {kind: 'body-timeout', ran: 'unknown'});
    }
  }

  private async forward(admitted: AdmittedRequest): Promise<void> {
    const outcome = await this.attemptRunner.run({
      service: admitted.service,
      deadline: admitted.deadline,
      signal: admitted.signal,
      isIdempotent: isIdempotent(admitted),
      canResendBody: () => admitted.body.kind !== 'stream',
      sendToServer: (server, mayQueue) =>
        this.sendToServer(admitted, server, mayQueue),
      onServerChoice: (attempt, candidates, choice) =>
        this.logServerChoice(admitted, attempt, candidates, choice),
    });
    switch (outcome.kind) {
      case 'answered':
        return this.sendResponse(admitted, outcome.response, outcome.server);
      case 'refused':
        return this.refuse(admitted, outcome.error);
      case 'gone':
        return undefined;
    }
  }

  private async sendToServer(
    admitted: AdmittedRequest,
    candidate: ServerWithVerdict,
    mayQueue: boolean,
  ): Promise<GuardResult> {
    const {report, record} = candidate.known;
    const headers = pickForwardHeaders(admitted.request.headers);
    delete headers.authorization;
    const call: GuardCall = {
      requestId: admitted.requestId,
      server: report.server,
      partner: admitted.partner,
      method: admitted.request.method ?? 'GET',
      path: admitted.request.url ?? '/',
      headers,
      body: getSendableBody(admitted.body),
      deadline: admitted.deadline,
      signal: admitted.signal,
      mayQueue,
    };
    if (record.node === this.context.node)
      return this.context.localGuard.serve(call);
    const result = await this.context.guardClient.send(
      record.dataAddress,
      call,
    );
    const reachability = call.signal.aborted
      ? 'unknown'
      : findReachability(result);
    this.context.onReachability(record.node, reachability);
    if (reachability === 'lost' || reachability === 'broken')
      this.resetCandidates();
    return result;
  }

  private sendResponse(
    admitted: AdmittedRequest,
    backendResponse: GuardResponse,
    server: BackendServerId,
  ): void {
    admitted.response.writeHead(backendResponse.status, {
      ...backendResponse.headers,
      // Otherwise the caller could send its next request on this connection while the node closes it.
      ...(this.context.isShuttingDown() && {connection: 'close'}),
      'fescuewheel-request-id': admitted.requestId,
    });
    const body = admitted.heldKey
      ? forwardBody(backendResponse, admitted.heldKey)
      : backendResponse.body;
    pipeline(body, admitted.response, error => {
      if (error) {
        this.logger.info(
          {requestId: admitted.requestId, server},
          'response body transfer failed',
        );
      }
      // Closing the connection signals the caller that the response is incomplete.
      if (error) admitted.response.destroy();
    });
  }

  private refuse(
    {
      requestId,
      request,
      response,
      heldKey,
    }: Pick<AdmittedRequest, 'requestId' | 'request' | 'response' | 'heldKey'>,
    error: CallerError,
  ): void {
    this.logger.info({requestId, ...error}, 'request failed');
    if (error.ran === 'no') heldKey?.release();
    if (response.destroyed || response.headersSent) return;
    // Close the connection instead of reading the rest of a body that is not used.
    if (!request.complete) response.setHeader('connection', 'close');
    writeCallerError(response, requestId, error);
  }

  private logServerChoice(
    admitted: AdmittedRequest,
    attempt: number,
    candidates: Candidates,
    choice: ServerChoice | undefined,
  ): void {
    this.logger.info(
      {
        requestId: admitted.requestId,
        service: admitted.service.id,
        route: admitted.route.id,
        attempt,
        server: choice?.server.known.report.server ?? null,
        reason: choice?.reason ?? 'none-left',
        candidates: candidates.knownCount,
        excluded: candidates.excludedCounts,
      },
      'routed',
    );
  }

  private makeRequestId(): RequestId {
    this.sequence += 1;
    const timestamp = Math.floor(this.clock.getTime()).toString(36);
    return asId<RequestId>(
      `${this.context.node}-${timestamp}-${this.sequence.toString(36)}`,
    );
  }
}
