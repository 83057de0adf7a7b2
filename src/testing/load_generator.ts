import {createHash} from 'node:crypto';
import {Agent} from 'undici';
import {Clock, Millis, systemClock} from '../base/index.js';

/** What became of one request of the load. */
export interface Exchange {
  /** Unique text in the path, so that an answer can be matched to its request. */
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

/** What the caller saw. */
export type ExchangeOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly server: string;
      /** Whether the answer names this request's own token and its digest fits. */
      readonly isOwnAnswer: boolean;
    }
  | {
      readonly kind: 'refused';
      readonly status: number;
      readonly ran: string;
      readonly error: string;
    }
  | {readonly kind: 'broken'; readonly error: string};

/** How callers behave. */
export interface LoadGeneratorOptions {
  /** host:port of the nodes' caller ports, used in turn. */
  readonly targets: readonly string[];
  readonly ratePerSecond: number;
  readonly method: 'GET' | 'POST';
  readonly pathPrefix: string;
  readonly callerToken: string;
  /** Whether each request carries a key of its own, and is sent again with it until its outcome is known. */
  readonly hasIdempotencyKeys?: boolean;
  readonly query?: string;
  readonly timeoutMs?: Millis;
}

let loads = 0;
const maxSends = 8;
const resendMs: Millis = 400;

/** Callers that send at a steady rate and record each outcome. */
export class LoadGenerator {
  readonly exchanges: Exchange[] = [];
  private readonly agent = new Agent({connections: 200, pipelining: 1});
  private readonly stopping = new AbortController();
  private readonly name: string;
  private pending = new Set<Promise<void>>();
  private readonly loop: Promise<void>;

  constructor(
    private readonly options: LoadGeneratorOptions,
    private readonly clock: Clock = systemClock,
  ) {
    loads += 1;
    this.name = `${process.pid}-${loads}`;
    this.loop = this.run();
  }

  /** Sends no more, waits for the requests under way, and closes the connections. */
  async stop(): Promise<readonly Exchange[]> {
    this.stopping.abort();
    await this.loop;
    await Promise.all(this.pending);
    await this.agent.close();
    return this.exchanges;
  }

  private async run(): Promise<void> {
    const start = this.clock.getTime();
    for (let i = 0; !this.stopping.signal.aborted; i += 1) {
      const due = start + (i * 1000) / this.options.ratePerSecond;
      const wait = due - this.clock.getTime();
      if (wait > 0) await this.clock.sleep(wait, this.stopping.signal);
      if (this.stopping.signal.aborted) return;
      const task = this.send(i).finally(() => this.pending.delete(task));
      this.pending.add(task);
    }
  }

  private async send(index: number): Promise<void> {
    const token = `${this.name}-${index}`;
    const key = this.options.hasIdempotencyKeys ? `key-${token}` : undefined;
    for (let attempt = 0; attempt < maxSends; attempt += 1) {
      const exchange = await this.sendOnce(token, index + attempt, key);
      this.exchanges.push(exchange);
      if (!key || !needsResend(exchange.outcome)) return;
      await this.clock.sleep(resendMs);
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
    return {kind: 'answered', status, server: '', isOwnAnswer: true};
  const digest = createHash('sha256').update(bytes).digest('base64');
  const sent = headers['content-digest'];
  const whole = sent === undefined || sent === `sha-256=:${digest}:`;
  const body = JSON.parse(bytes.toString()) as {server: string; path: string};
  return {
    kind: 'answered',
    status,
    server: body.server,
    isOwnAnswer: whole && body.path.includes(`/${token}`),
  };
}
