import {createHash} from 'node:crypto';
import {Agent} from 'undici';
import {Clock, Millis, systemClock} from '../base/index.js';

/** One request of the load with its outcome. */
export interface Exchange {
  /** Unique text in the path, by which a response is matched with its request. */
  readonly token: string;
  readonly method: 'GET' | 'POST';
  /** host:port of the node that it was sent to. */
  readonly target: string;
  readonly atMs: Millis;
  readonly tookMs: Millis;
  readonly outcome: ExchangeOutcome;
  /** Idempotency key, if one was sent. */
  readonly key?: string;
}

/** Outcome of a request for its caller. */
export type ExchangeOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly server: string;
      /** Whether the response contains its request's token and matches its digest; always true for an error status. */
      readonly isIntact: boolean;
    }
  | {
      readonly kind: 'refused';
      readonly status: number;
      readonly ran: string;
      readonly error: string;
    }
  | {readonly kind: 'broken'; readonly error: string};

/** Options of a load generator. */
export interface LoadGeneratorOptions {
  /** host:port of the nodes' caller ports, used in round-robin order. */
  readonly targets: readonly string[];
  readonly ratePerSecond: number;
  readonly method: 'GET' | 'POST';
  readonly pathPrefix: string;
  readonly callerToken: string;
  /**
   * Whether each request has its own idempotency key and is resent with it until it is answered with a status below
   * 500, at most 8 times in all.
   */
  readonly hasIdempotencyKeys?: boolean;
  readonly query?: string;
  readonly timeoutMs?: Millis;
}

let startedGenerators = 0;
const maxSends = 8;
const resendPauseMs: Millis = 400;

/** Sends requests at a constant rate, whatever the response times, and records each outcome. */
export class LoadGenerator {
  readonly exchanges: Exchange[] = [];
  private readonly agent = new Agent({connections: 200, pipelining: 1});
  private readonly stopping = new AbortController();
  private readonly tokenPrefix: string;
  private pending = new Set<Promise<void>>();
  private readonly loop: Promise<void>;

  constructor(
    private readonly options: LoadGeneratorOptions,
    private readonly clock: Clock = systemClock,
  ) {
    startedGenerators += 1;
    this.tokenPrefix = `${process.pid}-${startedGenerators}`;
    this.loop = this.sendAtRate();
  }

  /** Stops sending, waits for the requests in flight and closes the connections. */
  async stop(): Promise<readonly Exchange[]> {
    this.stopping.abort();
    await this.loop;
    await Promise.all(this.pending);
    await this.agent.close();
    return this.exchanges;
  }

  private async sendAtRate(): Promise<void> {
    const start = this.clock.getTime();
    for (let i = 0; !this.stopping.signal.aborted; i += 1) {
      const dueMs = start + (i * 1000) / this.options.ratePerSecond;
      const waitMs = dueMs - this.clock.getTime();
      if (waitMs > 0) await this.clock.sleep(waitMs, this.stopping.signal);
      if (this.stopping.signal.aborted) return;
      const task = this.send(i).finally(() => this.pending.delete(task));
      this.pending.add(task);
    }
  }

  private async send(index: number): Promise<void> {
    const token = `${this.tokenPrefix}-${index}`;
    const key = this.options.hasIdempotencyKeys ? `key-${token}` : undefined;
    for (let attempt = 0; attempt < maxSends; attempt += 1) {
      const exchange = await this.sendOnce(token, index + attempt, key);
      this.exchanges.push(exchange);
      if (!key || !needsResend(exchange.outcome)) return;
      await this.clock.sleep(resendPauseMs);
    }
  }

  private async sendOnce(
    token: string,
    index: number,
    key: string | undefined,
  ): Promise<Exchange> {
    const {targets, method} = this.options;
    const target = targets[index % targets.length];
    const atMs = this.clock.getTime();
    const outcome = await this.request(target, token, key);
    const tookMs = this.clock.getTime() - atMs;
    return {token, method, target, atMs, tookMs, outcome, key};
  }

  private async request(
    target: string,
    token: string,
    key: string | undefined,
  ): Promise<ExchangeOutcome> {
    const {method, pathPrefix, callerToken, query} = this.options;
    try {
      const answer = await this.agent.request({
        origin: `http://${target}`,
        path: `${pathPrefix}/${token}${query ? `?${query}` : ''}`,
        method,
        headers: {
          authorization: `Bearer ${callerToken}`,
          ...(key && {'idempotency-key': key}),
        },
        body: method === 'POST' ? JSON.stringify({token}) : undefined,
        signal: AbortSignal.timeout(this.options.timeoutMs ?? 15_000),
      });
      const bytes = Buffer.from(await answer.body.arrayBuffer());
      const ran = answer.headers['fescuewheel-ran'];
      if (ran !== undefined) {
        const {error} = JSON.parse(bytes.toString()) as {
          error: {kind: string};
        };
        return {
          kind: 'refused',
          status: answer.statusCode,
          ran: String(ran),
          error: error.kind,
        };
      }
      return readAnswer(answer.statusCode, answer.headers, bytes, token);
    } catch (error) {
      const {code} = error as {code?: string};
      return {kind: 'broken', error: `${String(error)} ${code ?? ''}`};
    }
  }
}

function needsResend(outcome: ExchangeOutcome): boolean {
  return outcome.kind !== 'answered' || outcome.status >= 500;
}

function readAnswer(
  status: number,
  headers: Record<string, unknown>,
  bytes: Buffer,
  token: string,
): ExchangeOutcome {
  if (status >= 400)
    return {kind: 'answered', status, server: '', isIntact: true};
  const digest = createHash('sha256').update(bytes).digest('base64');
  const digestHeader = headers['content-digest'];
  const isDigestValid =
    digestHeader === undefined || digestHeader === `sha-256=:${digest}:`;
  const body = JSON.parse(bytes.toString()) as {server: string; path: string};
  return {
    kind: 'answered',
    status,
    server: body.server,
    isIntact: isDigestValid && body.path.includes(`/${token}`),
  };
}
