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

/** Estimates the health of one backend server from the observations of one observer. */
export interface Detector {
  observe(observation: Observation, baselineMs: Millis): void;
  report(nowMs: Millis): ReportedHealth;
  getTypicalLatency(): Millis;
}

/** The detector that the nodes use. */
export class CusumDetector implements Detector {
  private health: ServerHealth = initialHealth;

  constructor(private readonly rule: EjectionRule) {}

  observe(observation: Observation, baselineMs: Millis): void {
    this.health = applyObservation(
      this.health,
      this.rule,
      baselineMs,
      observation,
    );
  }

  report(nowMs: Millis): ReportedHealth {
    this.health = advanceHealth(this.health, this.rule, nowMs);
    return reportHealth(this.health, this.rule, nowMs);
  }

  getTypicalLatency(): Millis {
    return this.health.typicalMs;
  }
}

const maxConsecutiveFailures = 5;
const maxMeanMs: Millis = 200;
const ejectionMs: Millis = 30_000;
/** Weight of a new latency in the moving average. */
const newLatencyWeight = 0.1;

/** Baseline: ejects for 30 s after five consecutive failures or once the moving average of latencies exceeds 200 ms. */
export class ThresholdDetector implements Detector {
  private failures = 0;
  private meanMs = 0;
  private ejectedAtMs: Millis | undefined;

  observe(observation: Observation): void {
    this.report(observation.atMs);
    if (this.ejectedAtMs !== undefined) return;
    const failed = observation.kind === 'timeout' || isFailure(observation);
    if (failed) this.failures += 1;
    else if (observation.kind === 'answer') this.failures = 0;
    if (observation.kind === 'answer' && observation.tookMs !== undefined) {
      this.meanMs =
        this.meanMs === 0
          ? observation.tookMs
          : this.meanMs + newLatencyWeight * (observation.tookMs - this.meanMs);
    }
    if (this.failures >= maxConsecutiveFailures || this.meanMs > maxMeanMs) {
      this.ejectedAtMs = observation.atMs;
      this.failures = 0;
      this.meanMs = 0;
    }
  }

  report(nowMs: Millis): ReportedHealth {
    if (
      this.ejectedAtMs !== undefined &&
      nowMs >= this.ejectedAtMs + ejectionMs
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

function isFailure(observation: Observation): boolean {
  return observation.kind === 'answer' && !observation.ok;
}
