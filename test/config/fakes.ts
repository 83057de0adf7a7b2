import {
  LogUnavailableError,
  ManualClock,
  openSilentLogger,
} from '../../src/base/index.js';
import {
  Change,
  ConfigFollower,
  ConfigFollowerOptions,
  ConfigRecord,
  configRecordCodec,
  ConfigState,
  applyRecord,
  PeerStateReply,
  RecordSigner,
  SnapshotStore,
} from '../../src/config/index.js';
import {LogClient, LogPage} from '../../src/logservice/index.js';

export const clusterKey = 'test-cluster-key-01';
export const signer = new RecordSigner(clusterKey, 'config');

interface FakeStream {
  first: number;
  values: unknown[];
}

/** An in-memory log that can be down, lose replies and drop old records. */
export class FakeLog implements LogClient {
  down: 'no' | 'refusing' | 'silent' = 'no';
  loseReplies = 0;
  failAppendsAfter = Infinity;
  atMs = 0;
  private readonly streams = new Map<string, FakeStream>();
  private waiting: (() => void)[] = [];

  getStream(name: string): FakeStream {
    const stream = this.streams.get(name) ?? {first: 0, values: []};
    this.streams.set(name, stream);
    return stream;
  }

  async append(name: string, values: readonly unknown[]): Promise<number> {
    this.checkUp();
    if (this.failAppendsAfter <= 0) throw new LogUnavailableError('lost');
    this.failAppendsAfter -= 1;
    const stream = this.getStream(name);
    const offset = stream.first + stream.values.length;
    for (const value of values) {
      stream.values.push(JSON.parse(JSON.stringify(value ?? null)));
    }
    for (const wake of this.waiting.splice(0)) wake();
    if (this.loseReplies > 0) {
      this.loseReplies -= 1;
      throw new LogUnavailableError('reply lost');
    }
    return offset;
  }

  async read(
    name: string,
    from: number,
    limit: number,
    waitMs = 0,
    signal?: AbortSignal,
  ): Promise<LogPage> {
    this.checkUp();
    const stream = this.getStream(name);
    if (waitMs > 0 && from >= stream.first + stream.values.length) {
      await new Promise<void>(resolve => {
        this.waiting.push(resolve);
        signal?.addEventListener('abort', () => resolve(), {once: true});
      });
    }
    const start = Math.max(from, stream.first);
    return {
      firstOffset: stream.first,
      nextOffset: stream.first + stream.values.length,
      records: stream.values
        .slice(start - stream.first)
        .slice(0, limit)
        .map((value, i) => ({offset: start + i, atMs: this.atMs, value})),
    };
  }

  /** Removes all records before an offset, like the retention of the log. */
  removeBefore(name: string, offset: number): void {
    const stream = this.getStream(name);
    stream.values.splice(0, offset - stream.first);
    stream.first = offset;
  }

  async close(): Promise<void> {}

  private checkUp(): void {
    if (this.down === 'no') return;
    const code = this.down === 'refusing' ? 'ECONNREFUSED' : 'ECONNRESET';
    const cause = Object.assign(new Error('log down'), {code});
    throw new LogUnavailableError('log down', {cause});
  }
}

/** Stand-in for `PeerStateClient` that returns these replies. */
export function makePeers(replies: readonly PeerStateReply[] = []) {
  return {
    fetch: async () => replies,
    fetchFrom: async () => replies[0] ?? 'not-newer',
  };
}

export function makeFollower(
  log: FakeLog,
  options: Partial<ConfigFollowerOptions> = {},
): ConfigFollower {
  const logger = openSilentLogger();
  return new ConfigFollower({
    log,
    stream: 'config',
    clusterKey,
    snapshots: new SnapshotStore(log, clusterKey, logger),
    peers: makePeers(),
    clock: new ManualClock(1000),
    random: () => 0.5,
    logger,
    ...options,
  });
}

export function makePlan(
  plan: string,
  baseVersion: number,
  ...changes: Change[]
): ConfigRecord {
  return {kind: 'plan', plan, baseVersion, changes};
}

export function makeConfirmation(
  plan: string,
  confirmation: string,
): ConfigRecord {
  return {kind: 'confirm', plan, confirmation};
}

/** Verifies and applies values of the log, like a follower. */
export function applyValues(
  state: ConfigState,
  values: readonly unknown[],
): ConfigState {
  return values.reduce<ConfigState>((before, value) => {
    const decoded = signer.decode(configRecordCodec, value);
    if (decoded.kind === 'newer') throw new Error('newer format');
    return applyRecord(before, before.next, decoded);
  }, state);
}

export function applyRecords(
  state: ConfigState,
  ...records: ConfigRecord[]
): ConfigState {
  return applyValues(
    state,
    records.map(record => signer.encode(record)),
  );
}

export const addDesk = {
  kind: 'add-service',
  service: 'desk',
  floor: 2,
} as const satisfies Change;
export const addDeskPool: Change = {
  kind: 'add-pool',
  pool: 'desk-a',
  service: 'desk',
  expected: 3,
};

export function setWeight(partner: string, weight: number): Change {
  return {kind: 'set-partner', partner, weight};
}

export function makeRetirement(server: string): Change {
  return {kind: 'retire-server', server, service: 'desk'};
}
