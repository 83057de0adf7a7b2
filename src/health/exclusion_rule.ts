import {BackendServerId, Millis, NodeId} from '../base/index.js';
import {Service} from '../config/index.js';
import {KnownServer} from '../membership/index.js';

/** Why a backend server gets no requests from this entry. */
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

/** Result of the exclusion rule for one backend server. */
export type ExclusionVerdict =
  | {readonly kind: 'usable'; readonly weight: number}
  | {readonly kind: 'excluded'; readonly reason: ExclusionReason}
  | {
      readonly kind: 'kept-by-floor' | 'kept-by-common-cause';
      readonly weight: number;
      readonly reason: ExclusionReason;
    };

export interface ServerWithVerdict {
  readonly known: KnownServer;
  readonly verdict: ExclusionVerdict;
}

/** What the exclusion rule needs besides the roster. */
export interface ExclusionContext {
  isRetired(server: BackendServerId): boolean;
  /** Whether this entry itself failed to connect to the node: a hard reason, which excludes even below the floor. */
  isUnreachable(node: NodeId): boolean;
  /** Whether witnesses in two data centres suspect the node: a soft reason, which the floor limits. */
  isSuspected(node: NodeId): boolean;
}

/** Reasons that are conclusions from observations and may be wrong. */
type SoftReason = 'slow' | 'suspected' | 'failing' | 'unreachable';

/**
 * Order in which the floor keeps servers, lowest first. A slow server still answers. A call to a suspected node either
 * works or is certainly not run, so that it can be sent elsewhere; a failing server gives the caller an error. An
 * unreachable server has no capacity.
 */
const severity: Readonly<Record<SoftReason, number>> = {
  slow: 0,
  suspected: 1,
  failing: 2,
  unreachable: 3,
};

/**
 * Weight of a server that only the floor keeps in use. A slow one gives good answers; the others weigh less than the
 * smallest share of a starting server.
 */
const floorWeights: Readonly<Record<SoftReason, number>> = {
  slow: 0.5,
  suspected: 0.05,
  failing: 0.05,
  unreachable: 0.05,
};

// Servers ejected with a common cause stay in use at half weight, so that the servers that are not ejected get more.
const commonCauseWeight = 0.5;

/** Ejections that began within this time of each other count as one event. */
const commonCauseWindowMs: Millis = 30_000;

// Shares are multiples of 0.1, whose floating-point sums are inexact.
const roundingTolerance = 1e-9;

/** Returns the reason, if any, that always excludes the server: in such a state it has no capacity to lose. */
function findHardReason(
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

function findSoftReason(
  known: KnownServer,
  context: ExclusionContext,
): SoftReason | undefined {
  const {health} = known.report;
  const reason = health.kind === 'ejected' ? health.reason : undefined;
  const suspected = context.isSuspected(known.record.node);
  if (!suspected) return reason;
  return reason && severity[reason] > severity.suspected ? reason : 'suspected';
}

/**
 * The one rule by which backend servers are excluded. Hard reasons always exclude. Soft reasons (ejections, suspicions
 * by witnesses) exclude only while the capacity of the other ready servers is at least the floor, and ejections with a
 * common cause do not exclude. The servers that stay in use are never fewer than the floor, or than all ready servers
 * if these are fewer.
 */
export function applyExclusionRule(
  service: Service,
  servers: readonly KnownServer[],
  context: ExclusionContext,
): readonly ServerWithVerdict[] {
  const ready = servers.filter(known => !findHardReason(known, context));
  const commonCause = findCommonCause(service, ready);
  const keptByFloor = findKeptByFloor(service, ready, commonCause, context);
  return servers.map(known => {
    const hardReason = findHardReason(known, context);
    if (hardReason)
      return {known, verdict: {kind: 'excluded', reason: hardReason}};
    return {
      known,
      verdict: makeReadyVerdict(known, commonCause, keptByFloor, context),
    };
  });
}

function makeReadyVerdict(
  known: KnownServer,
  commonCause: ReadonlySet<BackendServerId>,
  keptByFloor: ReadonlySet<BackendServerId>,
  context: ExclusionContext,
): ExclusionVerdict {
  const {server} = known.report;
  const reason = findSoftReason(known, context);
  if (!reason) return {kind: 'usable', weight: getCapacity(known)};
  if (commonCause.has(server) && reason !== 'suspected') {
    return {kind: 'kept-by-common-cause', weight: commonCauseWeight, reason};
  }
  if (keptByFloor.has(server)) {
    return {kind: 'kept-by-floor', weight: floorWeights[reason], reason};
  }
  return {kind: 'excluded', reason};
}

/** Capacity of a server that is not ejected: 1, or its share while it is in probation. */
function getCapacity(known: KnownServer): number {
  const {health} = known.report;
  return health.kind === 'probation' ? health.share : 1;
}

/**
 * Total capacity of servers, in units of the largest one. Shares only divide the load: when all servers are new, as
 * after the start of a fleet, each of them can carry its full part.
 */
function computeCapacity(servers: readonly KnownServer[]): number {
  const capacities = servers.map(getCapacity);
  const largest = Math.max(...capacities, Number.MIN_VALUE);
  return capacities.reduce((sum, capacity) => sum + capacity / largest, 0);
}

/** Selects the least severe servers to fill the gap between the capacity without a soft reason and the floor. */
function findKeptByFloor(
  service: Service,
  ready: readonly KnownServer[],
  commonCause: ReadonlySet<BackendServerId>,
  context: ExclusionContext,
): ReadonlySet<BackendServerId> {
  const candidates = ready.flatMap(known => {
    const reason = findSoftReason(known, context);
    return reason ? [{known, reason}] : [];
  });
  const capacity = computeCapacity(
    ready.filter(known => !findSoftReason(known, context)),
  );
  const commonCauseCount = candidates.filter(
    ({known, reason}) =>
      reason !== 'suspected' && commonCause.has(known.report.server),
  ).length;
  const missing =
    Math.ceil(service.floor - capacity - roundingTolerance) - commonCauseCount;
  return new Set(
    candidates
      .filter(
        ({known, reason}) =>
          reason === 'suspected' || !commonCause.has(known.report.server),
      )
      .sort(
        (a, b) =>
          severity[a.reason] - severity[b.reason] ||
          getEjectedAt(b.known) - getEjectedAt(a.known) ||
          (a.known.report.server < b.known.report.server ? -1 : 1),
      )
      .slice(0, Math.max(0, missing))
      .map(({known}) => known.report.server),
  );
}

/**
 * Ready servers whose ejections have a common cause: more than the rule's share of the service, and at least two, were
 * ejected as slow or failing within `commonCauseWindowMs`. Unreachable servers don't count, as they have no capacity.
 */
export function findCommonCause(
  service: Service,
  ready: readonly KnownServer[],
): ReadonlySet<BackendServerId> {
  const ejected = ready.filter(
    ({report: {health}}) =>
      health.kind === 'ejected' && health.reason !== 'unreachable',
  );
  const needed = Math.max(1, ready.length * service.rule.commonCauseShare);
  const clustered = ejected.filter(known => {
    const near = ejected.filter(
      other =>
        Math.abs(getEjectedAt(known) - getEjectedAt(other)) <
        commonCauseWindowMs,
    );
    return near.length > needed;
  });
  return new Set(clustered.map(known => known.report.server));
}

/** Time of the ejection. The floor prefers the newest, as the servers ejected longest ago have relapsed most often. */
function getEjectedAt(known: KnownServer): Millis {
  const {health} = known.report;
  return health.kind === 'ejected' ? health.sinceMs : 0;
}
