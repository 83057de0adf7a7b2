import {clampNumber, Millis} from '../base/index.js';
import {EjectionRule} from '../config/index.js';
import {ReportedHealth} from '../membership/index.js';
import {
  updateCusum,
  CusumState,
  failingRatios,
  initialCusum,
  slowRatios,
} from './cusum.js';

/** What a guard observed of one backend server, in a real request or a probe. */
export type Observation =
  /**
   * An answer that ended or broke. `tookMs` excludes the wait for a slot; it is absent if the caller set the pace or if
   * the duration was already counted by `unfinished` observations.
   */
  | {
      readonly kind: 'answer';
      readonly atMs: Millis;
      /** False for a wrong status, a reset, or a cut or stalled body. */
      readonly ok: boolean;
      readonly tookMs?: Millis;
    }
  /** The deadline passed while the backend server was working. */
  | {readonly kind: 'timeout'; readonly atMs: Millis; readonly tookMs: Millis}
  /** The backend server is still working, or was when the caller disconnected. */
  | {
      readonly kind: 'unfinished';
      readonly atMs: Millis;
      readonly tookMs: Millis;
    }
  /** No connection could be made. */
  | {readonly kind: 'connect-failed'; readonly atMs: Millis}
  /**
   * A connection was made, which is no evidence about answers: the server shed the request, it was a probe, or an
   * exchange was aborted without telling more.
   */
  | {readonly kind: 'reached'; readonly atMs: Millis};

/** Why a backend server was ejected. */
export type EjectionReason = 'failing' | 'slow' | 'unreachable';

export type HealthState =
  | {readonly kind: 'healthy'; readonly sinceMs: Millis}
  | {
      readonly kind: 'ejected';
      readonly reason: EjectionReason;
      readonly sinceMs: Millis;
      readonly untilMs: Millis;
    }
  | {
      readonly kind: 'probation';
      readonly cause: 'start' | 'ejection';
      readonly sinceMs: Millis;
      readonly answers: number;
    };

/** Immutable health state of one backend server; each observation makes a new one. */
export interface ServerHealth {
  readonly state: HealthState;
  /** Detectors of failing and of slow answers. */
  readonly failureCusum: CusumState;
  readonly slowCusum: CusumState;
  /** Number of ejections since the last long healthy period. */
  readonly relapses: number;
  /** Running median of the duration of good answers. */
  readonly typicalMs: Millis;
  /** Number of good answers in a row that were slower (positive) or faster (negative) than the running median. */
  readonly medianRunLength: number;
  /** Failed connection attempts since the last successful one. */
  readonly connectFailures: number;
  readonly observedAtMs: Millis;
}

/** Health of a backend server without observations. */
export const initialHealth: ServerHealth = {
  state: {kind: 'healthy', sinceMs: 0},
  failureCusum: initialCusum,
  slowCusum: initialCusum,
  relapses: 0,
  typicalMs: 0,
  medianRunLength: 0,
  connectFailures: 0,
  observedAtMs: 0,
};

/** Health of a backend server that has just become ready: its share rises as in the probation after an ejection. */
export function makeStartupHealth(nowMs: Millis): ServerHealth {
  return {
    ...initialHealth,
    state: {kind: 'probation', cause: 'start', sinceMs: nowMs, answers: 0},
    observedAtMs: nowMs,
  };
}

// One refused connection may be a restart within the same second; two in a row mean that nothing listens any more.
const maxConnectFailures = 2;
// After an ejection the prior odds of a fault are high, so half of the threshold is enough.
const relapseThresholdFactor = 0.5;
// The bad answers must span this fraction of `ejectMs`, because one pause of a server delays all its answers in flight:
// pauses of 300 ms nearly doubled the ejections of healthy servers (21 instead of 12 per server-day at 10 requests/s).
const minEvidenceSpanShare = 0.1;
// Probation lasts at least `probationMs` and until this many answers were observed, but no longer than
// `maxProbationFactor` times `probationMs`, so that an idle backend server does not stay in probation forever.
const minProbationAnswers = 10;
const maxProbationFactor = 3;
// A healthy period of this many times the longest ejection resets the number of relapses; a shorter one would also
// reset it for a server that flaps slowly.
const relapseResetFactor = 2;
// Slow limit while the typical answer duration of the service is unknown.
const defaultSlowLimitMs: Millis = 1000;
// One answer moves the running median by 5%, so a single outlier of any size moves it by 5% only. In these steps alone a
// tenfold change would take 48 answers; with the larger steps below, 14 answers in a row on the same side are enough.
const medianStep = 1.05;
// From the fifth answer in a row on the same side, the median moves in steps of 25%: after a slowdown of the whole
// service the baseline must rise soon, or the ejections in a service with few requests lie too far apart in time to be
// recognised as having a common cause.
const fastMedianRunLength = 5;
const fastMedianStep = 1.25;

