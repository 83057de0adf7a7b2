import {DataCentreId, Millis, NodeId, Random} from '../base/index.js';
import {ServerVerdict} from './fault_estimator.js';

/** State of a guard, as known to an entry, whose backend server could run a request. */
export interface GuardView {
  readonly node: NodeId;
  readonly dataCentre: DataCentreId;
  readonly verdict: ServerVerdict;
  readonly slots: number;
  /** Free slots and queue length in the newest slot counts of the guard. */
  readonly freeSlots: number;
  readonly queuedRequests: number;
  /** Age of the slot counts. */
  readonly slotsAgeMs: Millis;
  /** How long a message that needs a reply from the guard has been unanswered; 0 if there is none. */
  readonly unansweredMs: Millis;
  /** Usual time until a reply. */
  readonly replyTimeMs: Millis;
}

/** Time without a reply after which a guard counts as unreachable for new requests. */
export const unreachableAfterMs: Millis = 250;
/** Slot counts older than this carry no information. */
const staleMs: Millis = 1000;
/** Reply times above this indicate a lossy path; replies across data centres take 1 to 3 ms. */
const slowReplyMs: Millis = 40;

/**
 * Orders guards for one request: reachable guards with a sound server first, then those of the own data centre, then
 * those with the most free slots. Ties are broken at random, so that entries do not all choose the same guard.
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
      penalty: computePenalty(guard, isIdempotent),
      distance: guard.dataCentre === own ? 0 : 1,
      load: estimateLoad(guard) + random() * 0.01,
    }))
    .sort(
      (a, b) =>
        a.penalty - b.penalty || a.distance - b.distance || a.load - b.load,
    )
    .map(({node}) => node);
}

/** Whether a guard replies without delay, as far as is known. */
export function isReachable(guard: GuardView): boolean {
  return (
    guard.unansweredMs <= unreachableAfterMs && guard.replyTimeMs <= slowReplyMs
  );
}

function computePenalty(guard: GuardView, isIdempotent: boolean): number {
  const unreachable = guard.unansweredMs > unreachableAfterMs ? 4 : 0;
  const slow = guard.replyTimeMs > slowReplyMs ? 1 : 0;
  switch (guard.verdict) {
    case 'sound':
      return unreachable + slow;
    case 'doubtful':
      return unreachable + slow + (isIdempotent ? 1 : 2);
    case 'suspended':
      return unreachable + slow + 3;
  }
}

/** Slots in use or queued for, as a fraction of all slots; tends to one half as the slot counts get older. */
function estimateLoad(guard: GuardView): number {
  const slots = Math.max(1, guard.slots);
  const used = (slots - guard.freeSlots + guard.queuedRequests) / slots;
  const freshness = Math.max(0, 1 - guard.slotsAgeMs / staleMs);
  return used * freshness + 0.5 * (1 - freshness);
}
