import {IncomingMessage, ServerResponse} from 'node:http';
import {clampNumber, Millis, PartnerId, RequestId} from '../base/index.js';
import {Route, Service} from '../config/index.js';
import {HeldKey} from '../once/index.js';
import {RequestBody} from './body.js';

const maxTimeoutMs: Millis = 600_000;

/** A caller's request that was matched to a route and admitted within the limits of its account. */
export interface AdmittedRequest {
  readonly requestId: RequestId;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly route: Route;
  readonly service: Service;
  readonly partner: PartnerId;
  readonly deadline: Millis;
  readonly body: RequestBody;
  /** Aborts when the caller disconnects or its body stalls. */
  readonly signal: AbortSignal;
  /** Set if the request has an idempotency key, whose claim was granted to it. */
  readonly heldKey?: HeldKey;
}

/** Whether executing the request twice has the same effect as executing it once. */
export function isIdempotent({route, request}: AdmittedRequest): boolean {
  return (
    route.idempotent === 'always' ||
    ['GET', 'HEAD', 'OPTIONS'].includes(request.method ?? '')
  );
}

/**
 * The timeout that the caller requests by header, limited to `maxTimeoutMs`, or the timeout of the service if there is
 * no such header. Undefined if the header is malformed.
 */
export function parseTimeout(
  request: IncomingMessage,
  service: Service,
): Millis | undefined {
  const header = request.headers['fescuewheel-timeout-ms'];
  if (header === undefined) return service.timeoutMs;
  const value = Number(header);
  if (!Number.isInteger(value) || value < 1) return undefined;
  return clampNumber(value, 1, maxTimeoutMs);
}
