import {ServerResponse} from 'node:http';
import {assertNever, RequestId} from '../base/index.js';

/** Kinds of errors that the fleet itself returns to callers. */
export type CallerErrorKind =
  | 'no-route'
  | 'unauthorized'
  | 'bad-request'
  | 'body-timeout'
  | 'key-required'
  | 'bad-key'
  | 'key-mismatch'
  | 'over-limit'
  | 'busy'
  | 'no-server'
  | 'leaving'
  | 'deadline'
  | 'key-unavailable'
  | 'key-in-use'
  | 'server-failed';

/** Error returned to the caller; `ran` is `no` only if the request was certainly not executed. */
export interface CallerError {
  readonly kind: CallerErrorKind;
  readonly ran: 'no' | 'unknown';
}

function getStatus(kind: CallerErrorKind): number {
  switch (kind) {
    case 'no-route':
      return 404;
    case 'unauthorized':
      return 401;
    case 'bad-request':
    case 'key-required':
    case 'bad-key':
      return 400;
    case 'body-timeout':
      return 408;
    case 'key-mismatch':
      return 422;
    case 'over-limit':
      return 429;
    case 'key-in-use':
      return 409;
    case 'busy':
    case 'no-server':
    case 'leaving':
    case 'key-unavailable':
      return 503;
    case 'deadline':
      return 504;
    case 'server-failed':
      return 502;
    default:
      return assertNever(kind);
  }
}

function describeKind(kind: CallerErrorKind): string {
  switch (kind) {
    case 'no-route':
      return 'no route matches this host and path; check the URL';
    case 'unauthorized':
      return 'the bearer token is missing or unknown; send Authorization: Bearer TOKEN';
    case 'bad-request':
      return 'a fescuewheel header is malformed; see the message of the header';
    case 'body-timeout':
      return 'the request body did not arrive in time; send the whole body at once';
    case 'key-required':
      return 'this route needs an idempotency-key header for non-idempotent requests';
    case 'bad-key':
      return 'the idempotency-key header is malformed; send 1 to 255 printable ASCII characters without spaces';
    case 'key-mismatch':
      return 'this idempotency key was used with another method, path or body; use a new key for a new request';
    case 'over-limit':
      return 'the limit of this account is reached; wait and send again';
    case 'busy':
      return 'all backend servers are busy; wait and send again';
    case 'no-server':
      return 'no backend server of this service can be reached; send again later';
    case 'leaving':
      return 'this node is shutting down; send again to another node';
    case 'deadline':
      return 'the deadline passed; send again with more time';
    case 'key-unavailable':
      return 'the idempotency key cannot be recorded now; send again later with the same key';
    case 'key-in-use':
      return 'an earlier request with this idempotency key may have been run; ask for its result before sending anew';
    case 'server-failed':
      return 'the backend server failed during the exchange';
    default:
      return assertNever(kind);
  }
}

/** Writes the error response; only valid while no byte of a response has been sent. */
export function writeCallerError(
  response: ServerResponse,
  requestId: RequestId,
  {kind, ran}: CallerError,
): void {
  const body = JSON.stringify({
    error: {kind, message: describeKind(kind), ran, requestId},
  });
  const status = getStatus(kind);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    'fescuewheel-ran': ran,
    'fescuewheel-request-id': requestId,
    ...(ran === 'no' &&
      (status === 503 || status === 429) && {'retry-after': '1'}),
  });
  response.end(body);
}
