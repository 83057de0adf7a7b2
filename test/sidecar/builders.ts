import {asId, RequestId, RouteId, ServiceId} from '../../src/base/index.js';
import {EntryMessage} from '../../src/mesh/index.js';

/** Makes a slot request for a request that is not idempotent. */
export function makeSlotMessage(): Omit<
  Extract<EntryMessage, {kind: 'request'}>,
  'kind' | 'id'
> {
  return {
    requestId: asId<RequestId>('r1'),
    service: asId<ServiceId>('bench'),
    route: asId<RouteId>('route'),
    priority: 1,
    isIdempotent: false,
    isRepeat: false,
    expectedMs: 100,
    targetInMs: 300,
    deadlineInMs: 1000,
    share: 1,
  };
}
