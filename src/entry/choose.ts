import {BackendServerId, Random} from '../base/index.js';
import {JudgedServer} from '../health/index.js';
import {SlotLoad} from '../guard/index.js';

/** A backend server that may take a request, and why it was chosen. */
export interface Choice {
  readonly server: JudgedServer;
  readonly reason: 'only-one' | 'more-free-slots' | 'weight';
}

/** What the entry knows of the load of backend servers. */
export interface LoadView {
  getLoad(server: BackendServerId): SlotLoad | undefined;
  /** Requests that this entry has under way to the server. */
  countInFlight(server: BackendServerId): number;
}

function getWeight(judged: JudgedServer): number {
  return judged.verdict.kind === 'excluded' ? 0 : judged.verdict.weight;
}

function pickByWeight(
  servers: readonly JudgedServer[],
  random: Random,
): JudgedServer {
  const total = servers.reduce((sum, judged) => sum + getWeight(judged), 0);
  let rest = random() * total;
  for (const judged of servers) {
    rest -= getWeight(judged);
    if (rest <= 0) return judged;
  }
  return servers[servers.length - 1];
}

function measurePressure(judged: JudgedServer, loads: LoadView): number {
  const {server, slots} = judged.known.report;
  const free = loads.getLoad(server)?.free ?? slots;
  return (loads.countInFlight(server) + (slots - free)) / slots;
}

/** Draws two backend servers by weight and takes the less loaded; undefined if none is left. */
export function chooseServer(
  judged: readonly JudgedServer[],
  tried: ReadonlySet<BackendServerId>,
  loads: LoadView,
  random: Random,
): Choice | undefined {
  const candidates = judged.filter(
    ({known, verdict}) =>
      verdict.kind !== 'excluded' && !tried.has(known.report.server),
  );
  if (candidates.length === 0) return undefined;
  if (candidates.length === 1) {
    return {server: candidates[0], reason: 'only-one'};
  }
  const first = pickByWeight(candidates, random);
  const rest = candidates.filter(candidate => candidate !== first);
  const second = pickByWeight(rest, random);
  const difference =
    measurePressure(first, loads) - measurePressure(second, loads);
  if (difference === 0) return {server: first, reason: 'weight'};
  return {server: difference < 0 ? first : second, reason: 'more-free-slots'};
}
