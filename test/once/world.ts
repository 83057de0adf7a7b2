import {
  asId,
  LogUnavailableError,
  ManualClock,
  Millis,
  NodeId,
  openSilentLogger,
  UnavailableError,
} from '../../src/base/index.js';
import {LogClient, LogPage, LogRecord} from '../../src/logservice/index.js';
import {NodeCallHandler} from '../../src/nodecalls/index.js';
import {
  HeldKey,
  KeyArbiter,
  KeyClient,
  KeyId,
  rankArbiters,
  RequestPrint,
} from '../../src/once/index.js';

export const windowMs: Millis = 600_000;
export const print = asId<RequestPrint>('print');

/** A log in memory; an append that times out still takes effect. */
export class FakeLog implements LogClient {
  down = false;
  delayMs: Millis = 0;
  loseReplies = 0;
  appends = 0;
  private readonly streams = new Map<string, LogRecord[]>();
  private readonly firstOffsets = new Map<string, number>();
  private readonly wakers = new Set<AbortController>();

  constructor(
    private readonly clock: ManualClock,
    private readonly timeoutMs: Millis = 1000,
  ) {}

  async append(stream: string, values: readonly unknown[]): Promise<number> {
    this.checkUp();
    const {delayMs} = this;
    if (delayMs >= this.timeoutMs) {
      void this.clock
        .sleep(delayMs)
        .then(() => this.addRecords(stream, values));
      await this.clock.sleep(this.timeoutMs);
      throw new LogUnavailableError('timeout');
    }
    if (delayMs > 0) await this.clock.sleep(delayMs);
    const offset = this.addRecords(stream, values);
    if (this.loseReplies > 0) {
      this.loseReplies -= 1;
      throw new LogUnavailableError('reply lost');
    }
    return offset;
  }

  async read(
    stream: string,
    from: number,
    limit: number,
    waitMs: Millis = 0,
    signal?: AbortSignal,
  ): Promise<LogPage> {
    this.checkUp();
    if (this.delayMs > 0) await this.clock.sleep(this.delayMs, signal);
    const records = this.listRecords(stream);
    if (from >= this.getNext(stream) && waitMs > 0) {
      const waker = new AbortController();
      this.wakers.add(waker);
      await Promise.race([
        this.clock.sleep(waitMs, waker.signal),
        this.clock.sleep(waitMs, signal),
      ]);
      this.wakers.delete(waker);
      waker.abort();
    }
    // An aborted read never reports what it found.
    if (signal?.aborted) throw new LogUnavailableError('aborted');
    this.checkUp();
    const found = records.filter(record => record.offset >= from);
    return {
      firstOffset: this.firstOffsets.get(stream) ?? 0,
      nextOffset: this.getNext(stream),
      records: found.slice(0, limit),
    };
  }

  async close(): Promise<void> {}

  listRecords(stream: string): LogRecord[] {
    const known = this.streams.get(stream) ?? [];
    this.streams.set(stream, known);
    return known;
  }

  /** Forgets records older than the time given. */
  removeBefore(stream: string, atMs: Millis): void {
    const records = this.listRecords(stream);
    const kept = records.findIndex(record => record.atMs >= atMs);
    const removed = kept < 0 ? records.length : kept;
    const next = this.getNext(stream);
    records.splice(0, removed);
    this.firstOffsets.set(stream, records[0]?.offset ?? next);
  }

  private getNext(stream: string): number {
    const first = this.firstOffsets.get(stream) ?? 0;
    const last = this.listRecords(stream).at(-1);
    return last ? last.offset + 1 : first;
  }

  private addRecords(stream: string, values: readonly unknown[]): number {
    const offset = this.getNext(stream);
    const atMs = this.clock.getTime();
    this.appends += 1;
    for (const [i, value] of values.entries()) {
      this.listRecords(stream).push({offset: offset + i, atMs, value});
    }
    for (const waker of this.wakers) waker.abort();
    return offset;
  }

  private checkUp(): void {
    if (this.down) throw new LogUnavailableError('down');
  }
}

