import {Packr} from 'msgpackr';
import {
  BackendServerId,
  DataCentreId,
  Millis,
  NodeId,
  RequestId,
  RouteId,
  ServiceId,
} from '../base/index.js';
import {ServerVerdict, WantedRequests} from '../dispatch/index.js';
import {isMeshMessage} from './message_check.js';

/** A backend process; a server that starts again under its id is another one. */
export interface BackendProcess {
  readonly server: BackendServerId;
  /** Unix time of the start. */
  readonly startedAtMs: Millis;
}

/** Requests a second that a backend process takes from all VMs together. */
export interface NamedLimit extends BackendProcess {
  readonly perSecond: number;
}

/** What a node has heard about the backend server of another one. */
export interface HeardNotice {
  /** Newest process that was in use and has announced its shutdown. */
  readonly departure?: BackendProcess;
  /** All that have announced it, as far as they are retained. */
  readonly departures?: readonly BackendProcess[];
  readonly limit?: NamedLimit;
}

/** Free slots of a guard's backend server and requests that wait for one, at the time a message is sent. */
export interface SlotCounts {
  readonly free: number;
  readonly waiting: number;
  /** Newer than the published state, which large fleets get less often; absent from nodes of earlier versions. */
  readonly verdict?: ServerVerdict;
  /** Limit of the server, time since it was last named, and requests a second that the guard starts at most. */
  readonly limit?: {
    readonly perSecond: number;
    readonly ageMs: Millis;
    readonly allowedPerSecond: number;
  };
}

/** State of a guard and its backend server, as reported to other nodes. */
export type GuardState =
  | {
      readonly kind: 'closed';
      readonly reason: 'no-server' | 'leaving';
      readonly departure?: BackendProcess;
    }
  | {
      readonly kind: 'open';
      readonly server: BackendServerId;
      readonly service: ServiceId;
      readonly slots: number;
      readonly verdict: ServerVerdict;
      readonly limit?: NamedLimit;
    };

/**
 * Why a guard refused a slot. The request was not sent to the backend server. `repeat-budget`: the retry budget is used
 * up. `hopeless`: the request is unlikely to be answered by its deadline, even if it started now or because it is late
 * and timely requests leave it no slot. `expired`: the entry did not use a granted slot in time. `not-idle`: the request
 * answers a report that the server is idle, which it no longer is.
 */
export type SlotRefusal =
  | 'no-server'
  | 'leaving'
  | 'repeat-budget'
  | 'hopeless'
  | 'expired'
  | 'not-idle';

/**
 * Why an exchange with a backend server ended without a usable response. `revoked`: the grant had expired, or the
 * server had left, when the request arrived at the guard. `shed`: the server responded that it did not run the request.
 * `misdirected`: another server is at the address (status 421). `stray-answer`: the response carries the id of another
 * request. `unsigned`: a success without a signature or request id, or with an encoded body. `broken`: the connection
 * failed.
 */
export type ExchangeFailure =
  | 'revoked'
  | 'connect'
  | 'shed'
  | 'misdirected'
  | 'broken'
  | 'stray-answer'
  | 'unsigned'
  | 'deadline'
  | 'link-lost'
  | 'node-restarted';

/**
 * Bytes of a response body that a guard may send before its entry has extended the credit. Responses up to this size need
 * no message of flow control.
 */
export const initialCreditBytes = 32 * 1024;

/** Request bodies up to this size are sent with their request, larger ones after it, in parts. */
export const maxInlineBodyBytes = 64 * 1024;

/** Header fields as a flat list: name, value, name, value. */
export type RawHeaders = readonly string[];

/** Sent by an entry to a guard; `id` identifies an exchange of one entry process. */
export type EntryMessage =
  | {
      readonly kind: 'request';
      readonly id: number;
      readonly requestId: RequestId;
      readonly service: ServiceId;
      readonly route: RouteId;
      readonly priority: number;
      readonly isIdempotent: boolean;
      /** Whether the request was already sent to another backend server. */
      readonly isRepeat: boolean;
      /** Usual duration of a run. */
      readonly expectedMs: Millis;
      /** Time left to meet the latency target of the route. */
      readonly targetInMs: Millis;
      readonly deadlineInMs: Millis;
      /** Weight in estimates of the wait: a request that is queued at four guards counts a quarter at each. */
      readonly share: number;
      /** Set if the request answers a report that the server is idle. */
      readonly isForIdle?: boolean;
      /** Size of a body that is sent in parts; the guard grants the slot when it has the memory for it. */
      readonly bodyBytes?: number;
    }
  | {readonly kind: 'withdraw'; readonly id: number}
  | {
      readonly kind: 'send';
      readonly id: number;
      readonly method: string;
      readonly target: string;
      readonly headers: RawHeaders;
      readonly body: Uint8Array | null;
      /** Set if the body follows in parts. */
      readonly bodyBytes?: number;
      readonly caller: ServiceId | undefined;
      readonly deadlineInMs: Millis;
    }
  /** Part of a request body. The request has not been run while parts are missing. */
  | {
      readonly kind: 'body';
      readonly id: number;
      readonly bytes: Uint8Array;
    }
  | {readonly kind: 'cancel'; readonly id: number}
  | {
      /**
       * Flow control of a response: all parts before `seq` have arrived, and the guard may send `bytes` of the body in
       * all.
       */
      readonly kind: 'credit';
      readonly id: number;
      readonly seq: number;
      readonly bytes: number;
    };

