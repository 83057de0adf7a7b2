import {Millis} from '../base/index.js';
import {
  ActiveRun,
  FaultEstimator,
  ServerVerdict,
  RunDurationEstimator,
} from '../dispatch/index.js';
import {BackendOutcome} from './backend_client.js';
import {Exchange} from './guard_sessions.js';

/** Factor by which runs take longer during slow start. */
const warmupSlowdown = 2;
/** Ratio of a route's target to the run time that entries expect before any run was observed. */
const targetToExpectedRatio = 3;
/**
 * A run that took longer than all but this fraction of normal runs is weak evidence of a fault if it succeeded, and
 * counts as an error if it was cancelled.
 */
const slowSurvivalProbability = 0.03;
/** An error within this fraction of the expected run time is early: the server has hardly worked on the request. */
const earlyErrorFraction = 0.25;

/** Estimates from the runs of one backend server whether it has a fault. */
export class BackendMonitor {
  private readonly faultEstimator = new FaultEstimator();
  private readonly runDurations = new RunDurationEstimator();
  private readonly running = new Set<Exchange>();
  private warmupEndsAt: Millis = 0;

  /** Discards the evidence from an earlier process of the server. */
  reset(now: Millis): void {
    this.faultEstimator.reset(now);
    this.running.clear();
  }

  setWarmup(until: Millis): void {
    this.warmupEndsAt = until;
  }

  getVerdict(now: Millis): ServerVerdict {
    return this.faultEstimator.getVerdict(this.listRunning(now), now);
  }

  /** Log odds that the server has a fault, rounded to two digits for logs. */
  getSuspicion(now: Millis): number {
    return Number(
      this.faultEstimator.getLogOdds(this.listRunning(now), now).toFixed(2),
    );
  }

  canRun(
    verdict: ServerVerdict,
    isIdempotent: boolean,
    running: number,
    now: Millis,
  ): boolean {
    return this.faultEstimator.canRun(verdict, isIdempotent, running, now);
  }

  /** Time without the start of a run that says anything about the server. */
  getIdleTime(now: Millis): Millis {
    return this.faultEstimator.getIdleTime(now);
  }

  /** Records a grant, from which the interval to the next trial run of a suspended server counts. */
  recordGrant(now: Millis): void {
    this.faultEstimator.recordStart(now);
  }

  recordStart(exchange: Exchange): void {
    this.running.add(exchange);
  }

  /** Records a cancelled run; counts as an error if it had already taken unusually long. */
  recordCancel(exchange: Exchange, now: Millis): void {
    if (!this.running.delete(exchange)) return;
    const survival = this.computeSurvivalProbability(exchange, now);
    if (survival < slowSurvivalProbability) {
      this.faultEstimator.recordEnd('overdue', exchange.phaseStartedAt, now);
    }
  }

  /** Records the outcome of a run that was not cancelled. */
  recordOutcome(
    exchange: Exchange,
    startedAt: Millis,
    outcome: BackendOutcome,
    now: Millis,
  ): void {
    if (!this.running.delete(exchange)) return;
    const {route} = exchange.request;
    const survival = this.computeSurvivalProbability(
      {...exchange, phaseStartedAt: startedAt},
      now,
    );
    if (outcome.kind === 'answered' && outcome.status < 500) {
      const targetMs = exchange.message.expectedMs * targetToExpectedRatio;
      const pausedMs = exchange.window.getPausedTime();
      this.runDurations.record(route, targetMs, now - startedAt - pausedMs);
      const isSlow = survival <= slowSurvivalProbability;
      this.faultEstimator.recordEnd(
        isSlow ? 'slow-success' : 'success',
        startedAt,
        now,
      );
      return;
    }
    const isUninformative =
      outcome.kind === 'failed' &&
      (outcome.reason === 'deadline' || outcome.reason === 'shed');
    if (isUninformative) return;
    const earlyMs = exchange.message.expectedMs * earlyErrorFraction;
    const isEarly = now - startedAt < earlyMs;
    const errorResult =
      survival < slowSurvivalProbability ? 'overdue' : 'late-error';
    const lateResult = outcome.kind === 'failed' ? 'broken' : errorResult;
    this.faultEstimator.recordEnd(
      isEarly ? 'early-error' : lateResult,
      startedAt,
      now,
    );
  }

  private listRunning(now: Millis): readonly ActiveRun[] {
    return [...this.running].map(exchange => ({
      startedAt: exchange.phaseStartedAt,
      survivalProbability: this.computeSurvivalProbability(exchange, now),
    }));
  }

  /**
   * Probability that a normal run lasts longer than this one has so far; slow start and waiting for the caller are allowed
   * for.
   */
  private computeSurvivalProbability(
    {
      request,
      message,
      phaseStartedAt,
      window,
    }: Pick<Exchange, 'request' | 'message' | 'phaseStartedAt' | 'window'>,
    now: Millis,
  ): number {
    const slowdown = now < this.warmupEndsAt ? warmupSlowdown : 1;
    const {expectedMs} = message;
    return this.runDurations.getSurvivalProbability(
      request.route,
      expectedMs * targetToExpectedRatio,
      (now - phaseStartedAt - window.getPausedTime()) / slowdown,
      expectedMs,
    );
  }
}
