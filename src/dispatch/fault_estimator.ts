import {assertNever, Millis} from '../base/index.js';

/**
 * How a run ended, as evidence about its backend server. `early-error`: an error or a broken connection long before a
 * normal run would have ended. `late-error`: an error after about the duration of a normal run, which a failed call to
 * another service explains as well. `overdue`: the run failed or was cancelled after lasting longer than nearly all
 * normal runs.
 */
export type RunResult =
  | 'success'
  | 'slow-success'
  | 'early-error'
  | 'late-error'
  | 'overdue'
  | 'broken';

/**
 * Verdict of a guard on its backend server. Entries prefer `sound` servers. A `doubtful` server gets a non-idempotent
 * request only while no other run is in progress; a `suspended` server gets trial runs only, at most one per interval.
 */
export type ServerVerdict = 'sound' | 'doubtful' | 'suspended';

/** A run in progress, with the probability that a normal run lasts at least as long as it has so far. */
export interface ActiveRun {
  readonly startedAt: Millis;
  readonly survivalProbability: number;
}

/** Faults of a backend server are temporary: mean length of a fault, and of the time between two faults. */
const meanFaultMs: Millis = 7000;
const meanHealthyMs: Millis = 23_000;
/** Fraction of the runs that fail or hang during a fault. */
const failingShare = 0.75;
/** Likelihood ratio of a run that failed early, or that lasted too long. */
const errorLikelihoodRatio = 15;
/** Likelihood ratio of a late error: sound servers answer so when a call that they make to another service fails. */
const lateErrorLikelihoodRatio = 2;
/** Likelihood ratio of a broken connection, which is rare at sound servers. */
const brokenLikelihoodRatio = 25;
/** A success is a quarter as likely during a fault; one that took very long is weak evidence of a fault. */
const successLikelihoodRatio = 1 - failingShare;
const slowSuccessLikelihoodRatio = 1.5;
const minProbability = 0.08;
const maxProbability = 0.98;
/** Log odds of a fault from which a server is doubtful (probability 0.4) or suspended (probability 0.8). */
const doubtfulLogOdds = -0.4;
const suspendedLogOdds = 1.4;
/** Interval between runs of a server that failed early and seems sound again; an early error arrives within it. */
const recoveringIntervalMs: Millis = 20;
/**
 * Interval between idempotent runs of a doubtful server, and between trials of one that fails early, so that an early
 * error ends a series of them.
 */
const cautiousIntervalMs: Millis = 150;
/** Interval between trial runs of a suspended server that hangs or breaks off its runs. */
const trialIntervalMs: Millis = 400;
/**
 * Pause without any run after an early failure of a server that is not sound. Such a server has free slots at all times
 * and fails a request within milliseconds, so that trials at the usual interval would exhaust the retry budget.
 */
const failurePauseMs: Millis = 600;
/** Interval without a run after which a non-idempotent request may serve as the trial. */
const nonIdempotentTrialIntervalMs: Millis = 2500;
/** Number of newest ended runs that are kept, so that a run which ends late can be placed before them. */
const maxEndedRuns = 32;

/** What one run says about its server at the time at which it started. */
interface Evidence {
  readonly startedAt: Millis;
  readonly likelihoodRatio: number;
}

/**
 * Forward filter of a hidden Markov model with the states sound and faulty. A run is evidence of the state in which it
 * started, however late it ends: what hung during a fault says nothing about the time after it. Between starts the
 * probability of a fault decays towards the long-term fraction of time in one. Runs in progress that last too long count
 * before they end.
 */
export class FaultEstimator {
  /** Probability of a fault just after the newest run that is no longer kept. */
  private baseProbability = minProbability;
  private baseAt: Millis = 0;
  /** Newest ended runs, ordered by their start. */
  private endedRuns: Evidence[] = [];
  private lastStartAt = -Infinity;
  private resetAt: Millis = 0;
  private pausedUntil = -Infinity;
  /** Whether the newest failure was an early error, after which no success has shown the server to be sound. */
  private failsEarly = false;

  /** Discards all evidence, for a new process of the server. */
  reset(now: Millis): void {
    this.baseProbability = minProbability;
    this.baseAt = now;
    this.endedRuns = [];
    this.resetAt = now;
    this.lastStartAt = -Infinity;
    this.pausedUntil = -Infinity;
    this.failsEarly = false;
  }

  /** Updates the estimate with an ended run. */
  recordEnd(result: RunResult, startedAt: Millis, now: Millis): void {
    this.addEvidence({
      startedAt,
      likelihoodRatio: getLikelihoodRatio(result),
    });
    if (result === 'early-error') this.pausedUntil = now + failurePauseMs;
    if (isFailure(result)) this.failsEarly = result === 'early-error';
    else if (result === 'success' && this.getLogOdds([], now) < doubtfulLogOdds)
      this.failsEarly = false;
  }

  /** Log odds of a fault, including the evidence of runs in progress. */
  getLogOdds(activeRuns: readonly ActiveRun[], now: Millis): number {
    const probability = this.computeProbability(activeRuns, now);
    return Math.log(probability / (1 - probability));
  }

