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

/** What a guard saw of one backend server, from a real request or from a probe. */
export type Observation =
  /** An answer that ended or broke; `tookMs` excludes the wait for a slot and is absent if the caller set the pace. */
  | {
      readonly kind: 'answer';
      readonly atMs: Millis;
      /** False for a wrong status, a reset, or a cut or stalled body. */
      readonly ok: boolean;
      readonly tookMs?: Millis;
    }
  /** The deadline passed while the backend server was working. */
  | {readonly kind: 'timeout'; readonly atMs: Millis; readonly tookMs: Millis}
  /** The backend server is still working, or was when the caller went away. */
  | {
      readonly kind: 'unfinished';
      readonly atMs: Millis;
      readonly tookMs: Millis;
    }
  /** No connection could be made. */
  | {readonly kind: 'connect-failed'; readonly atMs: Millis}
  /** The backend server was reached, which says no more: a shed or a probe. */
  | {readonly kind: 'reached'; readonly atMs: Millis};

/** Why a backend server was ejected. */
export type EjectionReason = 'failing' | 'slow' | 'unreachable';

/** Phase of trust in a backend server. */
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

/** State of one backend server; replaced by each observation. */
export interface ServerHealth {
  readonly state: HealthState;
  /** CUSUM of the evidence for failing and for slow answers. */
  readonly failureCusum: CusumState;
  readonly slowCusum: CusumState;
  /** Ejections without a long healthy time between them. */
  readonly relapses: number;
  /** Running median of the time of good answers. */
  readonly typicalMs: Millis;
  /** Good answers in a row that were slower (positive) or faster (negative) than the running median. */
  readonly sameSide: number;
  /** Failed connections since the last one that was made. */
  readonly connectFailures: number;
  /** Time of the newest observation. */
  readonly observedAtMs: Millis;
}

/** A healthy backend server of which nothing else is known. */
export const initialHealth: ServerHealth = {
  state: {kind: 'healthy', sinceMs: 0},
  failureCusum: initialCusum,
  slowCusum: initialCusum,
  relapses: 0,
  typicalMs: 0,
  sameSide: 0,
  connectFailures: 0,
  observedAtMs: 0,
};

/** Health of a backend server that has just become ready: its share rises as after an ejection. */
export function makeStartupHealth(nowMs: Millis): ServerHealth {
  return {
    ...initialHealth,
    state: {kind: 'probation', cause: 'start', sinceMs: nowMs, answers: 0},
    observedAtMs: nowMs,
  };
}

// One refused connection may be a restart within the same second; two in a row are a dead listener.
const maxConnectFailures = 2;
// After an ejection the prior odds of a fault are high, so half of the evidence is enough.
const relapseFactor = 0.5;
// The bad answers must spread over this part of an ejection, because all answers held up by one pause come late
// together: pauses of 300 ms doubled the alarms of healthy servers (21 instead of 12 per server-day at 10 requests/s).
const minSpanShare = 0.1;
// Probation goes on until so many answers were seen, but no longer than `maxProbations` times its length: an
// idle backend server must not stay in probation for ever.
const minProbationAnswers = 10;
const maxProbations = 3;
// Relapses are forgotten after this many times the longest ejection, so that a slow flap keeps its count.
const forgetFactor = 2;
// Before the service has a typical time, only an answer that took this long can be held against the server.
const blindLimitMs: Millis = 1000;
// One answer moves the running median by 5%: a tenfold change is followed within 46 answers, and a single
// outlier of any size moves it by 5%.
const medianStep = 1.05;
// From the fifth answer in a row on the same side, the median follows in steps of 25%: after a slowdown of the whole
// service the baseline must rise before the alarms of a service with few requests spread too far apart in time.
const medianRun = 5;
const medianRunStep = 1.25;

/**
 * Multiples of the slow limit at which an answer still under way counts as slow, each once. Three steps let a hang of
 * three slots reach the evidence of either preset; more would let a few long requests do so.
 */
export const overdueMultiples: readonly number[] = [1, 4, 16];

/** Time from which an answer counts as slow. */
export function getSlowLimit(rule: EjectionRule, baselineMs: Millis): Millis {
  if (baselineMs <= 0) return blindLimitMs;
  return Math.max(rule.slowFloorMs, baselineMs * rule.slowFactor);
}

/** Takes one observation into account; `baselineMs` is the typical time of the service, 0 if unknown. */
export function applyObservation(
  health: ServerHealth,
  rule: EjectionRule,
  baselineMs: Millis,
  seen: Observation,
): ServerHealth {
  const current = {
    ...advanceHealth(health, rule, seen.atMs),
    seenAtMs: seen.atMs,
  };
  if (seen.kind === 'connect-failed') {
    return recordConnectFailure(current, rule, seen.atMs);
  }
  const reached = {...current, connectFailures: 0};
  const evidence = findEvidence(seen, getSlowLimit(rule, baselineMs));
  if (!evidence) return reached;
  return judgeEvidence(addAnswer(reached, seen, evidence), rule, seen.atMs);
}

/** What an observation says of each detector; undefined where it says nothing. */
interface AnswerEvidence {
  readonly failed?: boolean;
  readonly slow?: boolean;
}

