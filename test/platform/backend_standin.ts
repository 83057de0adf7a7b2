import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {platformHeaders} from '../../platform/index.js';

/** How the server handles requests. */
export type BackendMode =
  'good' | 'hang' | 'error' | 'shed' | 'cut-body' | 'endless';

/** Block of an answer without end. */
const endlessBlock = Buffer.alloc(64 * 1024, 'x');

/** Stand-in for a backend server: runs requests, records the ids of those it ran, and sends heartbeats. */
export class BackendStandIn {
  mode: BackendMode = 'good';
  workMs = 20;
  /** Duration of a run by the path of its request; `workMs` unless replaced. */
  getWorkMs: (path: string) => number = () => this.workMs;
  /** Port in the heartbeats; differs from `port` if a relay is placed before the server. */
  announcedPort: number;
  /** Requests a second that the answers name as the limit of the server, as text. */
  limit: string | undefined;
  /** Whether the answers say that the server is leaving. */
  isLeaving = false;
  /** When each request arrived, also those that were not run. */
  readonly arrivals: number[] = [];
  makeBody: (requestId: string) => string = () => 'the whole body';
  /** Called when a run starts. */
  onRun: (request: IncomingMessage, requestId: string) => void = () =>
    undefined;
  /** Ids of the requests that were run, in order. */
  readonly runs: string[] = [];
  /** Ids of requests whose connection closed before the answer. */
  readonly abandoned: string[] = [];
  /** Bytes of answers without end that have been written. */
  endlessBytes = 0;
  callers: (string | undefined)[] = [];
  private readonly server: Server;
  private sequence = 0;
  /** Unix time of the start, as the heartbeats state it. */
  startedAt = Date.now();

  constructor(
    readonly id: string,
    readonly service: string,
    readonly host: string,
    readonly port: number,
    private readonly announceUrl: string,
  ) {
    this.announcedPort = port;
    this.server = createServer((request, response) =>
      this.answer(request, response),
    );
  }

  async start(): Promise<void> {
    await new Promise<void>(resolve =>
      this.server.listen(this.port, this.host, resolve),
    );
  }

  /** Closes idle connections without announcing it to their clients. */
  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Sends one heartbeat; returns the status of the response. */
  async announce(
    state: 'ready' | 'draining' = 'ready',
    service = this.service,
  ): Promise<number> {
    this.sequence += 1;
    const answer = await fetch(
      `${this.announceUrl}/api/rpc?call=instances.heartbeat&of=${this.id}`,
      {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify({
          service,
          address: `${this.host}:${this.announcedPort}`,
          zone: 'z',
          version: 'v1',
          slots: 2,
          state,
          warmup_left_ms: 0,
          sequence: this.sequence,
          born: this.startedAt,
        }),
      },
    );
    return answer.status;
  }

  /** Says that the server leaves; returns the status of the response. */
  async announceDeparture(body: string | undefined): Promise<number> {
    const answer = await fetch(
      `${this.announceUrl}/api/rpc?call=instances.deregister&of=${this.id}`,
      {method: 'POST', body},
    );
    return answer.status;
  }

  private answer(request: IncomingMessage, response: ServerResponse): void {
    const id = String(request.headers[platformHeaders.requestId]);
    request.resume();
    if (request.headers[platformHeaders.expectedServer] !== this.id) {
      response.writeHead(421, {[platformHeaders.serverId]: this.id}).end();
      return;
    }
    this.arrivals.push(Date.now());
    if (this.mode === 'shed') {
      const headers = {...this.makeNotices(id), [platformHeaders.notRun]: '1'};
      response.writeHead(503, headers).end();
      return;
    }
    this.runs.push(id);
    this.onRun(request, id);
    this.callers.push(
      request.headers[platformHeaders.callerService] as string | undefined,
    );
    response.on('close', () => {
      if (!response.writableFinished) this.abandoned.push(id);
    });
    if (this.mode === 'hang') return;
    setTimeout(
      () => this.finish(id, response),
      this.getWorkMs(request.url ?? '/'),
    );
  }

  private makeNotices(id: string): Record<string, string> {
    return {
      [platformHeaders.requestId]: id,
      ...(this.limit === undefined ? {} : {'server-limit': this.limit}),
      ...(this.isLeaving ? {'server-leaving': '1'} : {}),
    };
  }

  private sendWithoutEnd(id: string, response: ServerResponse): void {
    response.writeHead(200, {
      ...this.makeNotices(id),
      [platformHeaders.signature]: `s.${this.id}`,
    });
    const writeMore = () => {
      if (response.destroyed) return;
      this.endlessBytes += endlessBlock.length;
      if (response.write(endlessBlock)) setImmediate(writeMore);
      else response.once('drain', writeMore);
    };
    writeMore();
  }

  private finish(id: string, response: ServerResponse): void {
    if (this.mode === 'endless') return this.sendWithoutEnd(id, response);
    const body = this.makeBody(id);
    response.writeHead(this.mode === 'error' ? 500 : 200, {
      ...this.makeNotices(id),
      [platformHeaders.signature]: `s.${this.id}`,
      'content-length': Buffer.byteLength(body),
    });
    if (this.mode === 'cut-body') {
      response.write(body.slice(0, 4));
      setTimeout(() => response.destroy(), 10);
    } else {
      response.end(body);
    }
  }
}
