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

/** What the entry needs from the rest of the node. */
export interface EntryContext {
  readonly node: NodeId;
  readonly localGuard: Guard;
  readonly guardClient: GuardClient;
  readonly keyClient: Pick<KeyClient, 'claim'>;
  /** Backend servers of a service with the verdict of the exclusion rule. */
  evaluateServers(service: Service): readonly ServerWithVerdict[];
  /** Called with what each exchange with another node shows of the way to it. */
  onReachability(node: NodeId, reach: Reachability): void;
  isShuttingDown(): boolean;
}

/** Takes callers' requests and leads each to one backend server. */
export class Entry {
  readonly app: FastifyInstance;
  private routes: RouteTable;
  private accounts: AccountTable;
  private readonly attempts: AttemptRunner;
  private readonly limits: AccountLimits;
  private readonly bodies: BodyReader;
  private readonly keyGate: IdempotencyKeyHandler;
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
    this.attempts = new AttemptRunner(
      service => context.evaluateServers(service),
      clock,
      random,
    );
    this.limits = new AccountLimits(clock);
    this.bodies = new BodyReader(clock);
    this.keyGate = new IdempotencyKeyHandler(context.keyClient, clock, logger);
    this.app = buildStreamServer((request, response) =>
      this.handle(request, response),
    );
  }

  /** Takes a configuration into force. */
  setConfiguration(config: Configuration): void {
    this.config = config;
    this.routes = new RouteTable(config);
    this.accounts = new AccountTable(config);
    this.attempts.removeUnconfigured(config.services);
  }

  /** Takes note that the verdicts on backend servers may have changed. */
  resetCandidates(): void {
    this.attempts.candidates.reset();
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
    const {body, signal, hasStalled} = await this.bodies.receive(
      request,
      response,
      {deadline, stallMs: service.stallMs},
    );
    const {partner} = account;
    const base = {requestId, request, response, route, service, partner};
    if (!body) return this.refuse(base, {kind: 'body-timeout', ran: 'no'});
    const job: AdmittedRequest = {...base, deadline, body, signal};
    const admission = isIdempotent(job)
      ? {}
      : await this.keyGate.claimKey(job, account.id);
    if (admission === 'answered') return;
    await this.run({...job, ...admission});
    // The part that arrived may have reached a backend server.
    if (hasStalled()) {
      this.refuse(base, {kind: 'body-timeout', ran: 'unknown'});
    }
  }

  private async run(job: AdmittedRequest): Promise<void> {
    const outcome = await this.attempts.run({
      service: job.service,
      deadline: job.deadline,
      signal: job.signal,
      isIdempotent: isIdempotent(job),
      canResendBody: () => job.body.kind !== 'stream',
      send: (server, mayQueue) => this.send(job, server, mayQueue),
      onServerChoice: (attempt, candidates, choice) =>
        this.logDecision(job, attempt, candidates, choice),
    });
    switch (outcome.kind) {
      case 'answered':
        return this.answer(job, outcome.response, outcome.server);
      case 'refused':
        return this.refuse(job, outcome.error);
      case 'gone':
        return undefined;
    }
  }

  private async send(
    job: AdmittedRequest,
    judged: ServerWithVerdict,
    mayQueue: boolean,
  ): Promise<GuardResult> {
    const {report, record} = judged.known;
    const headers = pickForwardHeaders(job.request.headers);
    delete headers.authorization;
    const call: GuardCall = {
      requestId: job.requestId,
      server: report.server,
      partner: job.partner,
      method: job.request.method ?? 'GET',
      path: job.request.url ?? '/',
      headers,
      body: getSendableBody(job.body),
      deadline: job.deadline,
      signal: job.signal,
      mayQueue,
    };
    if (record.node === this.context.node)
      return this.context.localGuard.serve(call);
    const answer = await this.context.guardClient.send(
      record.dataAddress,
      call,
    );
    const reach = call.signal.aborted ? 'unknown' : findReachability(answer);
    this.context.onReachability(record.node, reach);
    if (reach === 'lost' || reach === 'broken') this.resetCandidates();
    return answer;
  }

  private answer(
    job: AdmittedRequest,
    answer: GuardResponse,
    server: BackendServerId,
  ): void {
    job.response.writeHead(answer.status, {
      ...answer.headers,
      // A connection that ends with its answer can't be closed under the caller's next request.
      ...(this.context.isShuttingDown() && {connection: 'close'}),
      'fescuewheel-request-id': job.requestId,
    });
    const body = job.held ? forwardBody(answer, job.held) : answer.body;
    pipeline(body, job.response, error => {
      if (error) {
        this.logger.info({requestId: job.requestId, server}, 'answer broken');
      }
      // Ending the connection tells the caller that the answer is not whole.
      if (error) job.response.destroy();
    });
  }

  private refuse(
    {
      requestId,
      request,
      response,
      held,
    }: Pick<AdmittedRequest, 'requestId' | 'request' | 'response' | 'held'>,
    error: CallerError,
  ): void {
    this.logger.info({requestId, ...error}, 'not answered');
    if (error.ran === 'no') held?.release();
    if (response.destroyed || response.headersSent) return;
    // Reading on would let a refused caller send a body that nobody wants.
    if (!request.complete) response.setHeader('connection', 'close');
    writeCallerError(response, requestId, error);
  }

  private logDecision(
    job: AdmittedRequest,
    attempt: number,
    candidates: Candidates,
    choice: ServerChoice | undefined,
  ): void {
    this.logger.info(
      {
        requestId: job.requestId,
        service: job.service.id,
        route: job.route.id,
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
    const start = Math.floor(this.clock.getTime()).toString(36);
    return asId<RequestId>(
      `${this.context.node}-${start}-${this.sequence.toString(36)}`,
    );
  }
}
