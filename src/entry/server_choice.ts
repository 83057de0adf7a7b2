import {BackendServerId, Random} from '../base/index.js';
import {SlotLoad} from '../guard/index.js';
import {ServerWithVerdict} from '../health/index.js';
import {Candidates, prepareCandidates} from './candidates.js';

/** The backend server chosen for an attempt, and why. */
export interface ServerChoice {
  readonly server: ServerWithVerdict;
  readonly reason: 'only-one' | 'more-free-slots' | 'weight';
}

/** Load of backend servers as known to this entry. */
export interface LoadSource {
  getLoad(server: BackendServerId): SlotLoad | undefined;
  /** Requests from this entry that are in flight to the server. */
  countInFlight(server: BackendServerId): number;
}

// With 3 of 45 servers tried, four draws all hit a tried server less than once in 40,000 requests. In that case the
// remaining servers are listed, which takes time linear in their number.
const maxDraws = 4;

/**
 * Weighted power of two choices: draws two backend servers by weight and takes the less loaded one. Undefined if
 * every usable server was tried.
 */
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
    computeUtilization(first, loads) - computeUtilization(second, loads);
  if (difference === 0) return {server: first, reason: 'weight'};
  return {server: difference < 0 ? first : second, reason: 'more-free-slots'};
}

/**
 * Whether a server is expected to have a free slot, judging by its last load report, or by its total number of slots if
 * no report is recent, and by the requests from this entry in flight to it.
 */
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
  firstPick: ServerWithVerdict | undefined,
  random: Random,
): ServerWithVerdict | undefined {
  const isAllowed = (candidate: ServerWithVerdict) =>
    candidate !== firstPick && !tried.has(candidate.known.report.server);
  for (let draw = 0; draw < maxDraws; draw += 1) {
    const candidate = pickByWeight(candidates, random);
    if (!candidate) return undefined;
    if (isAllowed(candidate)) return candidate;
  }
  const rest = candidates.usable.filter(isAllowed);
  return pickByWeight(prepareCandidates(rest), random);
}

function pickByWeight(
  {usable, cumulativeWeights}: Candidates,
  random: Random,
): ServerWithVerdict | undefined {
  if (usable.length === 0) return undefined;
  const point = random() * cumulativeWeights[usable.length - 1];
  let low = 0;
  let high = usable.length - 1;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (cumulativeWeights[middle] > point) high = middle;
    else low = middle + 1;
  }
  return usable[low];
}

/**
 * Requests from this entry in flight to the server plus slots in use by its last load report, divided by slots times
 * weight. Without the weight, a failing server that is kept to satisfy the floor would always look idle, because it
 * responds fast, and would attract requests.
 */
function computeUtilization(
  {known, verdict}: ServerWithVerdict,
  loads: LoadSource,
): number {
  const {server, slots} = known.report;
  const weight = verdict.kind === 'excluded' ? 0 : verdict.weight;
  const free = loads.getLoad(server)?.free ?? slots;
  return (loads.countInFlight(server) + (slots - free)) / (slots * weight);
}
