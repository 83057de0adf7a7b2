import {IncomingHttpHeaders} from 'node:http';
import {Readable} from 'node:stream';
import {BackendServerId, Millis, PartnerId, RequestId} from '../base/index.js';

/** A request on its way to one backend server. */
export interface GuardCall {
  readonly requestId: RequestId;
  readonly server: BackendServerId;
  readonly partner: PartnerId;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer | Readable | null;
  /** Point in time after which nobody waits for the answer. */
  readonly deadline: Millis;
  /** Aborts when the caller is gone. */
  readonly signal: AbortSignal;
  /** Whether the request may wait for a slot; if not, it is refused at once when all slots are in use. */
  readonly mayQueue: boolean;
}

/**
 * Why a request was certainly not run. The guard reports a backend server that refuses connections as
 * `unreachable`; `node-unreachable` is the entry's own failure to connect to the guard.
 */
export type RefusalReason =
  | 'busy'
  | 'node-unreachable'
  | 'draining'
  | 'unknown-server'
  | 'unreachable'
  | 'deadline'
  | 'backend-shed';

/** How an exchange failed after the request may have been run. */
export type FailureReason =
  'reset' | 'timeout' | 'cut' | 'no-reply' | 'node-lost';

/** Free and total slots of the backend server, as its guard counts them. */
export interface SlotLoad {
  readonly free: number;
  readonly slots: number;
}

/** What came of a call. The body of an answer errors if the transfer breaks; it never ends early. */
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
 * The reason with which an exchange is aborted: the caller left or the time is over. One error for all, since making one
 * with its stack costs as much as a tenth of a request.
 */
export const exchangeAbortError = Object.assign(
  new Error('the caller left or the time is over'),
  {code: 'UND_ERR_ABORTED'},
);

/** Header names between nodes; callers and backend servers cannot set them. */
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

/** Headers that go on to the next hop: neither hop-by-hop nor the system's own. */
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