/**
 * Multiples of the slow limit at which an unfinished answer counts as slow, each once. With three of them, three
 * hanging slots reach the threshold of either preset; with more, a few long requests would reach it.
 */
export const overdueMultiples: readonly number[] = [1, 4, 16];

/** Duration from which an answer counts as slow. */
export function getSlowLimit(rule: EjectionRule, baselineMs: Millis): Millis {
  if (baselineMs <= 0) return defaultSlowLimitMs;
  return Math.max(rule.slowFloorMs, baselineMs * rule.slowFactor);
}

/** Updates the health with one observation; `baselineMs` is the service's typical answer duration, 0 if unknown. */
export function applyObservation(
  health: ServerHealth,
  rule: EjectionRule,
  baselineMs: Millis,
  observation: Observation,
): ServerHealth {
  const current = {
    ...advanceHealth(health, rule, observation.atMs),
    observedAtMs: observation.atMs,
  };
  if (observation.kind === 'connect-failed') {
    return recordConnectFailure(current, rule, observation.atMs);
  }
  const reached = {...current, connectFailures: 0};
  const input = findDetectorInput(observation, getSlowLimit(rule, baselineMs));
  if (!input) return reached;
  return checkDetectors(
    updateDetectors(reached, observation, input),
    rule,
    observation.atMs,
  );
}

/** Input of an observation to each detector; undefined if it is no evidence for that detector. */
interface DetectorInput {
  readonly failed?: boolean;
  readonly slow?: boolean;
}

function findDetectorInput(
  observation: Exclude<Observation, {kind: 'connect-failed'}>,
  limitMs: Millis,
): DetectorInput | undefined {
  switch (observation.kind) {
    case 'reached':
      return undefined;
    case 'answer': {
      if (observation.tookMs === undefined) return {failed: !observation.ok};
      const slow = observation.tookMs > limitMs;
      // A quick failure is no evidence that the server is fast.
      return observation.ok || slow
        ? {failed: !observation.ok, slow}
        : {failed: true};
    }
    case 'timeout':
      // A timeout below the slow limit is due to the caller's short deadline, not to the server.
      return observation.tookMs > limitMs
        ? {failed: true, slow: true}
        : undefined;
    case 'unfinished':
      return observation.tookMs > limitMs ? {slow: true} : undefined;
  }
}

function updateDetectors(
  health: ServerHealth,
  observation: Observation,
  {failed, slow}: DetectorInput,
): ServerHealth {
  const {state} = health;
  const tookMs =
    observation.kind === 'answer' && observation.ok && observation.tookMs
      ? observation.tookMs
      : undefined;
  const {typicalMs, medianRunLength} = tookMs
    ? updateMedian(health, tookMs)
    : health;
  // Answers to requests sent before the ejection are no evidence about the time after it.
  if (state.kind === 'ejected') return {...health, typicalMs, medianRunLength};
  // A cold start is slow without a fault.
  const isColdStart = state.kind === 'probation' && state.cause === 'start';
  return {
    ...health,
    typicalMs,
    medianRunLength,
    state:
      state.kind === 'probation'
        ? {...state, answers: state.answers + 1}
        : state,
    failureCusum:
      failed === undefined
        ? health.failureCusum
        : updateCusum(
            health.failureCusum,
            failingRatios,
            failed,
            observation.atMs,
          ),
    slowCusum:
      slow === undefined || isColdStart
        ? health.slowCusum
        : updateCusum(health.slowCusum, slowRatios, slow, observation.atMs),
  };
}

function checkDetectors(
  health: ServerHealth,
  rule: EjectionRule,
  atMs: Millis,
): ServerHealth {
  const {state} = health;
  if (state.kind === 'ejected') return health;
  const isRelapse = state.kind === 'probation' && state.cause === 'ejection';
  const factor = isRelapse ? relapseThresholdFactor : 1;
  const spanMs = rule.ejectMs * minEvidenceSpanShare;
  const hasReached = (cusum: CusumState, threshold: number): boolean =>
    cusum.nats >= threshold * factor &&
    cusum.lastBadMs - cusum.firstBadMs >= spanMs;
  if (hasReached(health.failureCusum, rule.failureThreshold)) {
    return ejectServer(health, rule, 'failing', atMs);
  }
  if (hasReached(health.slowCusum, rule.slowThreshold)) {
    return ejectServer(health, rule, 'slow', atMs);
  }
  return health;
}

