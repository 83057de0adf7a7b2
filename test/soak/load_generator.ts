import {Agent} from 'undici';
import {makeRandom, Millis, systemClock} from '../../src/base/index.js';
import {platformHeaders} from '../../platform/index.js';

/** How long callers wait for an answer, as they say in their requests. */
export const callerDeadlineMs: Millis = 3000;
/** Callers give up on a node that keeps silent for this long beyond their deadline. */
const patienceMs: Millis = 5000;
const idleMs: Millis = 60_000;
const unsafeShare = 0.4;
const abandonShare = 0.05;

/** How a request ended for its caller. */
export type RequestOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly signature: string | undefined;
      readonly body: string;
    }
  | {readonly kind: 'unconnected'}
  /** The connection ended without a whole answer. */
  | {readonly kind: 'broken'; readonly error: string}
  | {readonly kind: 'abandoned'}
  | {readonly kind: 'silence'};

/** One request as its caller saw it; times on the clock of the soak. */
export interface RequestRecord {
  readonly id: string;
  readonly node: number;
  readonly isUnsafe: boolean;
  readonly path: string;
  readonly sentAt: Millis;
  readonly endedAt: Millis;
  readonly outcome: RequestOutcome;
}

/** Callers of one node; they keep their connections and go on using them until the process is gone. */
export class SoakLoadGenerator {
  readonly records: RequestRecord[] = [];
  private readonly agent = new Agent({
    connections: 40,
    pipelining: 1,
    keepAliveTimeout: idleMs,
    keepAliveMaxTimeout: idleMs,
    connect: {timeout: 1000},
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  private readonly pending = new Set<Promise<void>>();
  private sent = 0;

  constructor(
    private readonly node: number,
    private readonly origin: string,
    seed: number,
    private readonly random = makeRandom(seed),
  ) {}

  /** Sends requests at random times until the signal aborts. */
  async run(ratePerSecond: number, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const pause = -Math.log(1 - this.random()) * (1000 / ratePerSecond);
      await systemClock.sleep(pause, signal);
      if (signal.aborted) return;
      const isUnsafe = this.random() < unsafeShare;
      this.start('/safe/', isUnsafe, this.random() < abandonShare);
    }
  }

  /** Sends one request under a path; safe ones go to `path` itself. A caller that is leaving does not wait for the answer. */
  start(path: string, isUnsafe: boolean, isLeaving = false): void {
    const prefix = isUnsafe ? '/unsafe/' : path;
    const task = this.send(prefix, isUnsafe, isLeaving);
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
    isLeaving: boolean,
  ): Promise<void> {
    this.sent += 1;
    const id = `n${this.node}-${this.sent}`;
    const path = `${prefix}${id}`;
    const sentAt = systemClock.getTime();
    const leave = new AbortController();
    const timer = systemClock.startTimer(
      isLeaving
        ? this.random() * callerDeadlineMs
        : callerDeadlineMs + patienceMs,
      () => leave.abort(),
    );
    const outcome = await this.request(id, path, isUnsafe, leave.signal);
    timer.cancel();
    const isGone = leave.signal.aborted && outcome.kind !== 'answered';
    this.records.push({
      id,
      node: this.node,
      isUnsafe,
      path,
      sentAt,
      endedAt: systemClock.getTime(),
      outcome: isGone ? {kind: isLeaving ? 'abandoned' : 'silence'} : outcome,
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
