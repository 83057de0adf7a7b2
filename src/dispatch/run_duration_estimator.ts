import {Millis, RouteId} from '../base/index.js';

/** Fraction of the target latency that a run is assumed to take until one is observed; it is typically 0.2 to 0.35. */
const priorTargetShare = 0.33;
/** Weight of the newest run in the moving averages. */
const gain = 0.1;
/** Standard deviation of the log duration that is assumed until a run is observed; it is typically 0.3 to 0.8. */
const priorDeviation = 0.4;
const minDeviation = 0.2;
/** A run that lasts longer than this many standard deviations is more likely stuck than slow: 3 in 100 last longer. */
const overdueDeviations = 1.9;
/** Lower bound of the survival probability: one in a hundred normal runs lies in a long tail. */
const minSurvivalProbability = 0.01;

/** Mean and variance of the logarithm of the run duration. */
interface DurationModel {
  logMean: number;
  logVariance: number;
}

/** Log-normal distribution of the run duration of each route, estimated from complete answers. */
export class RunDurationEstimator {
  private readonly byRoute = new Map<RouteId, DurationModel>();

  /** Adds the duration of one run with a complete answer. */
  record(route: RouteId, targetMs: Millis, tookMs: Millis): void {
    const {logMean, logVariance} = this.getModel(route, targetMs);
    const error = Math.log(Math.max(1, tookMs)) - logMean;
    this.byRoute.set(route, {
      logMean: logMean + gain * error,
      logVariance: logVariance + gain * (error * error - logVariance),
    });
  }

  getMean(route: RouteId, targetMs: Millis): Millis {
    const {logMean, logVariance} = this.getModel(route, targetMs);
    return Math.exp(logMean + logVariance / 2);
  }

  /** Duration from which a run is more likely stuck than slow. */
  getOverdueThreshold(route: RouteId, targetMs: Millis): Millis {
    const model = this.getModel(route, targetMs);
    return Math.exp(model.logMean + overdueDeviations * getDeviation(model));
  }

  /**
   * Probability that a normal run lasts longer than `tookMs`. `expectedMs` is the mean that entries observe over all
   * servers. The median of this server is capped at 1.5 times that, so that a server that stays slow still counts as
   * slow.
   */
  getSurvivalProbability(
    route: RouteId,
    targetMs: Millis,
    tookMs: Millis,
    expectedMs: Millis,
  ): number {
    const model = this.getModel(route, targetMs);
    const logMean = Math.min(model.logMean, Math.log(expectedMs * 1.5));
    const deviations =
      (Math.log(Math.max(1, tookMs)) - logMean) / getDeviation(model);
    return Math.max(
      minSurvivalProbability,
      1 - computeNormalDistribution(deviations),
    );
  }

  private getModel(route: RouteId, targetMs: Millis): DurationModel {
    return (
      this.byRoute.get(route) ?? {
        logMean: Math.log(Math.max(1, targetMs * priorTargetShare)),
        logVariance: priorDeviation ** 2,
      }
    );
  }
}

function getDeviation({logVariance}: DurationModel): number {
  return Math.max(minDeviation, Math.sqrt(logVariance));
}

/** Normal distribution function by a logistic approximation with an error below 0.01. */
function computeNormalDistribution(deviations: number): number {
  const cubic = 1.5976 * deviations + 0.07056 * deviations ** 3;
  return 1 / (1 + Math.exp(-cubic));
}
