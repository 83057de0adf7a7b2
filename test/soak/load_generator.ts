import {Agent} from 'undici';
import {makeRandom, Millis, systemClock} from '../../src/base/index.js';
import {platformHeaders} from '../../platform/index.js';

/** Deadline of each request, which callers send in a header. */
export const callerDeadlineMs: Millis = 3000;
/** A caller gives up if no response arrives within this time after its deadline. */
const responseGraceMs: Millis = 5000;
const keepAliveMs: Millis = 60_000;
/** Share of requests whose method is not safe (POST). */
const unsafeShare = 0.4;
/** Share of requests whose caller closes its connection at a random time before the deadline. */
const abandonShare = 0.05;

/** How a request ended for its caller. */
export type RequestOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly signature: string | undefined;
      readonly body: string;
    }
  /** The connection to the node was refused or timed out. */
  | {readonly kind: 'unconnected'}
  /** The connection closed before the response was complete. */
  | {readonly kind: 'broken'; readonly error: string}
  /** The caller cancelled the request at a random time before its deadline. */
  | {readonly kind: 'abandoned'}
  /** No response was complete when the caller gave up after the deadline. */
  | {readonly kind: 'silence'};

/** One request with its outcome for the caller; times are on the clock of the soak. */
export interface RequestRecord {
  readonly id: string;
  readonly node: number;
  readonly isUnsafe: boolean;
  readonly path: string;
  readonly sentAt: Millis;
  readonly endedAt: Millis;
  readonly outcome: RequestOutcome;
}

/** Sends requests to one node over persistent connections, which it reuses until the process has exited. */
export class SoakLoadGenerator {
  readonly records: RequestRecord[] = [];
  private readonly agent = new Agent({
    connections: 40,
    pipelining: 1,
    keepAliveTimeout: keepAliveMs,
    keepAliveMaxTimeout: keepAliveMs,
    connect: {timeout: 1000},
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  private readonly pending = new Set<Promise<void>>();
  private sentCount = 0;

  constructor(
    private readonly node: number,
    private readonly origin: string,
    seed: number,
    private readonly random = makeRandom(seed),
  ) {}

  /** Sends requests at random times until the signal aborts. */
  async run(ratePerSecond: number, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const pauseMs = -Math.log(1 - this.random()) * (1000 / ratePerSecond);
      await systemClock.sleep(pauseMs, signal);
      if (signal.aborted) return;
      const isUnsafe = this.random() < unsafeShare;
      this.startRequest('/safe/', isUnsafe, this.random() < abandonShare);
    }
  }

  /**
   * Sends one request: a safe one below `path`, an unsafe one below /unsafe/. An abandoning caller cancels its request
   * at a random time before the deadline.
   */
  startRequest(path: string, isUnsafe: boolean, isAbandoning = false): void {
    const prefix = isUnsafe ? '/unsafe/' : path;
    const task = this.send(prefix, isUnsafe, isAbandoning);
    this.pending.add(task);
    void task.finally(() => this.pending.delete(task));
  }

  async waitForAll(): Promise<void> {
    await Promise.all(this.pending);
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async send(
    prefix: string,
    isUnsafe: boolean,
    isAbandoning: boolean,
  ): Promise<void> {
    this.sentCount += 1;
    const id = `n${this.node}-${this.sentCount}`;
    const path = `${prefix}${id}`;
    const sentAt = systemClock.getTime();
    const cancellation = new AbortController();
    const timer = systemClock.startTimer(
      isAbandoning
        ? this.random() * callerDeadlineMs
        : callerDeadlineMs + responseGraceMs,
      () => cancellation.abort(),
    );
    const outcome = await this.request(id, path, isUnsafe, cancellation.signal);
    timer.cancel();
    const isCancelled =
      cancellation.signal.aborted && outcome.kind !== 'answered';
    this.records.push({
      id,
      node: this.node,
      isUnsafe,
      path,
      sentAt,
      endedAt: systemClock.getTime(),
      outcome: isCancelled
        ? {kind: isAbandoning ? 'abandoned' : 'silence'}
        : outcome,
    });
  }

  private async request(
    id: string,
    path: string,
    isUnsafe: boolean,
    signal: AbortSignal,
  ): Promise<RequestOutcome> {
    try {
      const answer = await this.agent.request({
        origin: this.origin,
        path,
        method: isUnsafe ? 'POST' : 'GET',
        body: isUnsafe ? `payload of ${id}` : undefined,
        signal,
        headers: {
          host: 'h',
          [platformHeaders.requestId]: id,
          [platformHeaders.remainingMs]: String(callerDeadlineMs),
        },
      });
      const signature = answer.headers[platformHeaders.signature];
      return {
        kind: 'answered',
        status: answer.statusCode,
        signature: signature === undefined ? undefined : String(signature),
        body: await answer.body.text(),
      };
    } catch (error) {
      const {code} = error as {code?: string};
      const isUnconnected =
        code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
      return isUnconnected
        ? {kind: 'unconnected'}
        : {kind: 'broken', error: `${String(error)} ${code ?? ''}`};
    }
  }
}
