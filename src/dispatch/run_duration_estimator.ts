import {Millis, RouteId} from '../base/index.js';

/** Part of the target that a run is expected to take before any was seen; the first users' sheets give 0.2 to 0.35. */
const priorShare = 0.33;
/** Weight of the newest run. */
const gain = 0.1;
/** Spread of the logarithm before any run was seen; the sheets give 0.3 to 0.8. */
const priorDeviation = 0.4;
const minDeviation = 0.2;
/** A run that has lasted longer than this many deviations is more likely stuck than slow: 3 in 100 last longer. */
const overdueDeviations = 1.9;
/** Least chance given to a normal run to last this long; one in a hundred has a long tail. */
const minSurvival = 0.01;

/** Mean and spread of the logarithm of the time of runs. */
interface WorkTime {
  logMean: number;
  logVariance: number;
}

/** Time that runs of each route usually take, as a log-normal distribution learnt from whole answers. */
export class RunDurationEstimator {
  private readonly byRoute = new Map<RouteId, WorkTime>();

  /** Takes the time of one whole run. */
  record(route: RouteId, targetMs: Millis, tookMs: Millis): void {
    const {logMean, logVariance} = this.getWork(route, targetMs);
    const error = Math.log(Math.max(1, tookMs)) - logMean;
    this.byRoute.set(route, {
      logMean: logMean + gain * error,
      logVariance: logVariance + gain * (error * error - logVariance),
    });
  }

  getMean(route: RouteId, targetMs: Millis): Millis {
    const {logMean, logVariance} = this.getWork(route, targetMs);
    return Math.exp(logMean + logVariance / 2);
  }

  /** Time after which a run is more likely stuck than slow. */
  getOverdueThreshold(route: RouteId, targetMs: Millis): Millis {
    const work = this.getWork(route, targetMs);
    return Math.exp(work.logMean + overdueDeviations * getDeviation(work));
  }

  /**
   * Chance that a normal run lasts longer than this. `expectedMs` is what entries see at all servers: a server that is
   * slower than one and a half times that is not normal, however long it has been so.
   */
  getSurvivalProbability(
    route: RouteId,
    targetMs: Millis,
    tookMs: Millis,
    expectedMs: Millis,
  ): number {
    const work = this.getWork(route, targetMs);
    const logMean = Math.min(work.logMean, Math.log(expectedMs * 1.5));
    const deviations =
      (Math.log(Math.max(1, tookMs)) - logMean) / getDeviation(work);
    return Math.max(minSurvival, 1 - computeNormal(deviations));
  }

  private getWork(route: RouteId, targetMs: Millis): WorkTime {
    return (
      this.byRoute.get(route) ?? {
        logMean: Math.log(Math.max(1, targetMs * priorShare)),
        logVariance: priorDeviation ** 2,
      }
    );
  }
}

function getDeviation({logVariance}: WorkTime): number {
  return Math.max(minDeviation, Math.sqrt(logVariance));
}

/** Normal distribution function by the logistic approximation, which errs by less than 0.01. */
function computeNormal(deviations: number): number {
  const cubic = 1.5976 * deviations + 0.07056 * deviations ** 3;
  return 1 / (1 + Math.exp(-cubic));
}
