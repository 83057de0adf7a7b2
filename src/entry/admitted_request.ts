import {IncomingMessage, ServerResponse} from 'node:http';
import {clampNumber, Millis, PartnerId, RequestId} from '../base/index.js';
import {Route, Service} from '../config/index.js';
import {HeldKey} from '../once/index.js';
import {RequestBody} from './body.js';

const maxTimeoutMs: Millis = 600_000;

/** One caller request after it was matched and admitted. */
export interface AdmittedRequest {
  readonly requestId: RequestId;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly route: Route;
  readonly service: Service;
  readonly partner: PartnerId;
  readonly deadline: Millis;
  readonly body: RequestBody;
  /** Aborts when the caller is gone or its body stalls. */
  readonly signal: AbortSignal;
  /** Set if this request has an idempotency key; it may be sent because it holds the key. */
  readonly held?: HeldKey;
}

/** Whether running the request twice has the effect of running it once. */
export function isIdempotent({route, request}: AdmittedRequest): boolean {
  return (
    route.idempotent === 'always' ||
    ['GET', 'HEAD', 'OPTIONS'].includes(request.method ?? '')
  );
}

/** Time the caller gives, undefined if its header is malformed. */
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