interface WorldNode {
  readonly id: NodeId;
  arbiter: KeyArbiter;
  handlers: Map<string, NodeCallHandler>;
  stop: AbortController;
  client: KeyClient;
  up: boolean;
  /** Time that each answer to another node takes. */
  answerMs: Millis;
}

/** Nodes with an arbiter and a client each, over one log, on one manual clock. */
export class World {
  readonly clock = new ManualClock(1_000_000);
  readonly log = new FakeLog(this.clock);
  readonly nodes: readonly WorldNode[];
  /** Nodes that the roster of each node lists; two rosters may differ. */
  rosters: string[][];

  constructor(
    readonly count: number,
    readonly partitions = 1,
  ) {
    const ids = Array.from({length: count}, (_, i) => `n${i}`);
    this.rosters = ids.map(() => ids);
    this.nodes = ids.map((_, index) => this.startNode(index));
  }

  /** Replaces a node: nothing of its memory is kept. */
  replace(index: number): void {
    const {stop} = this.nodes[index];
    Object.assign(this.nodes[index], this.startNode(index));
    stop.abort();
  }

  /** Index of the node that is the arbiter of a stream. */
  findOwner(stream: string): number {
    const nodes = this.nodes.map(({id}) => ({node: id, dataAddress: id}));
    const [owner] = rankArbiters(stream, nodes);
    return this.nodes.findIndex(({id}) => id === owner.node);
  }

  /** Lets time pass until the promise settles. */
  async wait<T>(promise: Promise<T>): Promise<T> {
    let over = false;
    void promise.then(
      () => (over = true),
      () => (over = true),
    );
    while (!over) await this.clock.advance(5);
    return promise;
  }

  claim(index: number, key: string, timeoutMs: Millis = 4000, as = print) {
    const deadline = this.clock.getTime() + timeoutMs;
    return this.nodes[index].client.claim(asId<KeyId>(key), as, deadline);
  }

  /** Claims and waits; gives the kind of the decision. */
  async claimKind(index: number, key: string): Promise<string> {
    return (await this.wait(this.claim(index, key))).kind;
  }

  /** Claims and waits; throws unless the key was granted. */
  async claimHeld(index: number, key: string): Promise<HeldKey> {
    const decision = await this.wait(this.claim(index, key));
    if (decision.kind !== 'held') throw new Error(`got ${decision.kind}`);
    return decision.held;
  }

  private startNode(index: number): WorldNode {
    const id = asId<NodeId>(`n${index}`);
    const logger = openSilentLogger();
    const stop = new AbortController();
    const settings = {
      node: id,
      windowMs,
      partitions: this.partitions,
      listNodes: () =>
        this.rosters[index].map(node => ({
          node: asId<NodeId>(node),
          dataAddress: node,
        })),
    };
    const arbiter = new KeyArbiter(settings, this.log, this.clock, logger);
    const handlers = new Map<string, NodeCallHandler>();
    arbiter.registerCalls({
      register: (name, handler) => handlers.set(name, handler),
    });
    const call = this.call.bind(this);
    const context = {...settings, arbiter, calls: {call}, callMs: 1500};
    const client = new KeyClient(context, this.clock, logger);
    void arbiter.run(stop.signal);
    void client.run(stop.signal);
    return {id, arbiter, handlers, stop, client, up: true, answerMs: 0};
  }

  private async call(
    address: string,
    name: string,
    body: unknown,
    timeoutMs: Millis,
  ): Promise<unknown> {
    const node = this.nodes.find(({id}) => id === address);
    if (!node?.up) throw new UnavailableError(`${address} is down`);
    const {handlers, answerMs} = node;
    const answer = handlers.get(name)!(body).then(async value => {
      if (answerMs > 0) await this.clock.sleep(answerMs);
      return value;
    });
    const late = this.clock.sleep(timeoutMs).then(() => {
      throw new UnavailableError(`${address} is silent`);
    });
    return Promise.race([answer, late]);
  }
}
