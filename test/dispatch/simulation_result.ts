import {LoadPattern, Request, Server} from './simulation_types.js';

/** Results of a simulation, as fractions of the requests except where noted. */
export interface SimulationResult {
  readonly inTarget: number;
  readonly served: number;
  readonly worstClass: number;
  /** Smallest fraction served within the target in any window of two seconds. */
  readonly worstWindow: number;
  /** Fraction of the slot time spent on runs without an answer by the deadline. */
  readonly wasted: number;
  /** Number of runs that faulty servers have failed while requests arrived. */
  readonly failedRuns: number;
  /** Fraction of the requests that were never run and were held for three quarters of their time or longer. */
  readonly heldToEnd: number;
  /** When each server's runs started. */
  readonly starts: readonly (readonly number[])[];
  /**
   * Smallest fraction of the sound servers that start a run in any window of two seconds. A server is sound from two
   * seconds after a fault on.
   */
  readonly worstUse: number;
  getServedBetween(fromMs: number, untilMs: number): number;
}

/** Length of the windows in which the use of servers is measured, and time from a fault until a server is sound. */
const useWindowMs = 2000;
const soundAfterMs = 2000;

function computeWorstUse(
  pattern: LoadPattern,
  servers: readonly Server[],
): number {
  const shares: number[] = [];
  // The first windows show servers that no request has reached yet.
  for (
    let from = 2 * useWindowMs;
    from + useWindowMs <= pattern.lengthMs;
    from += useWindowMs / 4
  ) {
    const until = from + useWindowMs;
    const sound = servers.filter(({index}) =>
      isSoundBetween(pattern, index, from - soundAfterMs, until),
    );
    const used = sound.filter(({starts}) =>
      starts.some(at => at >= from && at < until),
    );
    shares.push(used.length / Math.max(1, sound.length));
  }
  return Math.min(...shares);
}

/** Whether a server has no fault in this time. */
function isSoundBetween(
  pattern: LoadPattern,
  server: number,
  from: number,
  until: number,
): boolean {
  for (let at = from; at < until; at += 100) {
    if (pattern.isFaulty(server, at)) return false;
  }
  return true;
}

/** Computes the results of a simulation from its requests and servers. */
export function computeResult(
  pattern: LoadPattern,
  requests: readonly Request[],
  servers: readonly Server[],
  totals: Pick<SimulationResult, 'wasted' | 'failedRuns'>,
): SimulationResult {
  const isInTarget = ({endedAt, arrivedAt, kind}: Request) =>
    endedAt !== undefined && endedAt - arrivedAt <= kind.targetMs;
  const measure = (
    counted: readonly Request[],
    isCounted: (request: Request) => boolean,
  ) => counted.filter(isCounted).length / Math.max(1, counted.length);
  const listBetween = (from: number, until: number) =>
    requests.filter(({arrivedAt}) => arrivedAt >= from && arrivedAt < until);
  const isServed = ({endedAt}: Request) => endedAt !== undefined;
  const windows: number[] = [];
  for (let from = 0; from < pattern.lengthMs; from += 2000) {
    windows.push(measure(listBetween(from, from + 2000), isInTarget));
  }
  return {
    inTarget: measure(requests, isInTarget),
    served: measure(requests, isServed),
    worstClass: Math.min(
      ...pattern.classes.map(kind =>
        measure(
          requests.filter(request => request.kind === kind),
          isInTarget,
        ),
      ),
    ),
    worstWindow: Math.min(...windows),
    ...totals,
    heldToEnd: measure(
      requests,
      ({refusedAt, arrivedAt, kind, runs}) =>
        runs === 0 &&
        refusedAt !== undefined &&
        refusedAt - arrivedAt >= kind.deadlineMs * 0.75,
    ),
    starts: servers.map(({starts}) => starts),
    worstUse: computeWorstUse(pattern, servers),
    getServedBetween: (from, until) =>
      measure(listBetween(from, until), isServed),
  };
}
