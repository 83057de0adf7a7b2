import {Clock, Millis, ServiceId} from '../base/index.js';
import {Service} from '../config/index.js';
import {ServerWithVerdict} from '../health/index.js';

/** Usable backend servers of a service, with cumulative weights so that a weighted draw is a binary search. */
export interface Candidates {
  readonly usable: readonly ServerWithVerdict[];
  /** For each index, the sum of the weights of `usable` up to and including it. */
  readonly cumulativeWeights: readonly number[];
  /** Number of all known backend servers, excluded ones included. */
  readonly knownCount: number;
  /** Number of excluded backend servers by reason. */
  readonly excludedCounts: Readonly<Record<string, number>>;
}

/** Builds the candidates of a service from the verdicts on its servers. */
export function prepareCandidates(
  servers: readonly ServerWithVerdict[],
): Candidates {
  const usable: ServerWithVerdict[] = [];
  const cumulativeWeights: number[] = [];
  const excludedCounts: Record<string, number> = {};
  let sum = 0;
  for (const server of servers) {
    const {verdict} = server;
    if (verdict.kind === 'excluded') {
      excludedCounts[verdict.reason] =
        (excludedCounts[verdict.reason] ?? 0) + 1;
    } else {
      sum += verdict.weight;
      usable.push(server);
      cumulativeWeights.push(sum);
    }
  }
  return {
    usable,
    cumulativeWeights,
    knownCount: servers.length,
    excludedCounts,
  };
}

interface CachedCandidates {
  readonly candidates: Candidates;
  readonly cachedAtMs: Millis;
}

// Bounds the delay of changes that come from time alone: the traffic share in probation and the end of a suspicion.
const maxAgeMs: Millis = 100;

/** Caches the candidates of each service until the roster, the configuration or time may have changed them. */
export class CandidateCache {
  private readonly cached = new Map<ServiceId, CachedCandidates>();

  constructor(
    private readonly evaluateServers: (
      service: Service,
    ) => readonly ServerWithVerdict[],
    private readonly clock: Clock,
  ) {}

  get(service: Service): Candidates {
    const now = this.clock.getTime();
    const known = this.cached.get(service.id);
    if (known && now - known.cachedAtMs < maxAgeMs) return known.candidates;
    const candidates = prepareCandidates(this.evaluateServers(service));
    this.cached.set(service.id, {candidates, cachedAtMs: now});
    return candidates;
  }

  /** Clears the cache for all services. */
  reset(): void {
    this.cached.clear();
  }
}
