import {Millis} from '../base/index.js';

/** Log-likelihood ratios, in nats, of one answer under the hypothesis of a faulty server against a healthy one. */
export interface LogLikelihoodRatios {
  readonly bad: number;
  readonly good: number;
}

/** Computes the ratios from the shares of bad answers of a healthy and of a faulty server. */
export function makeLogLikelihoodRatios(
  healthy: number,
  faulty: number,
): LogLikelihoodRatios {
  return {
    bad: Math.log(faulty / healthy),
    good: Math.log((1 - faulty) / (1 - healthy)),
  };
}

/** Up to 2% of the answers of a healthy backend server may fail; a faulty one fails half of them. */
export const failingRatios = makeLogLikelihoodRatios(0.02, 0.5);

/**
 * Up to 10% of the answers of a healthy backend server may be slow. With 5%, bursts of twice the usual duration (21% of
 * the answers above three times the median) drifted towards an ejection.
 */
export const slowRatios = makeLogLikelihoodRatios(0.1, 0.5);

/** CUSUM statistic of one detector, in nats, with the times of the first and the newest bad answer in it. */
export interface CusumState {
  readonly nats: number;
  readonly firstBadMs: Millis;
  readonly lastBadMs: Millis;
}

export const initialCusum: CusumState = {
  nats: 0,
  firstBadMs: 0,
  lastBadMs: 0,
};

/** One step of the CUSUM, whose statistic never falls below 0. */
export function updateCusum(
  {nats, firstBadMs, lastBadMs}: CusumState,
  ratios: LogLikelihoodRatios,
  isBad: boolean,
  atMs: Millis,
): CusumState {
  const sum = nats + (isBad ? ratios.bad : ratios.good);
  if (sum <= 0) return initialCusum;
  return {
    nats: sum,
    firstBadMs: nats > 0 ? firstBadMs : atMs,
    lastBadMs: isBad ? atMs : lastBadMs,
  };
}
