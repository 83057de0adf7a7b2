import {Millis} from '../base/index.js';
import {EjectionRule} from '../config/index.js';
import {
  advanceHealth,
  Observation,
  applyObservation,
  reportHealth,
  ServerHealth,
  initialHealth,
} from '../health/index.js';
import {ReportedHealth} from '../membership/index.js';

/** One observer's view of one backend server. */
export interface Detector {
  observe(seen: Observation, baselineMs: Millis): void;
  report(nowMs: Millis): ReportedHealth;
  getTypicalLatency(): Millis;
}

/** The product's detector. */
export class CusumDetector implements Detector {
  private health: ServerHealth = initialHealth;

  constructor(private readonly rule: EjectionRule) {}

  observe(seen: Observation, baselineMs: Millis): void {
    this.health = applyObservation(this.health, this.rule, baselineMs, seen);
  }

  report(nowMs: Millis): ReportedHealth {
    this.health = advanceHealth(this.health, this.rule, nowMs);
    return reportHealth(this.health, this.rule, nowMs);
  }

  getTypicalLatency(): Millis {
    return this.health.typicalMs;
  }
}

const plainFailures = 5;
const plainLimitMs: Millis = 200;
const plainEjectMs: Millis = 30_000;
const plainWeight = 0.1;

/** The plain way: five failures in a row, or a running mean above 200 ms, eject for 30 s. */
export class ThresholdDetector implements Detector {
  private failures = 0;
  private meanMs = 0;
  private ejectedAtMs: Millis | undefined;

  observe(seen: Observation): void {
    this.report(seen.atMs);
    if (this.ejectedAtMs !== undefined) return;
    const failed = seen.kind === 'timeout' || isFailure(seen);
    if (failed) this.failures += 1;
    else if (seen.kind === 'answer') this.failures = 0;
    if (seen.kind === 'answer' && seen.tookMs !== undefined) {
      this.meanMs =
        this.meanMs === 0
          ? seen.tookMs
          : this.meanMs + plainWeight * (seen.tookMs - this.meanMs);
    }
    if (this.failures >= plainFailures || this.meanMs > plainLimitMs) {
      this.ejectedAtMs = seen.atMs;
      this.failures = 0;
      this.meanMs = 0;
    }
  }

  report(nowMs: Millis): ReportedHealth {
    if (
      this.ejectedAtMs !== undefined &&
      nowMs >= this.ejectedAtMs + plainEjectMs
    ) {
      this.ejectedAtMs = undefined;
    }
    return this.ejectedAtMs === undefined
      ? {kind: 'healthy'}
      : {kind: 'ejected', reason: 'failing', sinceMs: this.ejectedAtMs};
  }

  getTypicalLatency(): Millis {
    return this.meanMs;
  }
}

function isFailure(seen: Observation): boolean {
  return seen.kind === 'answer' && !seen.ok;
}
