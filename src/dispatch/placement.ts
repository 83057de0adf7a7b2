import {DataCentreId, Millis, NodeId, Random} from '../base/index.js';
import {ServerVerdict} from './fault_estimator.js';

/** What an entry knows of a guard whose backend server could run a request. */
export interface GuardView {
  readonly node: NodeId;
  readonly dataCentre: DataCentreId;
  readonly verdict: ServerVerdict;
  readonly slots: number;
  /** Free slots when last heard. */
  readonly freeSlots: number;
  readonly queuedRequests: number;
  /** Age of what is known of slots. */
  readonly slotsAgeMs: Millis;
  /** Time since which a question to the guard is without a reply; 0 if none is. */
  readonly unansweredMs: Millis;
  /** Usual time of a reply. */
  readonly replyTimeMs: Millis;
}

/** Silence after which a guard is taken as unreachable for new work. */
export const unreachableAfterMs: Millis = 250;
/** News of slots older than this says nothing. */
const staleMs: Millis = 1000;
/** Replies slower than this show a lossy path; replies across data centres take 1 to 3 ms. */
const slowReplyMs: Millis = 40;

/**
 * Orders guards for one request: reachable and sound ones first, then those of the own data centre, then those with the
 * most free slots. A tie is decided at random, so that entries do not herd.
 */
export function rankGuards(
  guards: readonly GuardView[],
  own: DataCentreId,
  isIdempotent: boolean,
  random: Random,
): readonly NodeId[] {
  return guards
    .map(guard => ({
      node: guard.node,
      rank: rankTrouble(guard, isIdempotent),
      distance: guard.dataCentre === own ? 0 : 1,
      load: estimateLoad(guard) + random() * 0.01,
    }))
    .sort(
      (a, b) => a.rank - b.rank || a.distance - b.distance || a.load - b.load,
    )
    .map(({node}) => node);
}

function rankTrouble(guard: GuardView, isIdempotent: boolean): number {
  const silent = guard.unansweredMs > unreachableAfterMs ? 4 : 0;
  const slow = guard.replyTimeMs > slowReplyMs ? 1 : 0;
  switch (guard.verdict) {
    case 'sound':
      return silent + slow;
    case 'doubtful':
      return silent + slow + (isIdempotent ? 1 : 2);
    case 'suspended':
      return silent + slow + 3;
  }
}

/** Part of the slots in use, with what is old drawn towards a half. */
function estimateLoad(guard: GuardView): number {
  const slots = Math.max(1, guard.slots);
  const used = (slots - guard.freeSlots + guard.queuedRequests) / slots;
  const trust = Math.max(0, 1 - guard.slotsAgeMs / staleMs);
  return used * trust + 0.5 * (1 - trust);
}
