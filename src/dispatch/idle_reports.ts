import {assertNever, Millis, NodeId, ServiceId} from '../base/index.js';
import {ServerVerdict} from './fault_estimator.js';

/** Requests that a guard asks for while its server is idle. */
export type WantedRequests = 'any' | 'idempotent';

/** Time without a start after which a sound server is reported idle; requests must reach it within 2 s. */
const soundIdleMs: Millis = 1000;
/** Time without a start after which a server that is not sound needs a trial, to show whether its fault has ended. */
const doubtfulIdleMs: Millis = 500;
const suspendedIdleMs: Millis = 700;
/** Time without a start after which the trial of a doubtful server may be a request that must not be repeated. */
const anyTrialIdleMs: Millis = 1500;
/** Interval between the reports of one guard. */
const reportIntervalMs: Millis = 500;
/** Time for which an entry keeps a report. */
const reportLifetimeMs: Millis = 1500;
/** Number of entries that get a report; few of them receive a request for the service at that time. */
export const reportedEntries = 4;

/** Which requests an idle server needs, if any, so that its verdict and its use do not depend on other servers' load. */
export function findWantedRequests(
  verdict: ServerVerdict,
  idleMs: Millis,
): WantedRequests | undefined {
  switch (verdict) {
    case 'sound':
      return idleMs >= soundIdleMs ? 'any' : undefined;
    case 'doubtful':
      if (idleMs >= anyTrialIdleMs) return 'any';
      return idleMs >= doubtfulIdleMs ? 'idempotent' : undefined;
    case 'suspended':
      return idleMs >= suspendedIdleMs ? 'idempotent' : undefined;
    default:
      return assertNever(verdict);
  }
}

/** Whether a request is one of those that an idle server needs. */
export function isWantedRequest(
  wanted: WantedRequests | undefined,
  isIdempotent: boolean,
): boolean {
  return wanted === 'any' || (wanted === 'idempotent' && isIdempotent);
}

/** When a guard reports that its server is idle. */
export class IdleReportSchedule {
  private lastReportAt = -Infinity;

  /** Returns what to report now, if a report is due; it then counts as sent. */
  claimReport(
    verdict: ServerVerdict,
    idleMs: Millis,
    now: Millis,
  ): WantedRequests | undefined {
    if (now - this.lastReportAt < reportIntervalMs) return undefined;
    const wanted = findWantedRequests(verdict, idleMs);
    if (wanted) this.lastReportAt = now;
    return wanted;
  }
}

interface IdleReport {
  readonly node: NodeId;
  readonly wanted: WantedRequests;
  readonly expiresAt: Millis;
}

/**
 * Idle servers by service, as their guards have reported to this entry. Ranking alone leaves a server idle as long as
 * others are ranked before it and have free slots, which in a large service is always so.
 */
export class IdleReports {
  private readonly byService = new Map<ServiceId, IdleReport[]>();

  record(
    service: ServiceId,
    node: NodeId,
    wanted: WantedRequests,
    now: Millis,
  ): void {
    const reports = this.listCurrent(service, now).filter(
      report => report.node !== node,
    );
    reports.push({node, wanted, expiresAt: now + reportLifetimeMs});
    this.byService.set(service, reports);
  }

  /** Takes the oldest report that this request satisfies; each report is used once. */
  claim(
    service: ServiceId,
    isIdempotent: boolean,
    canAsk: (node: NodeId) => boolean,
    now: Millis,
  ): NodeId | undefined {
    const reports = this.listCurrent(service, now);
    const used = reports.find(
      ({node, wanted}) => isWantedRequest(wanted, isIdempotent) && canAsk(node),
    );
    this.byService.set(
      service,
      reports.filter(report => report !== used),
    );
    return used?.node;
  }

  private listCurrent(service: ServiceId, now: Millis): IdleReport[] {
    const reports = this.byService.get(service) ?? [];
    return reports.filter(({expiresAt}) => now < expiresAt);
  }
}