function recordConnectFailure(
  health: ServerHealth,
  rule: EjectionRule,
  atMs: Millis,
): ServerHealth {
  const connectFailures = health.connectFailures + 1;
  const failed = {...health, connectFailures};
  if (connectFailures < maxConnectFailures || failed.state.kind === 'ejected') {
    return failed;
  }
  return ejectServer(failed, rule, 'unreachable', atMs);
}

function updateMedian(
  {typicalMs, medianRunLength}: ServerHealth,
  tookMs: Millis,
): Pick<ServerHealth, 'typicalMs' | 'medianRunLength'> {
  if (typicalMs <= 0) return {typicalMs: tookMs, medianRunLength: 0};
  const direction = tookMs > typicalMs ? 1 : -1;
  const run =
    medianRunLength * direction > 0 ? medianRunLength + direction : direction;
  const step =
    Math.abs(run) < fastMedianRunLength ? medianStep : fastMedianStep;
  return {typicalMs: typicalMs * step ** direction, medianRunLength: run};
}

/** Ejects a server for a duration that doubles with each relapse, up to the rule's maximum. */
export function ejectServer(
  health: ServerHealth,
  rule: EjectionRule,
  reason: EjectionReason,
  atMs: Millis,
): ServerHealth {
  const durationMs = Math.min(
    rule.maxEjectMs,
    rule.ejectMs * 2 ** health.relapses,
  );
  return {
    ...health,
    state: {kind: 'ejected', reason, sinceMs: atMs, untilMs: atMs + durationMs},
    failureCusum: initialCusum,
    slowCusum: initialCusum,
    relapses: health.relapses + 1,
  };
}

/** Shortens an ejection with a common cause to the length of a first ejection, and resets the number of relapses. */
export function resetEjectionBackoff(
  health: ServerHealth,
  rule: EjectionRule,
): ServerHealth {
  const {state} = health;
  if (state.kind !== 'ejected') return health;
  const untilMs = Math.min(state.untilMs, state.sinceMs + rule.ejectMs);
  if (health.relapses === 0 && untilMs === state.untilMs) return health;
  return {...health, relapses: 0, state: {...state, untilMs}};
}

/** Applies the transitions that depend on time alone. */
export function advanceHealth(
  health: ServerHealth,
  rule: EjectionRule,
  nowMs: Millis,
): ServerHealth {
  const {state} = health;
  switch (state.kind) {
    case 'healthy':
      return health.relapses > 0 &&
        nowMs - state.sinceMs >= relapseResetFactor * rule.maxEjectMs
        ? {...health, relapses: 0}
        : health;
    case 'ejected': {
      // A server that still refuses connections cannot answer in probation.
      const isUnreachable =
        state.reason === 'unreachable' && health.connectFailures > 0;
      return nowMs < state.untilMs || isUnreachable
        ? health
        : {
            ...health,
            state: {
              kind: 'probation',
              cause: 'ejection',
              sinceMs: nowMs,
              answers: 0,
            },
          };
    }
    case 'probation': {
      const ageMs = nowMs - state.sinceMs;
      const hasEnoughAnswers = state.answers >= minProbationAnswers;
      const isOver =
        ageMs >= rule.probationMs * maxProbationFactor ||
        (hasEnoughAnswers && ageMs >= rule.probationMs);
      return isOver
        ? {...health, state: {kind: 'healthy', sinceMs: nowMs}}
        : health;
    }
  }
}

const shareStep = 0.1;

/** Health as published in the node record; the share rises in steps, so that the record seldom changes. */
export function reportHealth(
  health: ServerHealth,
  rule: EjectionRule,
  nowMs: Millis,
): ReportedHealth {
  const {state} = health;
  switch (state.kind) {
    case 'healthy':
      return {kind: 'healthy'};
    case 'ejected':
      return {kind: 'ejected', reason: state.reason, sinceMs: state.sinceMs};
    case 'probation': {
      const progress = (nowMs - state.sinceMs) / rule.probationMs;
      const steps = clampNumber(
        Math.ceil(progress / shareStep),
        1,
        1 / shareStep,
      );
      return {kind: 'probation', share: steps / (1 / shareStep)};
    }
  }
}