/**
 * Sent by a guard to an entry. `seq` numbers the parts of a response, so that the entry can drop parts that it receives
 * again over a new link. `news` reports the guard's slots at the time of sending.
 */
export type GuardMessage =
  | {
      readonly kind: 'granted';
      readonly id: number;
      readonly server: BackendServerId;
      readonly news: SlotCounts;
    }
  | {
      readonly kind: 'queued';
      readonly id: number;
      readonly waitMs: Millis;
      readonly news: SlotCounts;
    }
  | {
      readonly kind: 'refused';
      readonly id: number;
      readonly reason: SlotRefusal;
    }
  | {
      readonly kind: 'head';
      readonly id: number;
      readonly seq: number;
      readonly status: number;
      readonly headers: RawHeaders;
    }
  | {
      readonly kind: 'chunk';
      readonly id: number;
      readonly seq: number;
      readonly bytes: Uint8Array;
    }
  | {
      readonly kind: 'end';
      readonly id: number;
      readonly seq: number;
      readonly ranMs: Millis;
      readonly news: SlotCounts;
    }
  | {
      readonly kind: 'failed';
      readonly id: number;
      readonly seq: number;
      readonly reason: ExchangeFailure;
      /** Whether the backend server may have run the request. */
      readonly mayHaveRun: boolean;
      readonly detail: string;
      readonly news: SlotCounts;
    };

/** Sent by any node, on any link. */
export type NodeMessage =
  | {
      readonly kind: 'hello';
      readonly node: NodeId;
      /** Distinguishes the processes of one node. Not ordered, because a clock may be set back. */
      readonly incarnation: number;
      readonly address: string;
      readonly dataCentre: DataCentreId;
      readonly isJoined: boolean;
      readonly routingVersion: number;
      readonly guard: GuardState;
      /** Whether the node accepts idle reports; absent from nodes of earlier versions. */
      readonly acceptsIdleReports?: boolean;
      /** Whether the node extends and obeys the credit of responses; absent from nodes of earlier versions. */
      readonly hasFlowControl?: boolean;
    }
  | {
      /**
       * Sent by a guard on a new link: the exchanges of the receiving entry that the guard knows and continues. Any
       * other request that the entry sent over the old link never arrived.
       */
      readonly kind: 'holding';
      readonly ids: readonly number[];
    }
  | {readonly kind: 'guard'; readonly guard: GuardState}
  /** Sent by a guard to a few nodes: its server is idle and needs a request of this kind. */
  | {
      readonly kind: 'idle';
      readonly service: ServiceId;
      readonly wanted: WantedRequests;
    }
  /** Sent to a restarted node: what its process before had told, so that the new one keeps to it. */
  | {readonly kind: 'heard'; readonly notice: HeardNotice}
  | {readonly kind: 'ping'}
  | {readonly kind: 'pong'}
  | {readonly kind: 'version'; readonly version: number}
  | {readonly kind: 'want-routing'; readonly above: number}
  | {readonly kind: 'routing'; readonly document: Uint8Array}
  | {
      readonly kind: 'nodes';
      readonly nodes: readonly (readonly [NodeId, string])[];
    };

/** Any message between nodes. */
export type MeshMessage = EntryMessage | GuardMessage | NodeMessage;

const packr = new Packr({useRecords: false});

/** Encodes a message as one binary frame. */
export function encodeMessage(message: MeshMessage): Buffer {
  return packr.pack(message);
}

/** Decodes a frame; returns undefined if it is not a message that can be relied on. */
export function decodeMessage(bytes: Buffer): MeshMessage | undefined {
  try {
    const value: unknown = packr.unpack(bytes);
    return isMeshMessage(value) ? value : undefined;
  } catch {
    // The caller logs the frame as malformed and closes the link.
    return undefined;
  }
}
