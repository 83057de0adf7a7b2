import {
  BackendServerId,
  Clock,
  Millis,
  Random,
  ServiceId,
} from '../base/index.js';
import {Service} from '../config/index.js';
import {GuardResult, RefusalReason} from '../guard/index.js';
import {ServerWithVerdict} from '../health/index.js';
import {CallerError} from './caller_error.js';
import {CandidateCache, Candidates} from './candidates.js';
import {ServerChoice, chooseServer, hasFreeSlot} from './server_choice.js';
import {ServerLoads} from './server_loads.js';
import {RetryBudget, RetryBudgets} from './retry_budget.js';

/** The parts of a request that selecting servers and retrying need. */
export interface AttemptRequest {
  readonly service: Service;
  readonly deadline: Millis;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
  readonly isIdempotent: boolean;
  /** Whether the body can still be sent from its first byte; false for a streamed body. */
  canResendBody(): boolean;
  /** Sends the request to one backend server; `mayQueue` allows it to wait for a slot there. Never throws. */
  sendToServer(
    server: ServerWithVerdict,
    mayQueue: boolean,
  ): Promise<GuardResult>;
  /** Called before each attempt; `choice` is undefined if no server is left to try. */
  onServerChoice(
    attempt: number,
    candidates: Candidates,
    choice?: ServerChoice,
  ): void;
}

/** Status and headers of a backend server's response, with its body not yet read. */
export type GuardResponse = Extract<GuardResult, {kind: 'answer'}>;

/** The result of all attempts of a request; `gone` means that the caller disconnected. */
export type AttemptOutcome =
  | {
      readonly kind: 'answered';
      readonly response: GuardResponse;
      readonly server: BackendServerId;
    }
  | {readonly kind: 'refused'; readonly error: CallerError}
  | {readonly kind: 'gone'};

/** Times that an idempotent request may be executed, each time on another backend server. */
const maxExecutions = 3;
/** Backend servers that are tried for a free slot; together with the retry budget this bounds the search. */
const maxAttempts = 6;

/** Results of the attempts of one request so far. */
interface AttemptProgress {
  readonly tried: Set<BackendServerId>;
  /** Attempts that failed after the backend server may have executed the request. */
  possibleExecutions: number;
  sawBusy: boolean;
  lastResult?: Exclude<GuardResult, GuardResponse>;
}

/** Sends requests to backend servers and retries them within the retry budget of their service. */
export class AttemptRunner {
  readonly candidates: CandidateCache;
  readonly loads: ServerLoads;

  constructor(
    evaluateServers: (service: Service) => readonly ServerWithVerdict[],
    private readonly clock: Clock,
    private readonly random: Random,
    readonly retryBudgets = new RetryBudgets(clock),
  ) {
    this.candidates = new CandidateCache(evaluateServers, clock);
    this.loads = new ServerLoads(clock);
  }

  /** Applies the services of a new configuration. */
  setServices(services: Readonly<Record<ServiceId, Service>>): void {
    this.candidates.reset();
    this.retryBudgets.removeUnconfigured(services);
  }

  /** Attempts a request until a backend server responds or no further attempt is allowed. */
  async run(request: AttemptRequest): Promise<AttemptOutcome> {
    const budget = this.retryBudgets.get(request.service.id);
    budget.recordRequest();
    const progress: AttemptProgress = {
      tried: new Set(),
      possibleExecutions: 0,
      sawBusy: false,
    };
    for (let attempt = 1; ; attempt += 1) {
      const candidates = this.candidates.get(request.service);
      const choice = chooseServer(
        candidates,
        progress.tried,
        this.loads,
        this.random,
      );
      request.onServerChoice(attempt, candidates, choice);
      if (!choice) return {kind: 'refused', error: makeCallerError(progress)};
      const mayQueue =
        attempt > 1 || !this.canTryOtherServer(request, choice, budget);
      const result = await this.send(request, choice.server, mayQueue);
      if (request.signal.aborted) {
        if (result.kind === 'answer') result.body.destroy();
        return {kind: 'gone'};
      }
      if (result.kind === 'answer') {
        if (progress.possibleExecutions === 0)
          budget.releaseRetries(progress.tried.size);
        const {server} = choice.server.known.report;
        return {kind: 'answered', response: result, server};
      }
      recordAttempt(progress, choice.server, result);
      if (!this.canRetry(request, progress, budget)) {
        return {kind: 'refused', error: makeCallerError(progress)};
      }
    }
  }

  private async send(
    request: AttemptRequest,
    candidate: ServerWithVerdict,
    mayQueue: boolean,
  ): Promise<GuardResult> {
    const {server} = candidate.known.report;
    const result = await this.loads.runTracked(server, () =>
      request.sendToServer(candidate, mayQueue),
    );
    if ('load' in result && result.load) this.loads.record(server, result.load);
    return result;
  }

  /** Whether a request that finds all slots of a server in use should try another server instead of queueing. */
  private canTryOtherServer(
    request: AttemptRequest,
    {server, reason}: ServerChoice,
    budget: RetryBudget,
  ): boolean {
    return (
      reason !== 'only-one' &&
      request.canResendBody() &&
      hasFreeSlot(server, this.loads) &&
      budget.hasRetry()
    );
  }

  private canRetry(
    request: AttemptRequest,
    progress: AttemptProgress,
    budget: RetryBudget,
  ): boolean {
    const {tried, possibleExecutions} = progress;
    const isSafe =
      possibleExecutions === 0 ||
      (request.isIdempotent && possibleExecutions < maxExecutions);
    return (
      isSafe &&
      tried.size < maxAttempts &&
      request.canResendBody() &&
      this.clock.getTime() < request.deadline &&
      budget.useRetry()
    );
  }
}

function recordAttempt(
  progress: AttemptProgress,
  candidate: ServerWithVerdict,
  result: Exclude<GuardResult, GuardResponse>,
): void {
  progress.tried.add(candidate.known.report.server);
  progress.lastResult = result;
  if (result.kind === 'failed') progress.possibleExecutions += 1;
  else if (isBusy(result.reason)) progress.sawBusy = true;
}

function isBusy(reason: RefusalReason): boolean {
  return reason === 'busy' || reason === 'backend-shed';
}

/** The error for the caller. If any attempt may have been executed, `ran` is `unknown`, even if others were refused. */
function makeCallerError({
  lastResult,
  possibleExecutions,
  sawBusy,
}: AttemptProgress): CallerError {
  const isTimeout =
    lastResult?.kind === 'failed'
      ? lastResult.reason === 'timeout' || lastResult.reason === 'no-reply'
      : lastResult?.reason === 'deadline';
  const ran = possibleExecutions > 0 ? 'unknown' : 'no';
  if (isTimeout) return {kind: 'deadline', ran};
  if (possibleExecutions > 0) return {kind: 'server-failed', ran};
  return {kind: sawBusy ? 'busy' : 'no-server', ran};
}
