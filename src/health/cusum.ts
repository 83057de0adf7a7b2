import {Millis} from '../base/index.js';

/** Log-likelihood ratios, in nats, of one answer of a sick backend server against a healthy one. */
export interface LogLikelihoodRatios {
  readonly bad: number;
  readonly good: number;
}

/** Ratios for the share of bad answers of a healthy and of a sick backend server. */
export function makeLogLikelihoodRatios(
  healthy: number,
  sick: number,
): LogLikelihoodRatios {
  return {
    bad: Math.log(sick / healthy),
    good: Math.log((1 - sick) / (1 - healthy)),
  };
}

/** 2% of the answers of a healthy backend server may fail; a sick one fails half of them. */
export const failingRatios = makeLogLikelihoodRatios(0.02, 0.5);

/**
 * 10% of the answers of a healthy backend server may be slow. With 5%, bursts of twice the usual time (21% slow at
 * three times the median) drifted towards an ejection.
 */
export const slowRatios = makeLogLikelihoodRatios(0.1, 0.5);

/** Evidence of one kind, in nats, with the times of its first and its newest bad answer. */
export interface CusumState {
  readonly nats: number;
  readonly firstBadMs: Millis;
  readonly lastBadMs: Millis;
}

/** No evidence. */
export const initialCusum: CusumState = {
  nats: 0,
  firstBadMs: 0,
  lastBadMs: 0,
};

/** One step of CUSUM: the evidence never falls below none. */
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
