import {makeRandom, Millis, Random} from '../../src/base/index.js';

/** Kinds of faults; those with a duration end by themselves. */
export type FaultKind =
  | 'node-term'
  | 'node-kill'
  | 'node-pause'
  | 'node-reload'
  | 'link-delay'
  | 'link-reset'
  | 'link-cut-in'
  | 'link-cut-out'
  | 'link-silence'
  | 'store-down'
  | 'store-busy'
  | 'store-silent'
  | 'store-lose-answers'
  | 'store-history-lost'
  | 'store-delay'
  | 'backend-hang'
  | 'backend-error'
  | 'backend-shed'
  | 'backend-cut-body'
  | 'backend-slow'
  | 'backend-drop-idle'
  | 'backend-reset'
  | 'backend-restart'
  | 'backend-drain'
  | 'new-version';

/** One fault injected during a run. */
export interface Fault {
  readonly kind: FaultKind;
  readonly atMs: Millis;
  readonly forMs: Millis;
  /** Index of the node, from 0, whose VM is affected. */
  readonly node: number;
}

const faultKinds: readonly FaultKind[] = [
  'node-term',
  'node-kill',
  'node-pause',
  'node-reload',
  'link-delay',
  'link-reset',
  'link-cut-in',
  'link-cut-out',
  'link-silence',
  'store-down',
  'store-busy',
  'store-silent',
  'store-lose-answers',
  'store-history-lost',
  'store-delay',
  'backend-hang',
  'backend-error',
  'backend-shed',
  'backend-cut-body',
  'backend-slow',
  'backend-drop-idle',
  'backend-reset',
  'backend-restart',
  'backend-drain',
  'new-version',
];

const minDurationMs: Millis = 200;
const maxDurationMs: Millis = 4000;
/** Probability that a fault occurs three times in a row on the same node. */
const seriesProbability = 0.2;
const seriesGapMs: Millis = 700;

/** Size of the fleet, number of faults and time over which they start. */
export interface FaultPlanOptions {
  readonly nodes: number;
  readonly faults: number;
  readonly lengthMs: Millis;
}

/** Generates the faults of a run; the same seed gives the same plan. */
export function makeFaultPlan(
  seed: number,
  options: FaultPlanOptions,
): readonly Fault[] {
  const random = makeRandom(seed);
  const plan: Fault[] = [];
  while (plan.length < options.faults)
    plan.push(...makeSeries(random, options));
  return plan.sort((a, b) => a.atMs - b.atMs);
}

function makeSeries(
  random: Random,
  {nodes, lengthMs}: FaultPlanOptions,
): readonly Fault[] {
  const first: Fault = {
    kind: faultKinds[Math.floor(random() * faultKinds.length)],
    atMs: Math.round(random() * lengthMs),
    forMs: Math.round(
      minDurationMs + random() * (maxDurationMs - minDurationMs),
    ),
    node: Math.floor(random() * nodes),
  };
  if (random() >= seriesProbability) return [first];
  return [0, 1, 2].map(step => ({
    ...first,
    atMs: first.atMs + step * (first.forMs + seriesGapMs),
  }));
}
