import {IncomingMessage, ServerResponse} from 'node:http';
import {pipeline} from 'node:stream';
import {FastifyInstance} from 'fastify';
import {
  asId,
  BackendServerId,
  Clock,
  clampNumber,
  Logger,
  Millis,
  NodeId,
  PartnerId,
  Random,
  RequestId,
} from '../base/index.js';
import {Configuration, Route, Service} from '../config/index.js';
import {
  buildStreamServer,
  Guard,
  GuardAnswer,
  GuardCall,
  hasBody,
  pickForwardHeaders,
  SlotLoad,
  watchClose,
} from '../guard/index.js';
import {JudgedServer} from '../health/index.js';
import {HeldKey, KeyClient} from '../once/index.js';
import {AccountTable} from './accounts.js';
import {readBody, RequestBody} from './body.js';
import {CallerError, writeCallerError} from './caller_error.js';
import {chooseServer} from './choose.js';
import {forwardBody, KeyGate} from './keyed.js';
import {RemoteGuards} from './remote_guard.js';
import {RetryBudget} from './retry_budget.js';
import {RouteTable} from './route_table.js';

/** What the entry needs from the rest of the node. */
export interface EntryContext {
  readonly node: NodeId;
  readonly guard: Guard;
  readonly remotes: RemoteGuards;
  readonly keys: Pick<KeyClient, 'claim'>;
  /** Backend servers of a service with the verdict of the exclusion rule. */
  judge(service: Service): readonly JudgedServer[];
  /** Called when the node of a server cannot be reached, or was reached again. */
  onReach(node: NodeId, reached: boolean): void;
  isLeaving(): boolean;
}

const maxAttempts = 3;
const maxTimeoutMs: Millis = 600_000;

/** One caller request after it was matched and admitted. */
interface Job {
  readonly requestId: RequestId;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly route: Route;
  readonly service: Service;
  readonly partner: PartnerId;
  readonly deadline: Millis;
  readonly body: RequestBody;
  readonly signal: AbortSignal;
  /** Set if this request has an idempotency key; it may be sent because it holds the key. */
  readonly held?: HeldKey;
}

/** Takes callers' requests and leads each to one backend server. */
export class Entry {
  readonly app: FastifyInstance;
  private routes: RouteTable;
  private accounts: AccountTable;
  private readonly budget: RetryBudget;
  private readonly keyGate: KeyGate;
  private readonly loads = new Map<BackendServerId, SlotLoad>();
  private readonly inFlight = new Map<BackendServerId, number>();
  private sequence = 0;

