/** Log-likelihood ratios, in nats, of one answer of a sick backend server against a healthy one. */
export interface EvidenceRatios {
  readonly bad: number;
  readonly good: number;
}

/** Ratios for the share of bad answers of a healthy and of a sick backend server. */
export function makeRatios(healthy: number, sick: number): EvidenceRatios {
  return {
    bad: Math.log(sick / healthy),
    good: Math.log((1 - sick) / (1 - healthy)),
  };
}

/** 2% of the answers of a healthy backend server may fail; a sick one fails half of them. */
export const failingRatios = makeRatios(0.02, 0.5);

/** 5% of the answers of a healthy backend server may be slow (the tail of mixed requests). */
export const slowRatios = makeRatios(0.05, 0.5);

/** One step of CUSUM: the evidence never falls below none. */
export function addEvidence(
  evidence: number,
  ratios: EvidenceRatios,
  isBad: boolean,
): number {
  return Math.max(0, evidence + (isBad ? ratios.bad : ratios.good));
}
