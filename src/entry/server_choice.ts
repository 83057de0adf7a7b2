import {BackendServerId, Random} from '../base/index.js';
import {SlotLoad} from '../guard/index.js';
import {ServerWithVerdict} from '../health/index.js';
import {Candidates, prepareCandidates} from './candidates.js';

/** A backend server that may take a request, and why it was chosen. */
export interface ServerChoice {
  readonly server: ServerWithVerdict;
  readonly reason: 'only-one' | 'more-free-slots' | 'weight';
}

/** What the entry knows of the load of backend servers. */
export interface LoadSource {
  getLoad(server: BackendServerId): SlotLoad | undefined;
  /** Requests that this entry has under way to the server. */
  countInFlight(server: BackendServerId): number;
}

// With 3 of 45 servers tried, four draws fail less than once in 40,000 requests; then the rest is listed.
const maxDraws = 4;

/** Draws two backend servers by weight and takes the less loaded; undefined if none is left. */
export function chooseServer(
  candidates: Candidates,
  tried: ReadonlySet<BackendServerId>,
  loads: LoadSource,
  random: Random,
): ServerChoice | undefined {
  const first = pickServer(candidates, tried, undefined, random);
  if (!first) return undefined;
  const second = pickServer(candidates, tried, first, random);
  if (!second) return {server: first, reason: 'only-one'};
  const difference =
    measurePressure(first, loads) - measurePressure(second, loads);
  if (difference === 0) return {server: first, reason: 'weight'};
  return {server: difference < 0 ? first : second, reason: 'more-free-slots'};
}

/** Whether a server has a free slot as far as the entry knows; the load that it goes by may be old. */
export function hasFreeSlot(
  {known}: ServerWithVerdict,
  loads: LoadSource,
): boolean {
  const {server, slots} = known.report;
  const free = loads.getLoad(server)?.free ?? slots;
  return loads.countInFlight(server) < free;
}

function pickServer(
  candidates: Candidates,
  tried: ReadonlySet<BackendServerId>,
  other: ServerWithVerdict | undefined,
  random: Random,
): ServerWithVerdict | undefined {
  const isAllowed = (judged: ServerWithVerdict) =>
    judged !== other && !tried.has(judged.known.report.server);
  for (let draw = 0; draw < maxDraws; draw += 1) {
    const judged = pickByWeight(candidates, random);
    if (!judged) return undefined;
    if (isAllowed(judged)) return judged;
  }
  const rest = candidates.usable.filter(isAllowed);
  return pickByWeight(prepareCandidates(rest), random);
}

function pickByWeight(
  {usable, cumulativeWeights: weightSums}: Candidates,
  random: Random,
): ServerWithVerdict | undefined {
  if (usable.length === 0) return undefined;
  const point = random() * weightSums[usable.length - 1];
  let low = 0;
  let high = usable.length - 1;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (weightSums[middle] > point) high = middle;
    else low = middle + 1;
  }
  return usable[low];
}

/**
 * Use of the server's slots, taken as part of its weight: a server that is kept though it fails answers fast and would
 * otherwise always look idle.
 */
function measurePressure(
  {known, verdict}: ServerWithVerdict,
  loads: LoadSource,
): number {
  const {server, slots} = known.report;
  const weight = verdict.kind === 'excluded' ? 0 : verdict.weight;
  const free = loads.getLoad(server)?.free ?? slots;
  return (loads.countInFlight(server) + (slots - free)) / (slots * weight);
}
