import {
  asId,
  LogUnavailableError,
  ManualClock,
  Millis,
  NodeId,
  openSilentLogger,
  UnavailableError,
} from '../base/index.js';
import {LogClient} from '../logservice/index.js';
import {NodeCallHandler} from '../nodecalls/index.js';
import {
  HeldKey,
  KeyArbiter,
  KeyClient,
  KeyId,
  rankArbiters,
  RequestFingerprint,
} from '../once/index.js';
import {FakeLog} from './fake_log.js';

/** Window of time for which a simulated fleet keeps idempotency keys. */
export const simulatedKeyWindowMs: Millis = 600_000;
const defaultFingerprint = asId<RequestFingerprint>('print');

/** One node of a simulated fleet. */
export interface SimulatedKeyNode {
  readonly id: NodeId;
  arbiter: KeyArbiter;
  handlers: Map<string, NodeCallHandler>;
  stop: AbortController;
  client: KeyClient;
  isUp: boolean;
  /** Delay of each response to another node. */
  answerMs: Millis;
}

/** Nodes with a key arbiter and a key client each, which share one in-memory log and one manual clock. */
export class SimulatedKeyFleet {
  readonly clock = new ManualClock(1_000_000);
  readonly log = new FakeLog(this.clock);
  /** Indexes of nodes whose arbiter cannot reach the log. */
  readonly nodesWithoutLog = new Set<number>();
  readonly nodes: readonly SimulatedKeyNode[];
  /** Members of the fleet as known to each node; the lists of two nodes may differ. */
  memberLists: string[][];

  constructor(
    readonly count: number,
    readonly partitions = 1,
  ) {
    const ids = Array.from({length: count}, (_, i) => `n${i}`);
    this.memberLists = ids.map(() => ids);
    this.nodes = ids.map((_, index) => this.startNode(index));
  }

  /** Replaces a node by a new one without its in-memory state. */
  replace(index: number): void {
    const {stop} = this.nodes[index];
    Object.assign(this.nodes[index], this.startNode(index));
    stop.abort();
  }

  /** Index of the node that is the arbiter of a stream. */
  findArbiter(stream: string): number {
    const nodes = this.nodes.map(({id}) => ({node: id, dataAddress: id}));
    const [owner] = rankArbiters(stream, nodes);
    return this.nodes.findIndex(({id}) => id === owner.node);
  }

  /** Advances the clock until the promise settles. */
  async wait<T>(promise: Promise<T>): Promise<T> {
    let isSettled = false;
    void promise.then(
      () => (isSettled = true),
      () => (isSettled = true),
    );
    while (!isSettled) await this.clock.advance(5);
    return promise;
  }

  claim(
    index: number,
    key: string,
    timeoutMs: Millis = 4000,
    fingerprint = defaultFingerprint,
  ) {
    const deadline = this.clock.getTime() + timeoutMs;
    return this.nodes[index].client.claim(
      asId<KeyId>(key),
      fingerprint,
      deadline,
    );
  }

  /** Claims a key and waits; returns the kind of the decision. */
  async claimAndGetKind(index: number, key: string): Promise<string> {
    return (await this.wait(this.claim(index, key))).kind;
  }

  /** Claims a key and waits; throws unless the claim was granted. */
  async claimGrantedKey(index: number, key: string): Promise<HeldKey> {
    const decision = await this.wait(this.claim(index, key));
    if (decision.kind !== 'held') throw new Error(`got ${decision.kind}`);
    return decision.held;
  }

  private startNode(index: number): SimulatedKeyNode {
    const id = asId<NodeId>(`n${index}`);
    const logger = openSilentLogger();
    const stop = new AbortController();
    const settings = {
      node: id,
      windowMs: simulatedKeyWindowMs,
      partitions: this.partitions,
      listNodes: () =>
        this.memberLists[index].map(node => ({
          node: asId<NodeId>(node),
          dataAddress: node,
        })),
    };
    const arbiter = new KeyArbiter(
      settings,
      this.makeNodeLog(index),
      this.clock,
      logger,
    );
    const handlers = new Map<string, NodeCallHandler>();
    arbiter.registerCalls({
      register: (name, handler) => handlers.set(name, handler),
    });
    const call = this.call.bind(this);
    const context = {...settings, arbiter, calls: {call}, callTimeoutMs: 1500};
    const client = new KeyClient(context, this.clock, logger);
    void arbiter.run(stop.signal);
    void client.run(stop.signal);
    return {
      id,
      arbiter,
      handlers,
      stop,
      client,
      isUp: true,
      answerMs: 0,
    };
  }

  private makeNodeLog(index: number): LogClient {
    const {log} = this;
    const getLog = () => {
      if (this.nodesWithoutLog.has(index)) throw new LogUnavailableError('cut');
      return log;
    };
    return {
      append: async (...args) => getLog().append(...args),
      read: async (...args) => getLog().read(...args),
      close: () => log.close(),
    };
  }

  private async call(
    address: string,
    name: string,
    body: unknown,
    timeoutMs: Millis,
  ): Promise<unknown> {
    const node = this.nodes.find(({id}) => id === address);
    if (!node?.isUp) throw new UnavailableError(`${address} is down`);
    const {handlers, answerMs} = node;
    const answer = handlers.get(name)!(body).then(async value => {
      if (answerMs > 0) await this.clock.sleep(answerMs);
      return value;
    });
    const late = this.clock.sleep(timeoutMs).then(() => {
      throw new UnavailableError(`${address} does not respond`);
    });
    return Promise.race([answer, late]);
  }
}
