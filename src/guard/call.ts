import {IncomingHttpHeaders} from 'node:http';
import {Readable} from 'node:stream';
import {BackendServerId, Millis, PartnerId, RequestId} from '../base/index.js';

/** A request that is sent to one backend server through its guard. */
export interface GuardCall {
  readonly requestId: RequestId;
  readonly server: BackendServerId;
  readonly partner: PartnerId;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer | Readable | null;
  /** Point in time after which the caller no longer waits for the response. */
  readonly deadline: Millis;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Whether the request may wait for a slot; if not, it is refused immediately when all slots are in use. */
  readonly mayQueue: boolean;
}

/**
 * Why a request was refused; a refused request was certainly not executed. `unreachable`: the guard could not connect
 * to the backend server. `node-unreachable`: the entry could not connect to the guard.
 */
export type RefusalReason =
  | 'busy'
  | 'node-unreachable'
  | 'draining'
  | 'unknown-server'
  | 'unreachable'
  | 'deadline'
  | 'backend-shed';

/**
 * How an exchange failed after the request may have been executed. `no-reply`: the guard did not reply by the deadline.
 * `node-lost`: the connection to the guard broke.
 */
export type FailureReason =
  'reset' | 'timeout' | 'cut' | 'no-reply' | 'node-lost';

/** Free and total slots of a backend server, as counted by its guard. */
export interface SlotLoad {
  readonly free: number;
  readonly slots: number;
}

/** Result of a call. The body of an `answer` emits an error if the transfer fails; it never just ends early. */
export type GuardResult =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Readable;
      readonly load?: SlotLoad;
    }
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason;
      readonly load?: SlotLoad;
    }
  | {readonly kind: 'failed'; readonly reason: FailureReason};

/**
 * Abort reason of an exchange whose caller disconnected or whose deadline passed. The error is shared, because creating
 * one with its stack trace costs as much as a tenth of the handling of a request.
 */
export const exchangeAbortError = Object.assign(
  new Error('the caller disconnected or the deadline passed'),
  {code: 'UND_ERR_ABORTED'},
);

/** Names of the headers between nodes; they are removed from what callers and backend servers send. */
export const nodeHeaders = {
  server: 'fescuewheel-backend-server',
  requestId: 'fescuewheel-request-id',
  deadline: 'fescuewheel-deadline-ms',
  partner: 'fescuewheel-partner',
  queue: 'fescuewheel-queue',
  auth: 'fescuewheel-auth',
  load: 'fescuewheel-load',
  refused: 'fescuewheel-refused',
  failed: 'fescuewheel-failed',
  notRun: 'fescuewheel-not-run',
} as const;

const hopByHopHeaders = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/** Returns the headers to forward: all but hop-by-hop headers and the headers of this system. */
export function pickForwardHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const connectionOptions = String(headers.connection ?? '')
    .toLowerCase()
    .split(',')
    .map(name => name.trim());
  const forwarded: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || hopByHopHeaders.has(name)) continue;
    if (connectionOptions.includes(name) || name.startsWith('fescuewheel-'))
      continue;
    forwarded[name] = value;
  }
  return forwarded;
}
