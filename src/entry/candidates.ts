import {Clock, Millis, ServiceId} from '../base/index.js';
import {Service} from '../config/index.js';
import {ServerWithVerdict} from '../health/index.js';

/** The backend servers of a service that may get work, prepared for a choice at constant cost. */
export interface Candidates {
  readonly usable: readonly ServerWithVerdict[];
  /** Sums of the weights of `usable` up to and with each index. */
  readonly cumulativeWeights: readonly number[];
  /** Number of all known backend servers. */
  readonly knownCount: number;
  /** Number of excluded backend servers by reason. */
  readonly excludedCounts: Readonly<Record<string, number>>;
}

/** Prepares the verdicts on a service for choices. */
export function prepareCandidates(
  judged: readonly ServerWithVerdict[],
): Candidates {
  const usable: ServerWithVerdict[] = [];
  const weightSums: number[] = [];
  const excluded: Record<string, number> = {};
  let sum = 0;
  for (const server of judged) {
    const {verdict} = server;
    if (verdict.kind === 'excluded') {
      excluded[verdict.reason] = (excluded[verdict.reason] ?? 0) + 1;
    } else {
      sum += verdict.weight;
      usable.push(server);
      weightSums.push(sum);
    }
  }
  return {
    usable,
    cumulativeWeights: weightSums,
    knownCount: judged.length,
    excludedCounts: excluded,
  };
}

interface Prepared {
  readonly candidates: Candidates;
  readonly atMs: Millis;
}

// Verdicts that change by time alone (the share in probation, the end of a suspicion) are late by this much at most.
const maxAgeMs: Millis = 100;

/** Keeps the candidates of each service until the roster, the configuration or time may have changed them. */
export class CandidateCache {
  private readonly prepared = new Map<ServiceId, Prepared>();

  constructor(
    private readonly judge: (service: Service) => readonly ServerWithVerdict[],
    private readonly clock: Clock,
  ) {}

  get(service: Service): Candidates {
    const now = this.clock.getTime();
    const known = this.prepared.get(service.id);
    if (known && now - known.atMs < maxAgeMs) return known.candidates;
    const candidates = prepareCandidates(this.judge(service));
    this.prepared.set(service.id, {candidates, atMs: now});
    return candidates;
  }

  /** Forgets all verdicts. */
  reset(): void {
    this.prepared.clear();
  }
}
