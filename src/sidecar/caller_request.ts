import {Millis, RequestId, ServiceId} from '../base/index.js';
import {RawHeaders} from '../mesh/index.js';
import {RoutingRoute} from './routing.js';

/** One request of a caller, with its complete body. */
export interface CallerRequest {
  readonly requestId: RequestId;
  readonly route: RoutingRoute;
  readonly service: ServiceId;
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  readonly body: Uint8Array | null;
  readonly receivedAt: Millis;
  /** When the node responds with an error if no response has arrived. */
  readonly deadlineAt: Millis;
}

/** Describes a request in log lines. */
export function describeRequest({requestId, route, service}: CallerRequest) {
  return {requestId, route: route.id, service};
}
