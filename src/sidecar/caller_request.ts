import {countBytes, Millis, RequestId, ServiceId} from '../base/index.js';
import {maxInlineBodyBytes, RawHeaders} from '../mesh/index.js';
import {RoutingRoute} from './routing.js';

/** A request body in parts. */
export type RequestBody = readonly Uint8Array[];

/** One request of a caller, with its complete body. */
export interface CallerRequest {
  readonly requestId: RequestId;
  readonly route: RoutingRoute;
  readonly service: ServiceId;
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  /** In parts, as it arrived; empty if there is none. */
  readonly body: RequestBody;
  readonly receivedAt: Millis;
  /** When the node responds with an error if no response has arrived. */
  readonly deadlineAt: Millis;
}

/** Describes a request in log lines. */
export function describeRequest({requestId, route, service}: CallerRequest) {
  return {requestId, route: route.id, service};
}

/** Size of a body that is sent to guards in parts; undefined if it is sent with its request. */
export function findPartedSize(body: RequestBody): number | undefined {
  const bytes = countBytes(body);
  return bytes > maxInlineBodyBytes ? bytes : undefined;
}
