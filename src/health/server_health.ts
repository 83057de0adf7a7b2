import {clampNumber, Millis} from '../base/index.js';
import {EjectionRule} from '../config/index.js';
import {ReportedHealth} from '../membership/index.js';

/** One real answer of a backend server, as its guard saw it. */
export interface Observation {
  readonly atMs: Millis;
  /** False for a wrong status, a reset, a cut or stalled body, or a timeout. */
  readonly ok: boolean;
  /** Time to the end of the answer, less the time waited for a slot. */
  readonly tookMs: Millis;
}

/** Why a backend server was ejected. */
export type EjectionReason = 'failing' | 'slow' | 'unreachable';

/** State of one backend server; replaced by each observation. */
export interface ServerHealth {
  readonly state:
    | {readonly kind: 'healthy'}
    | {
        readonly kind: 'ejected';
        readonly reason: EjectionReason;
        readonly sinceMs: Millis;
        readonly untilMs: Millis;
      }
    | {readonly kind: 'probation'; readonly sinceMs: Millis};
  /** CUSUM of the evidence for failing and for slow answers, in nats. */
  readonly failureEvidence: number;
  readonly slowEvidence: number;
  /** Ejections without a long healthy time between them. */
  readonly relapses: number;
  /** Running typical answer time. */
  readonly typicalMs: Millis;
}

/** A backend server of which nothing is known. */
export const unknownHealth: ServerHealth = {
  state: {kind: 'healthy'},
  failureEvidence: 0,
  slowEvidence: 0,
  relapses: 0,
  typicalMs: 0,
};

// Log likelihood ratios of one answer for a sick server (half of its answers bad) against a healthy one
// (2% bad).
const badAnswerNats = Math.log(0.5 / 0.02);
const goodAnswerNats = Math.log(0.5 / 0.98);
const typicalWeight = 0.1;

function addEvidence(evidence: number, bad: boolean): number {
  return Math.max(0, evidence + (bad ? badAnswerNats : goodAnswerNats));
}

/** Takes one answer into account; `baselineMs` is the typical time of the service, 0 if unknown. */
export function observeAnswer(
  health: ServerHealth,
  rule: EjectionRule,
  baselineMs: Millis,
  seen: Observation,
): ServerHealth {
  const limitMs = Math.max(rule.slowFloorMs, baselineMs * rule.slowFactor);
  const isSlow = baselineMs > 0 && seen.tookMs > limitMs;
  const observed: ServerHealth = {
    ...health,
    failureEvidence: addEvidence(health.failureEvidence, !seen.ok),
    slowEvidence: addEvidence(health.slowEvidence, isSlow),
    typicalMs:
      health.typicalMs === 0
        ? seen.tookMs
        : health.typicalMs + typicalWeight * (seen.tookMs - health.typicalMs),
  };
  if (observed.state.kind === 'ejected') return observed;
  if (observed.failureEvidence >= rule.failureThreshold) {
    return ejectServer(observed, rule, 'failing', seen.atMs);
  }
  if (observed.slowEvidence >= rule.slowThreshold) {
    return ejectServer(observed, rule, 'slow', seen.atMs);
  }
  return observed;
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
    failureEvidence: 0,
    slowEvidence: 0,
    relapses: health.relapses + 1,
  };
}

/** Moves on what only the passing of time changes. */
export function advanceHealth(
  health: ServerHealth,
  rule: EjectionRule,
  nowMs: Millis,
): ServerHealth {
  const {state} = health;
  if (state.kind === 'ejected' && nowMs >= state.untilMs) {
    return {...health, state: {kind: 'probation', sinceMs: nowMs}};
  }
  if (state.kind === 'probation' && nowMs >= state.sinceMs + rule.probationMs) {
    return {...health, state: {kind: 'healthy'}};
  }
  return health;
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
      const share = Math.ceil(part / shareStep) * shareStep;
      return {kind: 'probation', share: clampNumber(share, shareStep, 1)};
    }
  }
}
