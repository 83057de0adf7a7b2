import {Millis, Random} from '../base/index.js';
import {Observation, overdueMultiples} from '../health/index.js';

/** Assumed size and load of a service. */
export interface Workload {
  readonly name: string;
  readonly servers: number;
  /** Requests a second to each backend server. */
  readonly rate: number;
  readonly medianMs: Millis;
  readonly slots: number;
  readonly floor: number;
  /** Number of entries that the requests come from. */
  readonly entries: number;
  /** Number of backend servers that an entry uses in the scheme with subsets. */
  readonly subset: number;
}

const ostregion = {medianMs: 20, slots: 5, entries: 9, subset: 3};
const midlands = {medianMs: 20, slots: 3, entries: 9, subset: 3};

/**
 * A service at the design size, and six smaller services that the first users of the proxy run in two regions, at
 * assumed request rates.
 */
export const workloads: readonly Workload[] = [
  {
    name: 'fleet',
    servers: 45,
    rate: 39_000 / 5400,
    medianMs: 20,
    slots: 4,
    floor: 30,
    entries: 450,
    subset: 8,
  },
  {name: 'hisskalender', servers: 6, rate: 10, floor: 4, ...ostregion},
  {name: 'fahnenarchiv', servers: 6, rate: 2, floor: 4, ...ostregion},
  {name: 'beflaggung', servers: 9, rate: 0.5, floor: 6, ...ostregion},
  {name: 'lookup-desk', servers: 9, rate: 5, floor: 6, ...midlands},
  {name: 'bench-log', servers: 12, rate: 1, floor: 8, ...midlands},
  {name: 'cert-office', servers: 6, rate: 0.5, floor: 4, ...midlands},
];

/** Gray failures: the backend server still answers probes. */
export const faults = [
  'fails 100%',
  'fails 50%',
  'slow 10x',
  'slow 3x',
  'flapping',
  'hanging',
] as const;
export type Fault = (typeof faults)[number];

const latencySigma = 0.5;
const errorShare = 0.005;
const flapPhaseMs: Millis = 5000;
/** Deadline of every request. */
export const requestDeadlineMs: Millis = 5000;

/** Draws the interval to the next event of a Poisson process. */
export function pickInterval(random: Random, meanMs: Millis): Millis {
  return -Math.log(1 - random()) * meanMs;
}

/** Draws the log-normal latency of a server without a fault. */
export function pickLatency(random: Random, medianMs: Millis): Millis {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return medianMs * Math.exp(latencySigma * normal);
}

/** Returns the answer of a faulty server to a request sent `sentMs` after the fault began. */
export function makeFaultyAnswer(
  fault: Fault,
  medianMs: Millis,
  sentMs: Millis,
  random: Random,
): Observation {
  const failShare = getFailShare(fault, sentMs);
  const ok = random() >= Math.max(failShare, errorShare);
  const factor = fault === 'slow 10x' ? 10 : fault === 'slow 3x' ? 3 : 1;
  const tookMs = pickLatency(random, medianMs) * factor;
  return {kind: 'answer', atMs: sentMs + tookMs, ok, tookMs};
}

function getFailShare(fault: Fault, sentMs: Millis): number {
  switch (fault) {
    case 'fails 100%':
      return 1;
    case 'fails 50%':
      return 0.5;
    case 'flapping':
      return Math.floor(sentMs / flapPhaseMs) % 2 === 0 ? 1 : 0;
    case 'slow 10x':
    case 'slow 3x':
    case 'hanging':
      return 0;
  }
}

