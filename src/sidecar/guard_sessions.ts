import {BackendServerId, Millis} from '../base/index.js';
import {SlotRequest} from '../dispatch/index.js';
import {Channel, EntryMessage, GuardMessage} from '../mesh/index.js';

/** Parts of an ended answer are kept this long for an entry whose link broke. */
const keepMs: Millis = 5000;
/** The number of an ended exchange is kept this long, so that its entry never takes it for one that was not run. */
const forgetMs: Millis = 60_000;

/** One entry process, whose link may break and come back. */
export interface Session {
  readonly name: string;
  channel: Channel | undefined;
  linkLostAt: Millis;
  readonly exchanges: Map<number, Exchange>;
}

/** One question of an entry, and the run that may follow. */
export interface Exchange {
  readonly id: number;
  readonly session: Session;
  readonly message: Extract<EntryMessage, {kind: 'request'}>;
  readonly request: SlotRequest;
  readonly abort: AbortController;
  phase: 'waiting' | 'granted' | 'running' | 'ended';
  /** Backend server whose slot was granted. */
  server: BackendServerId | undefined;
  /** When the present phase began. */
  changedAt: Millis;
  /** Parts of the answer, kept until the entry has surely got them. */
  parts: GuardMessage[];
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

  listExchanges(): readonly Exchange[] {
    return [...this.sessions.values()].flatMap(({exchanges}) => [
      ...exchanges.values(),
    ]);
  }

  /** Exchanges of other processes of the same node; the name of a session is `node/incarnation`. */
  listSuperseded(name: string): readonly Exchange[] {
    const node = name.slice(0, name.lastIndexOf('/') + 1);
    return this.listExchanges().filter(
      ({session}) => session.name !== name && session.name.startsWith(node),
    );
  }

  countOpen(): number {
    return this.listExchanges().filter(({phase}) => phase !== 'ended').length;
  }

  /** Forgets what no entry can ask for any more. */
  removeExpired(now: Millis): void {
    for (const session of this.sessions.values()) {
      for (const exchange of session.exchanges.values()) {
        if (exchange.phase !== 'ended') continue;
        const age = now - exchange.changedAt;
        if (age > keepMs) exchange.parts = [];
        if (age > forgetMs) session.exchanges.delete(exchange.id);
      }
      const isLost = !session.channel && now - session.linkLostAt > forgetMs;
      if (isLost && session.exchanges.size === 0) {
        this.sessions.delete(session.name);
      }
    }
  }
}
