import {DataCentreId, Millis, NodeId, ServiceId} from '../base/index.js';
import {GuardView} from '../dispatch/index.js';
import {Channel, GuardState} from '../mesh/index.js';
import {ReportedSlots} from './guard_calls.js';

/** Age up to which the verdict in a reply replaces the published one, which large fleets get less often. */
const freshVerdictMs: Millis = 1000;

/** A guard and the link to its node. */
export interface KnownGuard {
  readonly node: NodeId;
  readonly dataCentre: DataCentreId;
  readonly guard: GuardState;
  /** Undefined while there is no link to the node. */
  readonly channel: Channel | undefined;
}

/** Provides the slot counts that guards have reported, and the current time. */
export interface SlotReportSource {
  getReportedSlots(node: NodeId): ReportedSlots | undefined;
  readonly now: Millis;
}

/** Lists the linked guards that can grant a slot for a service. */
export function listGuardViews(
  service: ServiceId,
  guards: readonly KnownGuard[],
  {getReportedSlots, now}: SlotReportSource,
): readonly GuardView[] {
  const views: GuardView[] = [];
  for (const {node, dataCentre, guard, channel} of guards) {
    if (!channel || guard.kind !== 'open' || guard.service !== service) {
      continue;
    }
    const reported = getReportedSlots(node);
    const isFresh = reported && now - reported.at < freshVerdictMs;
    views.push({
      node,
      dataCentre,
      verdict: (isFresh ? reported.verdict : undefined) ?? guard.verdict,
      slots: guard.slots,
      freeSlots: reported?.free ?? guard.slots,
      queuedRequests: reported?.waiting ?? 0,
      slotsAgeMs: reported ? now - reported.at : Infinity,
      unansweredMs: channel.getPendingReplyTime(),
      replyTimeMs: channel.getAverageReplyTime(),
    });
  }
  return views;
}
