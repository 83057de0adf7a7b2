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
  GuardAnswer,
  GuardCall,
  pickForwardHeaders,
} from '../guard/index.js';
import {ServerWithVerdict} from '../health/index.js';
import {KeyClient} from '../once/index.js';
import {AccountTable} from './accounts.js';
import {Attempts, WholeAnswer} from './attempts.js';
import {BodyReader, openBody} from './body.js';
import {CallerError, writeCallerError} from './caller_error.js';
import {Candidates} from './candidates.js';
import {Choice} from './choose.js';
import {isIdempotent, Job, parseTimeout} from './job.js';
import {AccountLimits} from './limits.js';
import {forwardBody, KeyGate} from './keyed.js';
import {findReach, Reach} from './reach.js';
import {RemoteGuards} from './remote_guard.js';
import {RouteTable} from './route_table.js';

/** What the entry needs from the rest of the node. */
export interface EntryContext {
  readonly node: NodeId;
  readonly guard: Guard;
  readonly remotes: RemoteGuards;
  readonly keys: Pick<KeyClient, 'claim'>;
  /** Backend servers of a service with the verdict of the exclusion rule. */
  judge(service: Service): readonly ServerWithVerdict[];
  /** Called with what each exchange with another node shows of the way to it. */
  onReach(node: NodeId, reach: Reach): void;
  isLeaving(): boolean;
}

/** Takes callers' requests and leads each to one backend server. */
export class Entry {
  readonly app: FastifyInstance;
  private routes: RouteTable;
  private accounts: AccountTable;
  private readonly attempts: Attempts;
  private readonly limits: AccountLimits;
  private readonly bodies: BodyReader;
  private readonly keyGate: KeyGate;
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
    this.attempts = new Attempts(
      service => context.judge(service),
      clock,
      random,
    );
    this.limits = new AccountLimits(clock);
    this.bodies = new BodyReader(clock);
    this.keyGate = new KeyGate(context.keys, clock, logger);
    this.app = buildStreamServer((request, response) =>
      this.handle(request, response),
    );
  }

  /** Takes a configuration into force. */
  setConfiguration(config: Configuration): void {
    this.config = config;
    this.routes = new RouteTable(config);
    this.accounts = new AccountTable(config);
    this.attempts.update(config.services);
  }

  /** Takes note that the verdicts on backend servers may have changed. */
  updateServers(): void {
    this.attempts.candidates.reset();
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = this.makeRequestId();
    const refuse = (error: CallerError) =>
      writeCallerError(response, requestId, error);

    if (this.context.isLeaving()) {
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
    const job: Job = {...base, deadline, body, signal};
    const admission = isIdempotent(job)
      ? {}
      : await this.keyGate.admit(job, account.id);
    if (admission === 'answered') return;
    await this.run({...job, ...admission});
    // The part that arrived may have reached a backend server.
    if (hasStalled()) {
      this.refuse(base, {kind: 'body-timeout', ran: 'unknown'});
    }
  }

  private async run(job: Job): Promise<void> {
    const outcome = await this.attempts.run({
      service: job.service,
      deadline: job.deadline,
      signal: job.signal,
      isIdempotent: isIdempotent(job),
      canRepeat: () => job.body.kind !== 'stream',
      send: (server, mayQueue) => this.send(job, server, mayQueue),
      onChoice: (attempt, candidates, choice) =>
        this.logDecision(job, attempt, candidates, choice),
    });
    switch (outcome.kind) {
      case 'answered':
        return this.answer(job, outcome.answer, outcome.server);
      case 'refused':
        return this.refuse(job, outcome.error);
      case 'gone':
        return undefined;
    }
  }

  private async send(
    job: Job,
    judged: ServerWithVerdict,
    mayQueue: boolean,
  ): Promise<GuardAnswer> {
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
      body: openBody(job.body),
      deadline: job.deadline,
      signal: job.signal,
      mayQueue,
    };
    if (record.node === this.context.node)
      return this.context.guard.serve(call);
    const answer = await this.context.remotes.serve(record.dataAddress, call);
    const reach = call.signal.aborted ? 'unknown' : findReach(answer);
    this.context.onReach(record.node, reach);
    if (reach === 'lost' || reach === 'broken') this.updateServers();
    return answer;
  }

  private answer(job: Job, answer: WholeAnswer, server: BackendServerId): void {
    job.response.writeHead(answer.status, {
      ...answer.headers,
      // A connection that ends with its answer can't be closed under the caller's next request.
      ...(this.context.isLeaving() && {connection: 'close'}),
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
    }: Pick<Job, 'requestId' | 'request' | 'response' | 'held'>,
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
    job: Job,
    attempt: number,
    candidates: Candidates,
    choice: Choice | undefined,
  ): void {
    this.logger.info(
      {
        requestId: job.requestId,
        service: job.service.id,
        route: job.route.id,
        attempt,
        server: choice?.server.known.report.server ?? null,
        reason: choice?.reason ?? 'none-left',
        candidates: candidates.known,
        excluded: candidates.excluded,
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
