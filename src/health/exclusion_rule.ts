import {BackendServerId, Millis, NodeId} from '../base/index.js';
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
  | 'suspected'
  | 'failing'
  | 'slow';

/** What the rule says of one backend server. */
export type ExclusionVerdict =
  | {readonly kind: 'usable'; readonly weight: number}
  | {readonly kind: 'excluded'; readonly reason: ExclusionReason}
  | {
      readonly kind: 'kept-by-floor' | 'kept-by-common-cause';
      readonly weight: number;
      readonly reason: ExclusionReason;
    };

/** A backend server with its verdict. */
export interface ServerWithVerdict {
  readonly known: KnownServer;
  readonly verdict: ExclusionVerdict;
}

/** What the entry knows besides the roster. */
export interface ExclusionContext {
  isRetired(server: BackendServerId): boolean;
  /** Whether this entry itself failed to connect to the node: a fact, which the floor does not bind. */
  isUnreachable(node: NodeId): boolean;
  /** Whether witnesses in two data centres suspect the node: a judgement, which the floor binds. */
  isSuspected(node: NodeId): boolean;
}

type JudgementReason = 'slow' | 'suspected' | 'failing' | 'unreachable';

/**
 * From the least bad to the worst. A slow server still answers. A call to a suspected node either works or is
 * certainly not run, and can go elsewhere; a failing server gives the caller an error. An unreachable one has no
 * capacity.
 */
const badness: Readonly<Record<JudgementReason, number>> = {
  slow: 0,
  suspected: 1,
  failing: 2,
  unreachable: 3,
};

/**
 * Weight of a server that would be excluded but for the floor. A slow one gives good answers; the others weigh less
 * than the smallest share of a starting server.
 */
const floorWeights: Readonly<Record<JudgementReason, number>> = {
  slow: 0.5,
  suspected: 0.05,
  failing: 0.05,
  unreachable: 0.05,
};

// Servers that alarmed together keep half their weight: none is ejected, and those without an alarm get more.
const commonCauseWeight = 0.5;

/** Alarms that began within this time of each other are taken as one event. */
const togetherMs: Millis = 30_000;

// Shares are multiples of 0.1, whose sums are inexact.
const rounding = 1e-9;

/** States of fact: such a server has no capacity to lose. */
function findFact(
  known: KnownServer,
  context: ExclusionContext,
): ExclusionReason | undefined {
  const {report, record} = known;
  if (context.isRetired(report.server)) return 'retired';
  if (report.phase !== 'ready') return report.phase;
  if (record.state === 'leaving') return 'node-leaving';
  if (context.isUnreachable(record.node)) return 'unreachable';
  return undefined;
}

function findJudgement(
  known: KnownServer,
  context: ExclusionContext,
): JudgementReason | undefined {
  const {health} = known.report;
  const reason = health.kind === 'ejected' ? health.reason : undefined;
  const suspected = context.isSuspected(known.record.node);
  if (!suspected) return reason;
  return reason && badness[reason] > badness.suspected ? reason : 'suspected';
}

/**
 * The one rule by which backend servers are excluded. Facts always exclude. Judgements (ejections, suspicions by
 * witnesses) exclude only while the capacity of the other ready servers is at least the floor, and not when the
 * cause is common. The usable servers are never fewer than the floor, or than all ready servers if these are fewer.
 */
export function applyExclusionRule(
  service: Service,
  servers: readonly KnownServer[],
  context: ExclusionContext,
): readonly ServerWithVerdict[] {
  const ready = servers.filter(known => !findFact(known, context));
  const common = findCommonCause(service, ready);
  const kept = findKept(service, ready, common, context);
  return servers.map(known => {
    const fact = findFact(known, context);
    if (fact) return {known, verdict: {kind: 'excluded', reason: fact}};
    return {known, verdict: judgeReady(known, common, kept, context)};
  });
}

function judgeReady(
  known: KnownServer,
  common: ReadonlySet<BackendServerId>,
  kept: ReadonlySet<BackendServerId>,
  context: ExclusionContext,
): ExclusionVerdict {
  const {server} = known.report;
  const reason = findJudgement(known, context);
  if (!reason) return {kind: 'usable', weight: measureCapacity(known)};
  if (common.has(server) && reason !== 'suspected') {
    return {kind: 'kept-by-common-cause', weight: commonCauseWeight, reason};
  }
  if (kept.has(server)) {
    return {kind: 'kept-by-floor', weight: floorWeights[reason], reason};
  }
  return {kind: 'excluded', reason};
}

/** Capacity of a server that is not ejected: one, or its share while it is in probation. */
function measureCapacity(known: KnownServer): number {
  const {health} = known.report;
  return health.kind === 'probation' ? health.share : 1;
}

/**
 * Capacity of servers together, in units of the one with the largest share. Shares only divide the work: when all
 * servers are new, as after the start of a fleet, each of them can carry its part in full.
 */
function computeCapacity(servers: readonly KnownServer[]): number {
  const capacities = servers.map(measureCapacity);
  const largest = Math.max(...capacities, Number.MIN_VALUE);
  return capacities.reduce((sum, capacity) => sum + capacity / largest, 0);
}

/** The least bad servers that fill what the unjudged ones lack to the floor. */
function findKept(
  service: Service,
  ready: readonly KnownServer[],
  common: ReadonlySet<BackendServerId>,
  context: ExclusionContext,
): ReadonlySet<BackendServerId> {
  const judged = ready.flatMap(known => {
    const reason = findJudgement(known, context);
    return reason ? [{known, reason}] : [];
  });
  const capacity = computeCapacity(
    ready.filter(known => !findJudgement(known, context)),
  );
  const keptAnyway = judged.filter(
    ({known, reason}) =>
      reason !== 'suspected' && common.has(known.report.server),
  ).length;
  const lacking = Math.ceil(service.floor - capacity - rounding) - keptAnyway;
  return new Set(
    judged
      .filter(
        ({known, reason}) =>
          reason === 'suspected' || !common.has(known.report.server),
      )
      .sort(
        (a, b) =>
          badness[a.reason] - badness[b.reason] ||
          getEjectedAt(b.known) - getEjectedAt(a.known) ||
          (a.known.report.server < b.known.report.server ? -1 : 1),
      )
      .slice(0, Math.max(0, lacking))
      .map(({known}) => known.report.server),
  );
}

/**
 * Ready servers whose alarms have a common cause: more than the rule's share of the service, and at least two,
 * alarmed as slow or failing together. Unreachable servers don't count, as they have no capacity to keep.
 */
export function findCommonCause(
  service: Service,
  ready: readonly KnownServer[],
): ReadonlySet<BackendServerId> {
  const alarmed = ready.filter(
    ({report: {health}}) =>
      health.kind === 'ejected' && health.reason !== 'unreachable',
  );
  const needed = Math.max(1, ready.length * service.rule.commonCauseShare);
  const together = alarmed.filter(known => {
    const near = alarmed.filter(
      other => Math.abs(getEjectedAt(known) - getEjectedAt(other)) < togetherMs,
    );
    return near.length > needed;
  });
  return new Set(together.map(known => known.report.server));
}

/** Time of the ejection. The longest ejected have relapsed most, so the newest count as the least bad. */
function getEjectedAt(known: KnownServer): Millis {
  const {health} = known.report;
  return health.kind === 'ejected' ? health.sinceMs : 0;
}
