import {DataCentreId, Millis, NodeId, ServiceId} from '../base/index.js';
import {GuardView} from '../dispatch/index.js';
import {Channel, GuardState} from '../mesh/index.js';
import {ReportedSlots} from './guard_calls.js';

/** A guard as its node tells of it. */
export interface KnownGuard {
  readonly node: NodeId;
  readonly dataCentre: DataCentreId;
  readonly guard: GuardState;
  /** Undefined while there is no link to the node. */
  readonly channel: Channel | undefined;
}

/** What this node knows of the slots of guards. */
export interface SlotReportSource {
  getReportedSlots(node: NodeId): ReportedSlots | undefined;
  readonly now: Millis;
}

/** Views of the guards that can be asked for a slot of a service. */
export function listGuardViews(
  service: ServiceId,
  guards: readonly KnownGuard[],
  {getReportedSlots: getHeard, now}: SlotReportSource,
): readonly GuardView[] {
  const views: GuardView[] = [];
  for (const {node, dataCentre, guard, channel} of guards) {
    if (!channel || guard.kind !== 'open' || guard.service !== service) {
      continue;
    }
    const heard = getHeard(node);
    views.push({
      node,
      dataCentre,
      verdict: guard.verdict,
      slots: guard.slots,
      freeSlots: heard?.free ?? guard.slots,
      queuedRequests: heard?.waiting ?? 0,
      slotsAgeMs: heard ? now - heard.at : Infinity,
      unansweredMs: channel.getPendingReplyTime(),
      replyTimeMs: channel.getAverageReplyTime(),
    });
  }
  return views;
}
