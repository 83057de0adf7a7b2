import {assertNever, Millis} from '../base/index.js';

/** How a run ended, as far as it tells of the backend server. */
export type RunResult = 'success' | 'slow-success' | 'error' | 'broken';

/**
 * Verdict on a backend server from the traffic that its guard sees. `doubtful` servers get no work that must not be
 * repeated while there are others; `suspended` servers get one trial run at a time.
 */
export type ServerVerdict = 'sound' | 'doubtful' | 'suspended';

/** One run under way: when it began, and the chance that a normal run lasts as long as it does. */
export interface ActiveRun {
  readonly startedAt: Millis;
  readonly survivalProbability: number;
}

/** Usual length of a bad spell, and of the time between two, at the first users' servers. */
const spellMs: Millis = 3000;
const betweenMs: Millis = 9000;
/** Part of the runs that fail or hang in a bad spell. */
const badShare = 0.75;
/** Odds that an error comes from a bad spell; calls of the server that fail elsewhere make errors too. */
const errorOdds = 15;
/** Odds for a connection that breaks, which sound servers rarely do. */
const brokenOdds = 25;
/** A success in bad spells is a quarter as likely; one that took very long says little. */
const successOdds = 1 - badShare;
const slowSuccessOdds = 1.5;
const minChance = 0.02;
const maxChance = 0.98;
/** Log odds of a bad spell from which on a server is doubtful (chance 0.4) or suspended (chance 0.8). */
const doubtfulLogOdds = -0.4;
const suspendedLogOdds = 1.4;
/** Pause between trial runs of a suspended server. */
const trialPauseMs: Millis = 400;
/** Time without a trial after which work that must not be repeated serves as one. */
const forcedTrialMs: Millis = 2500;
/** Starts of successful runs that are kept, to weigh them against runs under way. */
const maxStarts = 24;

/**
 * Chance that a backend server is in a bad spell: a filter with two states, sound and bad. Ended runs move the chance, time
 * draws it towards the usual share of bad spells, and runs under way that last too long count before they end.
 */
export class FaultEstimator {
  private chance = minChance;
  private updatedAt: Millis = 0;
  private lastTrialAt = -Infinity;
  private successStarts: readonly Millis[] = [];

  /** Forgets all evidence, as a new process starts clean. */
  reset(now: Millis): void {
    this.chance = minChance;
    this.updatedAt = now;
    this.lastTrialAt = -Infinity;
    this.successStarts = [];
  }

  /** Takes the end of a run. */
  recordEnd(evidence: RunResult, startedAt: Millis, now: Millis): void {
    this.applyTime(now);
    if (evidence === 'success') {
      this.successStarts = [...this.successStarts, startedAt].slice(-maxStarts);
    }
    const odds = (this.chance / (1 - this.chance)) * getOdds(evidence);
    this.chance = Math.min(maxChance, Math.max(minChance, odds / (1 + odds)));
  }

  /** Log odds of a bad spell, with what the runs under way show. */
  getLogOdds(running: readonly ActiveRun[], now: Millis): number {
    this.applyTime(now);
    return (
      Math.log(this.chance / (1 - this.chance)) + this.judgeRunning(running)
    );
  }

  getVerdict(running: readonly ActiveRun[], now: Millis): ServerVerdict {
    const logOdds = this.getLogOdds(running, now);
    if (logOdds >= suspendedLogOdds) return 'suspended';
    return logOdds >= doubtfulLogOdds ? 'doubtful' : 'sound';
  }

  /** Whether a request may start now. */
  canRun(
    verdict: ServerVerdict,
    isIdempotent: boolean,
    running: number,
    now: Millis,
  ): boolean {
    switch (verdict) {
      case 'sound':
        return true;
      case 'doubtful':
        return isIdempotent || running === 0;
      case 'suspended':
        return (
          now - this.lastTrialAt >=
          (isIdempotent ? trialPauseMs : forcedTrialMs)
        );
      default:
        return assertNever(verdict);
    }
  }

  /** Notes a run that starts; the next trial of a suspended server keeps a pause from it. */
  recordStart(now: Millis): void {
    this.lastTrialAt = now;
  }

  /**
   * Evidence of runs under way for a spell that began at the best-fitting moment: runs that began later and still last
   * speak for it, runs that began later and ended well against it.
   */
  private judgeRunning(running: readonly ActiveRun[]): number {
    const events = [
      ...running.map(({startedAt, survivalProbability: survival}) => ({
        startedAt,
        weight: Math.log((badShare + (1 - badShare) * survival) / survival),
      })),
      ...this.successStarts.map(startedAt => ({
        startedAt,
        weight: Math.log(successOdds),
      })),
    ].sort((a, b) => b.startedAt - a.startedAt);
    let sum = 0;
    let best = 0;
    for (const {weight} of events) {
      sum += weight;
      best = Math.max(best, sum);
    }
    return best;
  }

  private applyTime(now: Millis): void {
    const elapsed = Math.max(0, now - this.updatedAt);
    const usual = spellMs / (spellMs + betweenMs);
    const kept = Math.exp(-elapsed / spellMs - elapsed / betweenMs);
    this.chance = usual + (this.chance - usual) * kept;
    this.updatedAt = now;
  }
}

function getOdds(evidence: RunResult): number {
  switch (evidence) {
    case 'success':
      return successOdds;
    case 'slow-success':
      return slowSuccessOdds;
    case 'error':
      return errorOdds;
    case 'broken':
      return brokenOdds;
    default:
      return assertNever(evidence);
  }
}
