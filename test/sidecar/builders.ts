import {asId, RequestId, RouteId, ServiceId} from '../../src/base/index.js';
import {Channel, EntryMessage, MeshMessage} from '../../src/mesh/index.js';

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

/** Makes an open channel that hands over what is sent. */
export function makeChannel(onSend: (message: MeshMessage) => void): Channel {
  return {
    send: onSend,
    isOpen: () => true,
    getPendingReplyTime: () => 0,
    getAverageReplyTime: () => 0,
    hasFlowControl: () => true,
    getBacklog: () => 0,
  };
}