/** Returns the observations of a server that accepts requests and never answers, until each slot was held several times. */
export function makeHangingObservations(
  rate: number,
  slots: number,
  limitMs: Millis,
  random: Random,
): readonly Observation[] {
  const starts: Millis[] = [];
  let sentMs = 0;
  for (let i = 0; i < 40; i += 1) {
    sentMs += pickInterval(random, 1000 / rate);
    const freeMs = i < slots ? 0 : starts[i - slots] + requestDeadlineMs;
    starts.push(Math.max(sentMs, freeMs));
  }
  // The guard checks for overdue answers every 250 ms.
  const observations = starts.flatMap((startMs): Observation[] => [
    ...overdueMultiples.map((step): Observation => ({
      kind: 'unfinished',
      atMs: startMs + limitMs * step + random() * 250,
      tookMs: limitMs * step + 1,
    })),
    {kind: 'answer', atMs: startMs + requestDeadlineMs, ok: false},
  ]);
  return observations.sort((a, b) => a.atMs - b.atMs);
}

/** Times of the error bursts and pauses of a healthy backend server. */
interface NoiseState {
  readonly burstUntilMs: Millis;
  readonly nextBurstMs: Millis;
  readonly pauseUntilMs: Millis;
  readonly nextPauseMs: Millis;
}

const msPerHour: Millis = 3_600_000;
const pauseMs: Millis = 300;
const meanPauseIntervalMs = msPerHour / 6;
const slowdownMs: Millis = 60_000;

/**
 * Simulates the healthy backend servers of one service: log-normal latencies and 0.5% errors. Each server has one burst an
 * hour (2 to 10 s with 10% errors and twice the latency) and six pauses of 300 ms an hour. Every 4 hours the whole service
 * is five times slower for 60 s.
 */
export class HealthyServiceSimulation {
  private noises: readonly NoiseState[];
  private slowUntilMs = 0;
  private nextSlowMs: Millis;

  constructor(
    private readonly workload: Workload,
    private readonly random: Random,
  ) {
    this.noises = Array.from({length: workload.servers}, () => ({
      burstUntilMs: 0,
      nextBurstMs: pickInterval(random, msPerHour),
      pauseUntilMs: 0,
      nextPauseMs: pickInterval(random, meanPauseIntervalMs),
    }));
    this.nextSlowMs = msPerHour;
  }

  /** Starts the bursts, pauses and slow periods that are due; called every second of simulated time. */
  advance(nowMs: Millis): void {
    if (nowMs >= this.nextSlowMs) {
      this.slowUntilMs = nowMs + slowdownMs;
      this.nextSlowMs = nowMs + 4 * msPerHour;
    }
    this.noises = this.noises.map(noise => this.advanceNoise(noise, nowMs));
  }

  /** Returns the observations of one request: each later multiple of the limit that it exceeded, then its answer. */
  makeObservations(
    server: number,
    nowMs: Millis,
    limitMs: Millis,
  ): Observation[] {
    const noise = this.noises[server];
    const inBurst = nowMs < noise.burstUntilMs;
    const serviceFactor = nowMs < this.slowUntilMs ? 5 : 1;
    const tookMs =
      pickLatency(this.random, this.workload.medianMs) *
        serviceFactor *
        (inBurst ? 2 : 1) +
      Math.max(0, noise.pauseUntilMs - nowMs);
    const ok = this.random() >= (inBurst ? 0.1 : errorShare);
    const atMs = nowMs + tookMs;
    const overdue = overdueMultiples
      .slice(1)
      .filter(step => tookMs > limitMs * step)
      .map((): Observation => ({kind: 'unfinished', atMs, tookMs}));
    return [...overdue, {kind: 'answer', atMs, ok, tookMs}];
  }

  private advanceNoise(noise: NoiseState, nowMs: Millis): NoiseState {
    if (nowMs >= noise.nextBurstMs) {
      return {
        ...noise,
        burstUntilMs: nowMs + 2000 + this.random() * 8000,
        nextBurstMs: nowMs + pickInterval(this.random, msPerHour),
      };
    }
    if (nowMs >= noise.nextPauseMs) {
      return {
        ...noise,
        pauseUntilMs: nowMs + pauseMs,
        nextPauseMs: nowMs + pickInterval(this.random, meanPauseIntervalMs),
      };
    }
    return noise;
  }
}
