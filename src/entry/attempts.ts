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

/** A request as far as attempts are concerned. */
export interface AttemptRequest {
  readonly service: Service;
  readonly deadline: Millis;
  /** Aborts when the caller is gone. */
  readonly signal: AbortSignal;
  readonly isIdempotent: boolean;
  /** Whether the body can still be sent from its first byte. */
  canResendBody(): boolean;
  /** Sends the request to one backend server, where it may queue for a slot or not; never throws. */
  send(server: ServerWithVerdict, mayQueue: boolean): Promise<GuardResult>;
  /** Called with the decision of each attempt. */
  onServerChoice(
    attempt: number,
    candidates: Candidates,
    choice?: ServerChoice,
  ): void;
}

/** An answer of a backend server; its body is not yet read. */
export type GuardResponse = Extract<GuardResult, {kind: 'answer'}>;

/** What came of all attempts of a request. */
export type AttemptOutcome =
  | {
      readonly kind: 'answered';
      readonly response: GuardResponse;
      readonly server: BackendServerId;
    }
  | {readonly kind: 'refused'; readonly error: CallerError}
  | {readonly kind: 'gone'};

/** Backend servers that may run one request, one after another, when it is idempotent. */
const maxRuns = 3;
/** Backend servers asked for a free slot; with the retry budget this bounds the search for one. */
const maxAttempts = 6;

/** What the attempts of one request have shown so far. */
interface Progress {
  readonly tried: Set<BackendServerId>;
  runs: number;
  wasBusy: boolean;
  last?: Exclude<GuardResult, GuardResponse>;
}

/** Sends requests to backend servers, with retries within the rules and the budget of their service. */
export class AttemptRunner {
  readonly candidates: CandidateCache;
  readonly loads: ServerLoads;

  constructor(
    judge: (service: Service) => readonly ServerWithVerdict[],
    private readonly clock: Clock,
    private readonly random: Random,
    readonly retryBudgets = new RetryBudgets(clock),
  ) {
    this.candidates = new CandidateCache(judge, clock);
    this.loads = new ServerLoads(clock);
  }

  /** Takes a configuration into force. */
  removeUnconfigured(services: Readonly<Record<ServiceId, Service>>): void {
    this.candidates.reset();
    this.retryBudgets.removeUnconfigured(services);
  }

  /** Runs a request until it is answered or no further attempt is allowed. */
  async run(request: AttemptRequest): Promise<AttemptOutcome> {
    const budget = this.retryBudgets.get(request.service.id);
    budget.recordRequest();
    const progress: Progress = {tried: new Set(), runs: 0, wasBusy: false};
    for (let attempt = 1; ; attempt += 1) {
      const candidates = this.candidates.get(request.service);
      const choice = chooseServer(
        candidates,
        progress.tried,
        this.loads,
        this.random,
      );
      request.onServerChoice(attempt, candidates, choice);
      if (!choice) return {kind: 'refused', error: findError(progress)};
      const mayQueue = attempt > 1 || !this.canSearch(request, choice, budget);
      const answer = await this.send(request, choice.server, mayQueue);
      if (request.signal.aborted) {
        if (answer.kind === 'answer') answer.body.destroy();
        return {kind: 'gone'};
      }
      if (answer.kind === 'answer') {
        if (progress.runs === 0) budget.releaseRetries(progress.tried.size);
        const {server} = choice.server.known.report;
        return {kind: 'answered', response: answer, server};
      }
      recordAttempt(progress, choice.server, answer);
      if (!this.canRetry(request, progress, budget)) {
        return {kind: 'refused', error: findError(progress)};
      }
    }
  }

  private async send(
    request: AttemptRequest,
    judged: ServerWithVerdict,
    mayQueue: boolean,
  ): Promise<GuardResult> {
    const {server} = judged.known.report;
    const answer = await this.loads.runTracked(server, () =>
      request.send(judged, mayQueue),
    );
    if ('load' in answer && answer.load) this.loads.record(server, answer.load);
    return answer;
  }

  /** Whether a request that finds no free slot where one was expected is better placed anew than queued there. */
  private canSearch(
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
    progress: Progress,
    budget: RetryBudget,
  ): boolean {
    const {tried, runs} = progress;
    const isSafe = runs === 0 || (request.isIdempotent && runs < maxRuns);
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
  progress: Progress,
  judged: ServerWithVerdict,
  answer: Exclude<GuardResult, GuardResponse>,
): void {
  progress.tried.add(judged.known.report.server);
  progress.last = answer;
  if (answer.kind === 'failed') progress.runs += 1;
  else if (isBusy(answer.reason)) progress.wasBusy = true;
}

function isBusy(reason: RefusalReason): boolean {
  return reason === 'busy' || reason === 'backend-shed';
}

/** What the caller is told; one attempt that may have been run decides over all refusals. */
function findError({last, runs, wasBusy}: Progress): CallerError {
  const isLate =
    last?.kind === 'failed'
      ? last.reason === 'timeout' || last.reason === 'no-reply'
      : last?.reason === 'deadline';
  const ran = runs > 0 ? 'unknown' : 'no';
  if (isLate) return {kind: 'deadline', ran};
  if (runs > 0) return {kind: 'server-failed', ran};
  return {kind: wasBusy ? 'busy' : 'no-server', ran};
}
