import {createServer, Server, ServerResponse} from 'node:http';
import {AddressInfo, Socket} from 'node:net';
import {encodeKeyedRecord} from '../../platform/index.js';

/** How the stand-in responds to calls. */
export type StoreMode = 'ok' | 'down' | 'busy' | 'silent' | 'lose-answers';

interface StoredRecord {
  readonly key: string;
  readonly value: Buffer;
}

/** State of the store at one time. */
export type StoreCopy = ReadonlyMap<string, readonly StoredRecord[]>;

/** Stand-in for the platform's log store, with compacted topics, long polls and injected faults. */
export class StoreStandIn {
  mode: StoreMode = 'ok';
  readonly calls: string[] = [];
  /** Called when an append of a node was acknowledged. */
  onAppend: () => void = () => undefined;
  private readonly server: Server;
  private readonly topics = new Map<string, StoredRecord[]>();
  /** Number of times the store has come back from a copy. */
  private era = 0;
  private firstKept = 0;
  private waiting: (() => void)[] = [];
  private readonly sockets = new Set<Socket>();
  private readonly frozenSockets = new Set<Socket>();
  /** Whether stale listings also report the end offset of that time. */
  hasStaleEnd = false;
  /** Newest records as they were before the store became stale; undefined while listings are current. */
  private staleTopics: StoreCopy | undefined;

  constructor() {
    this.server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', chunk => chunks.push(chunk));
      request.on('end', () => {
        const url = new URL(request.url ?? '/', 'http://store');
        if (this.frozenSockets.has(request.socket)) return;
        this.calls.push(url.pathname);
        this.answer(url, Buffer.concat(chunks), response);
      });
    });
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('close', () => {
        this.sockets.delete(socket);
        this.frozenSockets.delete(socket);
      });
    });
  }

  async start(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Appends a record, as the operator or a node would. */
  write(topic: string, key: string, value: Buffer): void {
    this.getTopic(topic).push({key, value});
    for (const wake of this.waiting.splice(0)) wake();
  }

  writeConfig(document: unknown): void {
    this.write('keyed.op', 'config', Buffer.from(JSON.stringify(document)));
  }

  /** Truncates the history: records before the end can no longer be read, but the newest of each key can be listed. */
  removeHistory(): void {
    this.firstKept = Math.max(
      ...[...this.topics.values()].map(records => records.length),
    );
    for (const wake of this.waiting.splice(0)) wake();
  }

  listKeys(topic: string): readonly string[] {
    return [...new Set(this.getTopic(topic).map(({key}) => key))];
  }

  makeCopy(): StoreCopy {
    return new Map(
      [...this.topics].map(([topic, records]) => [topic, [...records]]),
    );
  }

  /** Replaces all records by those of a copy, whose offsets are then given out again. Reads that wait go on waiting. */
  resetTo(copy: StoreCopy): void {
    this.era += 1;
    this.topics.clear();
    for (const [topic, records] of copy) this.topics.set(topic, [...records]);
  }

  /** Makes all open connections silent for good, without a reset; new ones work. */
  freezeConnections(): void {
    for (const socket of this.sockets) this.frozenSockets.add(socket);
    this.waiting = [];
  }

  /** Lists newest records from now on as they are at this moment, although the end offset grows. */
  startStaleListings(): void {
    this.staleTopics = this.makeCopy();
  }

  endStaleListings(): void {
    this.staleTopics = undefined;
  }

  private getTopic(topic: string): StoredRecord[] {
    let records = this.topics.get(topic);
    if (!records) {
      records = [];
      this.topics.set(topic, records);
    }
    return records;
  }

  private answer(url: URL, body: Buffer, response: ServerResponse): void {
    // A read whose wait has ended is still among those that a write wakes.
    if (response.headersSent) return;
    response.setHeader('store-era', this.era);
    if (this.mode === 'down') return void response.destroy();
    if (this.mode === 'silent') return;
    if (this.mode === 'busy') {
      response.writeHead(503).end();
      return;
    }
    const topic = url.searchParams.get('topic') ?? '';
    switch (url.pathname) {
      case '/api/log-append': {
        const keyLength = body[4];
        const key = body.toString('utf8', 5, 5 + keyLength);
        this.write(topic, key, body.subarray(5 + keyLength));
        if (this.mode === 'lose-answers') return void response.destroy();
        response.end(JSON.stringify({offset: 0, end: 0}));
        return this.onAppend();
      }
      case '/api/log-newest':
        return this.answerNewest(topic, response);
      case '/api/log-read':
        return this.answerRead(topic, url.searchParams, response);
      default:
        response.writeHead(404).end();
    }
  }

  private answerNewest(topic: string, response: ServerResponse): void {
    const records = this.getTopic(topic);
    const listed = this.staleTopics?.get(topic) ?? records;
    const newest = new Map(listed.map(({key, value}) => [key, value]));
    const items = [...newest].map(([key, value]) => ({
      key,
      value: value.toString('base64'),
      offset: 0,
    }));
    const end = this.hasStaleEnd ? listed.length : records.length;
    response.end(JSON.stringify({items, more: false, end}));
  }

  private answerRead(
    topic: string,
    query: URLSearchParams,
    response: ServerResponse,
  ): void {
    const from = Number(query.get('from'));
    const records = this.getTopic(topic);
    if (from < this.firstKept || from > records.length) {
      response.writeHead(410).end(JSON.stringify({first: this.firstKept}));
      return;
    }
    const sendPage = () => {
      if (response.socket && this.frozenSockets.has(response.socket)) return;
      const head = Buffer.alloc(16);
      const current = this.getTopic(topic);
      head.writeBigUInt64BE(BigInt(current.length), 0);
      response.setHeader('store-era', this.era);
      const rest = current
        .slice(from)
        .map(({key, value}) => encodeKeyedRecord(key, value));
      response.end(Buffer.concat([head, ...rest]));
    };
    if (records.length > from) return sendPage();
    const timer = setTimeout(sendPage, Number(query.get('wait_ms') ?? 0));
    this.waiting.push(() => {
      clearTimeout(timer);
      this.answer(
        new URL(`http://store/api/log-read?${query}`),
        Buffer.alloc(0),
        response,
      );
    });
  }
}
