import {asId, RouteId} from '../../src/base/index.js';
import {SlotRequest} from '../../src/dispatch/index.js';

/** A slot request that takes 100 ms, with the target at 1 s and the deadline at 3 s. */
export function makeSlotRequest(
  changes: Partial<SlotRequest> = {},
): SlotRequest {
  return {
    route: asId<RouteId>('r'),
    priority: 1,
    isIdempotent: true,
    isRetry: false,
    expectedMs: 100,
    targetAt: 1000,
    deadlineAt: 3000,
    share: 1,
    isForIdle: false,
    ...changes,
  };
}
