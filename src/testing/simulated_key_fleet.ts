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

/** Key window of a KeyWorld. */
export const simulatedKeyWindowMs: Millis = 600_000;
const print = asId<RequestFingerprint>('print');

/** One node of a KeyWorld. */
export interface SimulatedKeyNode {
  readonly id: NodeId;
  arbiter: KeyArbiter;
  handlers: Map<string, NodeCallHandler>;
  stop: AbortController;
  client: KeyClient;
  isUp: boolean;
  /** Time that each answer to another node takes. */
  answerMs: Millis;
}

/** Nodes with an arbiter and a client each, over one log, on one manual clock. */
export class SimulatedKeyFleet {
  readonly clock = new ManualClock(1_000_000);
  readonly log = new FakeLog(this.clock);
  /** Indexes of nodes whose arbiter is cut off from the log. */
  readonly nodesWithoutLog = new Set<number>();
  readonly nodes: readonly SimulatedKeyNode[];
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
  findArbiter(stream: string): number {
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
  async claimAndGetKind(index: number, key: string): Promise<string> {
    return (await this.wait(this.claim(index, key))).kind;
  }

  /** Claims and waits; throws unless the key was granted. */
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
        this.rosters[index].map(node => ({
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
    const context = {...settings, arbiter, calls: {call}, callMs: 1500};
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
      throw new UnavailableError(`${address} is silent`);
    });
    return Promise.race([answer, late]);
  }
}
