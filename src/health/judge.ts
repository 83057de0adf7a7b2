import {BackendServerId, NodeId} from '../base/index.js';
import {Service} from '../config/index.js';
import {KnownServer} from '../membership/index.js';

/** Why a backend server gets no work from this entry. */
export type ExclusionReason =
  | 'retired'
  | 'starting'
  | 'draining'
  | 'stopped'
  | 'node-leaving'
  | 'unreachable'
  | 'failing'
  | 'slow';

/** What the rule says of one backend server. */
export type Verdict =
  | {readonly kind: 'usable'; readonly weight: number}
  | {readonly kind: 'excluded'; readonly reason: ExclusionReason}
  | {
      readonly kind: 'kept-by-floor';
      readonly weight: number;
      readonly reason: ExclusionReason;
    };

/** A backend server with its verdict. */
export interface JudgedServer {
  readonly known: KnownServer;
  readonly verdict: Verdict;
}

/** What the entry knows besides the roster. */
export interface JudgeContext {
  isRetired(server: BackendServerId): boolean;
  /** Whether this entry or witnesses in two data centres cannot reach the node. */
  isUnreachable(node: NodeId): boolean;
}

const keptWeight = 0.1;

/** States of fact: such a server has no capacity to lose. */
function findFact(
  known: KnownServer,
  context: JudgeContext,
): ExclusionReason | undefined {
  const {report, record} = known;
  if (context.isRetired(report.server)) return 'retired';
  if (report.phase !== 'ready') return report.phase;
  if (record.state === 'leaving') return 'node-leaving';
  if (context.isUnreachable(record.node)) return 'unreachable';
  return undefined;
}

/**
 * The one rule by which backend servers are excluded. Facts always exclude; judgements (ejections) exclude only
 * while at least the service's floor of ready servers remains.
 */
export function judgeService(
  service: Service,
  servers: readonly KnownServer[],
  context: JudgeContext,
): readonly JudgedServer[] {
  const ready = servers.filter(known => !findFact(known, context));
  const ejected = ready
    .filter(known => known.report.health.kind === 'ejected')
    .sort((a, b) => getEjectionTime(a) - getEjectionTime(b));
  const maxEjected = Math.max(0, ready.length - service.floor);
  const excluded = new Set(
    ejected.slice(0, maxEjected).map(known => known.report.server),
  );
  return servers.map(known => {
    const fact = findFact(known, context);
    if (fact) return {known, verdict: {kind: 'excluded', reason: fact}};
    const {health, server} = known.report;
    switch (health.kind) {
      case 'healthy':
        return {known, verdict: {kind: 'usable', weight: 1}};
      case 'probation':
        return {known, verdict: {kind: 'usable', weight: health.share}};
      case 'ejected':
        return excluded.has(server)
          ? {known, verdict: {kind: 'excluded', reason: health.reason}}
          : {
              known,
              verdict: {
                kind: 'kept-by-floor',
                weight: keptWeight,
                reason: health.reason,
              },
            };
    }
  });
}

function getEjectionTime(known: KnownServer): number {
  const {health} = known.report;
  return health.kind === 'ejected' ? health.sinceMs : 0;
}
