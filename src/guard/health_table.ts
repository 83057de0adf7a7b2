import {BackendServerId, Clock, Logger, Millis} from '../base/index.js';
import {EjectionRule} from '../config/index.js';
import {
  advanceHealth,
  getSlowLimit,
  makeStartupHealth,
  Observation,
  applyObservation,
  reportHealth,
  ServerHealth,
  resetEjectionBackoff,
} from '../health/index.js';
import {ReportedHealth} from '../membership/index.js';
import {Announcement} from './announcements.js';

/** Dependencies of the health table on its guard. */
export interface HealthContext {
  getRule(announcement: Announcement): EjectionRule;
  getBaseline(announcement: Announcement): Millis;
  /** Whether this server's ejection shares a cause with others of the service. */
  hasCommonCause(announcement: Announcement): boolean;
  /** Called when the health state of a server changes after an observation. */
  onChange(): void;
}

/** Time without an observation after which a server is probed; not shorter, as a probe costs the server about 25 ms. */
export const probePeriodMs: Millis = 5000;
/** Shorter period for a server whose last connection attempt failed. */
const reprobePeriodMs: Millis = 1000;

interface HealthEntry {
  readonly incarnation: number;
  readonly health: ServerHealth;
}

/**
 * Health of the backend servers of this VM. A server that stops announcing itself and returns in the same incarnation
 * keeps its health, so that a pause in announcements does not clear an ejection.
 */
export class HealthTable {
  private readonly entries = new Map<BackendServerId, HealthEntry>();

  constructor(
    private readonly context: HealthContext,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Resets the health of a backend server that became ready. */
  reset(announcement: Announcement): void {
    this.set(announcement, makeStartupHealth(this.clock.getTime()));
  }

  get({server, incarnation}: Announcement): ServerHealth {
    const entry = this.entries.get(server);
    return entry?.incarnation === incarnation
      ? entry.health
      : makeStartupHealth(this.clock.getTime());
  }

  /** Response time above which a response of the server counts as slow. */
  getSlowLimit(announcement: Announcement): Millis {
    return getSlowLimit(
      this.context.getRule(announcement),
      this.context.getBaseline(announcement),
    );
  }

  observe(announcement: Announcement, observation: Observation): void {
    const rule = this.context.getRule(announcement);
    const baselineMs = this.context.getBaseline(announcement);
    const before = this.get(announcement);
    this.setAndNotify(
      announcement,
      applyObservation(before, rule, baselineMs, observation),
      before,
    );
  }

  /** Advances the server's health to the present and returns the part of it that goes into the node record. */
  report(announcement: Announcement): {
    readonly health: ReportedHealth;
    readonly typicalMs: Millis;
  } {
    const rule = this.context.getRule(announcement);
    const now = this.clock.getTime();
    const before = this.get(announcement);
    const hasCommonCause =
      before.state.kind === 'ejected' &&
      this.context.hasCommonCause(announcement);
    const after = advanceHealth(
      hasCommonCause ? resetEjectionBackoff(before, rule) : before,
      rule,
      now,
    );
    this.set(announcement, after);
    this.logChange(announcement, before, after);
    return {
      health: reportHealth(after, rule, now),
      typicalMs: roundTypicalTime(after.typicalMs),
    };
  }

  /** Whether the server has been idle long enough that its reachability must be probed. */
  needsProbe(announcement: Announcement): boolean {
    if (announcement.phase !== 'ready') return false;
    const {observedAtMs, connectFailures, state} = this.get(announcement);
    const isSuspect = connectFailures > 0 && state.kind !== 'ejected';
    const idleMs = this.clock.getTime() - observedAtMs;
    return idleMs >= (isSuspect ? reprobePeriodMs : probePeriodMs);
  }

  private set({server, incarnation}: Announcement, health: ServerHealth): void {
    this.entries.set(server, {incarnation, health});
  }

  private setAndNotify(
    announcement: Announcement,
    after: ServerHealth,
    before: ServerHealth,
  ): void {
    this.set(announcement, after);
    if (this.logChange(announcement, before, after)) this.context.onChange();
  }

  private logChange(
    {server, service}: Announcement,
    before: ServerHealth,
    after: ServerHealth,
  ): boolean {
    if (before.state.kind === after.state.kind) return false;
    this.logger.warn(
      {server, service, state: after.state, relapses: after.relapses},
      'backend server health changed',
    );
    return true;
  }
}

// Rounds to steps of about 41%, so that noise within a step does not change the node record.
function roundTypicalTime(typicalMs: Millis): Millis {
  if (typicalMs <= 0) return 0;
  return Math.round(10 * 2 ** (Math.round(2 * Math.log2(typicalMs)) / 2)) / 10;
}
