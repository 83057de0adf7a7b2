import {asId, RouteId} from '../../src/base/index.js';
import {SlotRequest} from '../../src/dispatch/index.js';

/** A slot request of 100 ms with a target of 1 s and a deadline of 3 s from 0. */
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
    ...changes,
  };
}
