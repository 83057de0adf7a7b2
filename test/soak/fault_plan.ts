import {makeRandom, Millis, Random} from '../../src/base/index.js';

/** What a fault does; those with a duration end by themselves. */
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

/** One fault of a run. */
export interface Fault {
  readonly kind: FaultKind;
  readonly atMs: Millis;
  readonly forMs: Millis;
  /** Node whose VM it hits, counted from 0. */
  readonly node: number;
}

const kinds: readonly FaultKind[] = [
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

const minForMs: Millis = 200;
const maxForMs: Millis = 4000;
/** A fault in this many comes in a series of three on the same node. */
const seriesShare = 0.2;
const seriesGapMs: Millis = 700;

/** Size of a run. */
export interface FaultPlanOptions {
  readonly nodes: number;
  readonly faults: number;
  readonly lengthMs: Millis;
}

/** Draws the faults of a run; the same seed gives the same plan. */
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
    kind: kinds[Math.floor(random() * kinds.length)],
    atMs: Math.round(random() * lengthMs),
    forMs: Math.round(minForMs + random() * (maxForMs - minForMs)),
    node: Math.floor(random() * nodes),
  };
  if (random() >= seriesShare) return [first];
  return [0, 1, 2].map(step => ({
    ...first,
    atMs: first.atMs + step * (first.forMs + seriesGapMs),
  }));
}