function findEvidence(
  seen: Exclude<Observation, {kind: 'connect-failed'}>,
  limitMs: Millis,
): AnswerEvidence | undefined {
  switch (seen.kind) {
    case 'reached':
      return undefined;
    case 'answer': {
      if (seen.tookMs === undefined) return {failed: !seen.ok};
      const slow = seen.tookMs > limitMs;
      // A quick failure is no evidence of speed.
      return seen.ok || slow ? {failed: !seen.ok, slow} : {failed: true};
    }
    case 'timeout':
      // A deadline shorter than the slow limit says something of the caller, not of the server.
      return seen.tookMs > limitMs ? {failed: true, slow: true} : undefined;
    case 'unfinished':
      return seen.tookMs > limitMs ? {slow: true} : undefined;
  }
}

function addAnswer(
  health: ServerHealth,
  seen: Observation,
  {failed, slow}: AnswerEvidence,
): ServerHealth {
  const {state} = health;
  const tookMs =
    seen.kind === 'answer' && seen.ok && seen.tookMs ? seen.tookMs : undefined;
  const {typicalMs, sameSide} = tookMs ? updateMedian(health, tookMs) : health;
  // Answers to requests sent before the ejection say nothing of the time after it.
  if (state.kind === 'ejected') return {...health, typicalMs, sameSide};
  // A cold start is slow and no sign of a fault.
  const cold = state.kind === 'probation' && state.cause === 'start';
  return {
    ...health,
    typicalMs,
    sameSide,
    state:
      state.kind === 'probation'
        ? {...state, answers: state.answers + 1}
        : state,
    failureCusum:
      failed === undefined
        ? health.failureCusum
        : updateCusum(health.failureCusum, failingRatios, failed, seen.atMs),
    slowCusum:
      slow === undefined || cold
        ? health.slowCusum
        : updateCusum(health.slowCusum, slowRatios, slow, seen.atMs),
  };
}

function judgeEvidence(
  health: ServerHealth,
  rule: EjectionRule,
  atMs: Millis,
): ServerHealth {
  const {state} = health;
  if (state.kind === 'ejected') return health;
  const relapsing = state.kind === 'probation' && state.cause === 'ejection';
  const factor = relapsing ? relapseFactor : 1;
  const spanMs = rule.ejectMs * minSpanShare;
  const isEnough = (evidence: CusumState, threshold: number): boolean =>
    evidence.nats >= threshold * factor &&
    evidence.lastBadMs - evidence.firstBadMs >= spanMs;
  if (isEnough(health.failureCusum, rule.failureThreshold)) {
    return ejectServer(health, rule, 'failing', atMs);
  }
  if (isEnough(health.slowCusum, rule.slowThreshold)) {
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
  {typicalMs, sameSide}: ServerHealth,
  tookMs: Millis,
): Pick<ServerHealth, 'typicalMs' | 'sameSide'> {
  if (typicalMs <= 0) return {typicalMs: tookMs, sameSide: 0};
  const side = tookMs > typicalMs ? 1 : -1;
  const run = sameSide * side > 0 ? sameSide + side : side;
  const step = Math.abs(run) < medianRun ? medianStep : medianRunStep;
  return {typicalMs: typicalMs * step ** side, sameSide: run};
}

/** Ejects for a time that doubles with each relapse, up to the rule's bound. */
export function ejectServer(
  health: ServerHealth,
  rule: EjectionRule,
  reason: EjectionReason,
  atMs: Millis,
): ServerHealth {
  const lengthMs = Math.min(
    rule.maxEjectMs,
    rule.ejectMs * 2 ** health.relapses,
  );
  return {
    ...health,
    state: {kind: 'ejected', reason, sinceMs: atMs, untilMs: atMs + lengthMs},
    failureCusum: initialCusum,
    slowCusum: initialCusum,
    relapses: health.relapses + 1,
  };
}

/** Takes back the doubling of an ejection that has a common cause: it lasts as long as a first one. */
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

/** Moves on what only the passing of time changes. */
export function advanceHealth(
  health: ServerHealth,
  rule: EjectionRule,
  nowMs: Millis,
): ServerHealth {
  const {state} = health;
  switch (state.kind) {
    case 'healthy':
      return health.relapses > 0 &&
        nowMs - state.sinceMs >= forgetFactor * rule.maxEjectMs
        ? {...health, relapses: 0}
        : health;
    case 'ejected': {
      // A server whose listener is still dead has nothing to prove in probation.
      const dead = state.reason === 'unreachable' && health.connectFailures > 0;
      return nowMs < state.untilMs || dead
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
      const proven = state.answers >= minProbationAnswers;
      const over =
        ageMs >= rule.probationMs * maxProbations ||
        (proven && ageMs >= rule.probationMs);
      return over
        ? {...health, state: {kind: 'healthy', sinceMs: nowMs}}
        : health;
    }
  }
}

const shareStep = 0.1;

/** What the node record says of it; the share moves in steps so that the record seldom changes. */
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
      const part = (nowMs - state.sinceMs) / rule.probationMs;
      const steps = clampNumber(Math.ceil(part / shareStep), 1, 1 / shareStep);
      return {kind: 'probation', share: steps / (1 / shareStep)};
    }
  }
}