  constructor(
    private readonly context: EntryContext,
    private config: Configuration,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {
    this.routes = new RouteTable(config);
    this.accounts = new AccountTable(config);
    this.budget = new RetryBudget(clock);
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

    const job: Job = {
      requestId,
      request,
      response,
      route,
      service,
      partner: account.partner,
      deadline: this.clock.getTime() + timeoutMs,
      body: hasBody(request) ? await readBody(request) : {kind: 'none'},
      signal: watchClose(response),
    };
    const admission = isIdempotent(job)
      ? {}
      : await this.keyGate.admit(job, account.id);
    if (admission !== 'answered') await this.run({...job, ...admission});
  }

  private async run(job: Job): Promise<void> {
    const tried = new Set<BackendServerId>();
    this.budget.recordRequest();
    for (let attempt = 1; ; attempt += 1) {
      const judged = this.context.judge(job.service);
      const choice = chooseServer(
        judged,
        tried,
        this.makeLoadView(),
        this.random,
      );
      this.logDecision(job, attempt, judged, choice?.server, choice?.reason);
      if (!choice) {
        const kind = tried.size > 0 ? 'busy' : 'no-server';
        return this.refuse(job, {kind, ran: 'no'});
      }
      const {server} = choice.server.known.report;
      tried.add(server);
      const answer = await this.send(job, choice.server);
      if (job.signal.aborted) return this.closeAnswer(answer);
      if (answer.kind === 'answer') return this.answer(job, answer, server);
      const next = this.findNextStep(job, answer, attempt);
      if (next !== 'retry') return this.refuse(job, next);
    }
  }

  /** Decides after an attempt without an answer: retry, or what the caller is told. */
  private findNextStep(
    job: Job,
    answer: Exclude<GuardAnswer, {kind: 'answer'}>,
    attempt: number,
  ): 'retry' | CallerError {
    const notRun = answer.kind === 'refused';
    const inTime = this.clock.getTime() < job.deadline;
    const repeatable = job.body.kind !== 'stream';
    const allowed = notRun || isIdempotent(job);
    if (
      allowed &&
      repeatable &&
      inTime &&
      attempt < maxAttempts &&
      this.budget.useRetry()
    ) {
      return 'retry';
    }
    if (answer.kind === 'refused') {
      return {
        kind: answer.reason === 'deadline' ? 'deadline' : 'busy',
        ran: 'no',
      };
    }
    return {
      kind: answer.reason === 'timeout' ? 'deadline' : 'server-failed',
      ran: 'unknown',
    };
  }

  private async send(job: Job, judged: JudgedServer): Promise<GuardAnswer> {
    const {report, record} = judged.known;
    const {server} = report;
    const headers = pickForwardHeaders(job.request.headers);
    delete headers.authorization;
    const call: GuardCall = {
      requestId: job.requestId,
      server,
      partner: job.partner,
      method: job.request.method ?? 'GET',
      path: job.request.url ?? '/',
      headers,
      body:
        job.body.kind === 'none'
          ? null
          : job.body.kind === 'held'
            ? job.body.bytes
            : job.body.stream,
      deadline: job.deadline,
      signal: job.signal,
    };
    this.inFlight.set(server, this.countInFlight(server) + 1);
    const isLocal = record.node === this.context.node;
    const answer = isLocal
      ? await this.context.guard.serve(call)
      : await this.context.remotes.serve(record.dataAddress, call);
    this.inFlight.set(server, this.countInFlight(server) - 1);
    if ('load' in answer && answer.load) this.loads.set(server, answer.load);
    if (!isLocal) {
      const lost = answer.kind === 'refused' && answer.reason === 'unreachable';
      this.context.onReach(record.node, !lost);
    }
    return answer;
  }

  private answer(
    job: Job,
    answer: Extract<GuardAnswer, {kind: 'answer'}>,
    server: BackendServerId,
  ): void {
    job.response.writeHead(answer.status, {
      ...answer.headers,
      'fescuewheel-request-id': job.requestId,
    });
    const body = job.held ? forwardBody(answer, job.held) : answer.body;
    pipeline(body, job.response, error => {
      this.logger.info(
        {
          requestId: job.requestId,
          server,
          status: answer.status,
          whole: !error,
        },
        'answered',
      );
      // Ending the connection tells the caller that the answer is not whole.
      if (error) job.response.destroy();
    });
  }

  private refuse(job: Job, error: CallerError): void {
    this.logger.info({requestId: job.requestId, ...error}, 'not answered');
    if (error.ran === 'no') job.held?.release();
    if (!job.response.destroyed) {
      writeCallerError(job.response, job.requestId, error);
    }
  }

  private closeAnswer(answer: GuardAnswer): void {
    if (answer.kind === 'answer') answer.body.destroy();
  }

  private logDecision(
    job: Job,
    attempt: number,
    judged: readonly JudgedServer[],
    server: JudgedServer | undefined,
    reason: string | undefined,
  ): void {
    const excluded: Record<string, number> = {};
    for (const {verdict} of judged) {
      if (verdict.kind !== 'excluded') continue;
      excluded[verdict.reason] = (excluded[verdict.reason] ?? 0) + 1;
    }
    this.logger.info(
      {
        requestId: job.requestId,
        service: job.service.id,
        route: job.route.id,
        attempt,
        server: server?.known.report.server ?? null,
        reason: reason ?? 'none-left',
        candidates: judged.length,
        excluded,
      },
      'routed',
    );
  }

  private makeLoadView() {
    return {
      getLoad: (server: BackendServerId) => this.loads.get(server),
      countInFlight: (server: BackendServerId) => this.countInFlight(server),
    };
  }

  private countInFlight(server: BackendServerId): number {
    return this.inFlight.get(server) ?? 0;
  }

  private makeRequestId(): RequestId {
    this.sequence += 1;
    const start = Math.floor(this.clock.getTime()).toString(36);
    return asId<RequestId>(
      `${this.context.node}-${start}-${this.sequence.toString(36)}`,
    );
  }
}

function isIdempotent(job: Job): boolean {
  return (
    job.route.idempotent === 'always' ||
    ['GET', 'HEAD', 'OPTIONS'].includes(job.request.method ?? '')
  );
}

/** Time the caller gives, undefined if its header is malformed. */
function parseTimeout(
  request: IncomingMessage,
  service: Service,
): Millis | undefined {
  const header = request.headers['fescuewheel-timeout-ms'];
  if (header === undefined) return service.timeoutMs;
  const value = Number(header);
  if (!Number.isInteger(value) || value < 1) return undefined;
  return clampNumber(value, 1, maxTimeoutMs);
}
