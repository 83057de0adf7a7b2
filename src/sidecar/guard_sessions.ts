import {BackendServerId, Millis, NodeId} from '../base/index.js';
import {SlotRequest} from '../dispatch/index.js';
import {Channel, EntryMessage} from '../mesh/index.js';
import {PartBuffer} from './part_buffer.js';
import {ReceivedBody} from './received_body.js';
import {SendWindow} from './send_window.js';

/** Parts of a finished response are retained this long for an entry whose link was lost. */
const partRetentionMs: Millis = 5000;
/** The id of an ended exchange is retained this long, so that its entry never treats it as not run. */
const exchangeRetentionMs: Millis = 60_000;

/** Time for an entry to use a granted slot; a message across data centres takes 1 to 3 ms. */
const grantTimeoutMs: Millis = 400;
/** Time after its deadline at which a run ends that nobody has cancelled, because its entry is gone. */
const abandonedMarginMs: Millis = 1000;

/** State of one entry process, which survives the loss of its link. */
export interface Session {
  readonly name: string;
  channel: Channel | undefined;
  linkLostAt: Millis;
  readonly exchanges: Map<number, Exchange>;
}

/** A slot request of an entry, and the run that may follow it. */
export interface Exchange {
  readonly id: number;
  readonly session: Session;
  readonly message: Extract<EntryMessage, {kind: 'request'}>;
  readonly request: SlotRequest;
  readonly abort: AbortController;
  /** `receiving`: the slot is granted, and parts of the request body are missing. */
  phase: 'waiting' | 'granted' | 'receiving' | 'running' | 'ended';
  /** The request, from the grant until its run has ended. */
  received: ReceivedBody | undefined;
  /** Backend server that granted the slot. */
  server: BackendServerId | undefined;
  /** When the current phase began. */
  phaseStartedAt: Millis;
  /** Parts of the response, retained for `partRetentionMs` after the end so that they can be resent. */
  readonly parts: PartBuffer;
  /** How much of the response body the entry takes. */
  readonly window: SendWindow;
}

/** Session name of one entry process; each process of a node has its own session. */
export function makeSessionName(process: {
  readonly node: NodeId;
  readonly incarnation: number;
}): string {
  return `${process.node}/${process.incarnation}`;
}

/** Converts a message, which states durations, into a slot request with points in time on the guard's clock. */
export function makeSlotRequest(
  message: Exchange['message'],
  now: Millis,
): SlotRequest {
  return {
    route: message.route,
    priority: message.priority,
    isIdempotent: message.isIdempotent,
    isRetry: message.isRepeat,
    expectedMs: message.expectedMs,
    targetAt: now + message.targetInMs,
    deadlineAt: now + message.deadlineInMs,
    share: message.share,
    isForIdle: message.isForIdle === true,
    bodyBytes: message.bodyBytes ?? 0,
  };
}

/** Sessions of all entries at one guard. */
export class GuardSessions {
  private readonly sessions = new Map<string, Session>();

  getOrCreate(name: string): Session {
    let session = this.sessions.get(name);
    if (!session) {
      session = {name, channel: undefined, linkLostAt: 0, exchanges: new Map()};
      this.sessions.set(name, session);
    }
    return session;
  }

  /** Exchanges of one session whose requests have not arrived whole. */
  listUnsent(name: string): readonly Exchange[] {
    return [...this.getOrCreate(name).exchanges.values()].filter(
      ({phase}) => phase !== 'running' && phase !== 'ended',
    );
  }

  /** Granted slots whose requests have not arrived in time. */
  listExpiredGrants(now: Millis): readonly Exchange[] {
    return this.listExchanges().filter(
      ({phase, phaseStartedAt, request}) =>
        (phase === 'granted' && now - phaseStartedAt > grantTimeoutMs) ||
        (phase === 'receiving' && now > request.deadlineAt),
    );
  }

  /** Runs that go on after the deadline of their request. */
  listAbandonedRuns(now: Millis): readonly Exchange[] {
    return this.listExchanges().filter(
      ({phase, request}) =>
        phase === 'running' && now > request.deadlineAt + abandonedMarginMs,
    );
  }

  listExchanges(): readonly Exchange[] {
    return [...this.sessions.values()].flatMap(({exchanges}) => [
      ...exchanges.values(),
    ]);
  }

  /** Exchanges of other processes of the same node; session names have the form `node/incarnation`. */
  listSuperseded(name: string): readonly Exchange[] {
    const node = name.slice(0, name.lastIndexOf('/') + 1);
    return this.listExchanges().filter(
      ({session}) => session.name !== name && session.name.startsWith(node),
    );
  }

  countOpen(): number {
    return this.listExchanges().filter(({phase}) => phase !== 'ended').length;
  }

  /** Drops parts of the exchange that ended first of those that retain some; returns false if there are none. */
  removeRetainedParts(): boolean {
    let oldest: Exchange | undefined;
    for (const exchange of this.listExchanges()) {
      if (exchange.phase !== 'ended' || exchange.parts.getBytes() === 0) {
        continue;
      }
      if (!oldest || exchange.phaseStartedAt < oldest.phaseStartedAt) {
        oldest = exchange;
      }
    }
    oldest?.parts.removeAllButNewest();
    return oldest !== undefined;
  }

  /** Drops response parts, exchanges and sessions whose retention has ended. */
  removeExpired(now: Millis): void {
    for (const session of this.sessions.values()) {
      for (const exchange of session.exchanges.values()) {
        if (exchange.phase !== 'ended') continue;
        const age = now - exchange.phaseStartedAt;
        if (age > partRetentionMs) exchange.parts.reset();
        if (age > exchangeRetentionMs) session.exchanges.delete(exchange.id);
      }
      const hasExpired =
        !session.channel && now - session.linkLostAt > exchangeRetentionMs;
      if (hasExpired && session.exchanges.size === 0) {
        this.sessions.delete(session.name);
      }
    }
  }
}