  getVerdict(activeRuns: readonly ActiveRun[], now: Millis): ServerVerdict {
    const logOdds = this.getLogOdds(activeRuns, now);
    if (logOdds >= suspendedLogOdds) return 'suspended';
    return logOdds >= doubtfulLogOdds ? 'doubtful' : 'sound';
  }

  /** Whether a request may start now at a server with this verdict and number of runs in progress. */
  canRun(
    verdict: ServerVerdict,
    isIdempotent: boolean,
    activeCount: number,
    now: Millis,
  ): boolean {
    switch (verdict) {
      case 'sound':
        return (
          !this.failsEarly || now - this.lastStartAt >= recoveringIntervalMs
        );
      case 'doubtful':
        return (
          now >= this.pausedUntil &&
          (isIdempotent
            ? now - this.lastStartAt >= cautiousIntervalMs
            : activeCount === 0)
        );
      case 'suspended':
        return (
          now >= this.pausedUntil &&
          now - this.lastStartAt >= this.getTrialInterval(isIdempotent)
        );
      default:
        return assertNever(verdict);
    }
  }

  /** Records the start of a run, from which the interval to the next trial of a suspended server counts. */
  recordStart(now: Millis): void {
    this.lastStartAt = now;
  }

  /** Time without the start of a run; 0 during the pause after an early failure. */
  getIdleTime(now: Millis): Millis {
    if (now < this.pausedUntil) return 0;
    return now - Math.max(this.lastStartAt, this.resetAt);
  }

  private getTrialInterval(isIdempotent: boolean): Millis {
    if (!isIdempotent) return nonIdempotentTrialIntervalMs;
    return this.failsEarly ? cautiousIntervalMs : trialIntervalMs;
  }

  private addEvidence(evidence: Evidence): void {
    const {endedRuns} = this;
    let index = endedRuns.length;
    while (index > 0 && endedRuns[index - 1].startedAt > evidence.startedAt) {
      index -= 1;
    }
    endedRuns.splice(index, 0, evidence);
    const oldest = endedRuns.length > maxEndedRuns && endedRuns.shift();
    if (!oldest) return;
    this.baseProbability = applyEvidence(
      oldest,
      this.baseProbability,
      this.baseAt,
    );
    this.baseAt = Math.max(this.baseAt, oldest.startedAt);
  }

  /** Probability of a fault now, from all runs in the order of their starts. */
  private computeProbability(
    activeRuns: readonly ActiveRun[],
    now: Millis,
  ): number {
    const active = activeRuns
      .map(({startedAt, survivalProbability}) => ({
        startedAt,
        likelihoodRatio:
          (failingShare + (1 - failingShare) * survivalProbability) /
          survivalProbability,
      }))
      .sort((a, b) => a.startedAt - b.startedAt);
    let probability = this.baseProbability;
    let at = this.baseAt;
    let next = 0;
    const apply = (evidence: Evidence) => {
      probability = applyEvidence(evidence, probability, at);
      at = Math.max(at, evidence.startedAt);
    };
    for (const ended of this.endedRuns) {
      while (
        next < active.length &&
        active[next].startedAt <= ended.startedAt
      ) {
        apply(active[next]);
        next += 1;
      }
      apply(ended);
    }
    for (; next < active.length; next += 1) apply(active[next]);
    return computePrediction(probability, now - at);
  }
}

/** Probability of a fault just after a run started, from the probability at an earlier time. */
function applyEvidence(
  {startedAt, likelihoodRatio}: Evidence,
  probability: number,
  at: Millis,
): number {
  const predicted = computePrediction(probability, startedAt - at);
  const odds = (predicted / (1 - predicted)) * likelihoodRatio;
  return Math.min(maxProbability, Math.max(minProbability, odds / (1 + odds)));
}

/** Probability of a fault after a time without evidence: it decays towards its stationary value. */
function computePrediction(probability: number, elapsedMs: Millis): number {
  const elapsed = Math.max(0, elapsedMs);
  const stationary = meanFaultMs / (meanFaultMs + meanHealthyMs);
  const decay = Math.exp(-elapsed / meanFaultMs - elapsed / meanHealthyMs);
  return stationary + (probability - stationary) * decay;
}

/** Whether the server itself failed the run; late errors have other causes as well. */
function isFailure(result: RunResult): boolean {
  switch (result) {
    case 'early-error':
    case 'overdue':
    case 'broken':
      return true;
    case 'success':
    case 'slow-success':
    case 'late-error':
      return false;
    default:
      return assertNever(result);
  }
}

/** Likelihood of the result at a faulty server divided by that at a sound one. */
function getLikelihoodRatio(result: RunResult): number {
  switch (result) {
    case 'success':
      return successLikelihoodRatio;
    case 'slow-success':
      return slowSuccessLikelihoodRatio;
    case 'early-error':
    case 'overdue':
      return errorLikelihoodRatio;
    case 'late-error':
      return lateErrorLikelihoodRatio;
    case 'broken':
      return brokenLikelihoodRatio;
    default:
      return assertNever(result);
  }
}
