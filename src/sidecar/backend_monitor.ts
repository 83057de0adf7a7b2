import {Millis} from '../base/index.js';
import {
  ActiveRun,
  FaultEstimator,
  ServerVerdict,
  RunDurationEstimator,
} from '../dispatch/index.js';
import {BackendOutcome} from './backend_client.js';
import {Exchange} from './guard_sessions.js';

/** Slow start doubles the time of runs. */
const warmupFactor = 2;
/** What an entry expects is this part of the target where no run was seen. */
const expectedShare = 3;
/** A success that lasted longer than all but this part of normal runs says little for the server. */
const slowSurvival = 0.03;

/** Follows the runs of one backend server and judges it by them. */
export class BackendMonitor {
  private readonly judge = new FaultEstimator();
  private readonly workTimes = new RunDurationEstimator();
  private readonly running = new Set<Exchange>();
  private warmUntil: Millis = 0;

  /** Forgets what an earlier process of the server did. */
  reset(now: Millis): void {
    this.judge.reset(now);
    this.running.clear();
  }

  setWarmup(until: Millis): void {
    this.warmUntil = until;
  }

  getVerdict(now: Millis): ServerVerdict {
    return this.judge.getVerdict(this.listRunning(now), now);
  }

  /** Log odds of a bad spell to two digits, for logs. */
  getSuspicion(now: Millis): number {
    return Number(this.judge.getLogOdds(this.listRunning(now), now).toFixed(2));
  }

  canRun(
    verdict: ServerVerdict,
    isIdempotent: boolean,
    running: number,
    now: Millis,
  ): boolean {
    return this.judge.canRun(verdict, isIdempotent, running, now);
  }

  recordGrant(now: Millis): void {
    this.judge.recordStart(now);
  }

  recordStart(exchange: Exchange): void {
    this.running.add(exchange);
  }

  /** Notes a run that was cancelled; how long it had lasted still counts. */
  recordCancel(exchange: Exchange, now: Millis): void {
    if (!this.running.delete(exchange)) return;
    const survival = this.computeSurvival(exchange, now);
    if (survival < slowSurvival) {
      this.judge.recordEnd('error', exchange.changedAt, now);
    }
  }

  /** Notes how a run ended that was not cancelled. */
  recordOutcome(
    exchange: Exchange,
    startedAt: Millis,
    outcome: BackendOutcome,
    now: Millis,
  ): void {
    if (!this.running.delete(exchange)) return;
    const {route} = exchange.request;
    if (outcome.kind === 'answered' && outcome.status < 500) {
      const survival = this.computeSurvival(
        {...exchange, changedAt: startedAt},
        now,
      );
      const targetMs = exchange.message.expectedMs * expectedShare;
      this.workTimes.record(route, targetMs, now - startedAt);
      const isSlow = survival <= slowSurvival;
      this.judge.recordEnd(isSlow ? 'slow-success' : 'success', startedAt, now);
    } else if (outcome.kind === 'answered') {
      this.judge.recordEnd('error', startedAt, now);
    } else if (outcome.reason !== 'deadline' && outcome.reason !== 'shed') {
      this.judge.recordEnd('broken', startedAt, now);
    }
  }

  private listRunning(now: Millis): readonly ActiveRun[] {
    return [...this.running].map(exchange => ({
      startedAt: exchange.changedAt,
      survivalProbability: this.computeSurvival(exchange, now),
    }));
  }

  private computeSurvival(
    {
      request,
      message,
      changedAt,
    }: Pick<Exchange, 'request' | 'message' | 'changedAt'>,
    now: Millis,
  ): number {
    const factor = now < this.warmUntil ? warmupFactor : 1;
    const {expectedMs} = message;
    return this.workTimes.getSurvivalProbability(
      request.route,
      expectedMs * expectedShare,
      (now - changedAt) / factor,
      expectedMs,
    );
  }
}
