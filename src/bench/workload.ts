import {Millis, Random} from '../base/index.js';
import {Observation, overdueMultiples} from '../health/index.js';

/** A service as the measurement assumes it. */
export interface Workload {
  readonly name: string;
  readonly servers: number;
  /** Requests a second at each backend server. */
  readonly rate: number;
  readonly medianMs: Millis;
  readonly slots: number;
  readonly floor: number;
  /** Entries that share the requests. */
  readonly entries: number;
  /** Backend servers that each entry uses when it uses a subset. */
  readonly subset: number;
}

const ostregion = {medianMs: 20, slots: 5, entries: 9, subset: 3};
const midlands = {medianMs: 20, slots: 3, entries: 9, subset: 3};

/** The size to design for, and the services of the first users with assumed rates. */
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

/** Faults that a backend server has while it still answers probes. */
export const faults = [
  'fails 100%',
  'fails 50%',
  'slow 10x',
  'slow 3x',
  'flapping',
  'hanging',
] as const;
/** One of the faults. */
export type Fault = (typeof faults)[number];

const sigma = 0.5;
const errorShare = 0.005;
const flapMs: Millis = 5000;
/** Deadline of every request. */
export const requestDeadlineMs: Millis = 5000;

/** Time to the next of events that are independent of each other. */
export function pickInterval(random: Random, meanMs: Millis): Millis {
  return -Math.log(1 - random()) * meanMs;
}

/** Log-normal time of a good answer. */
export function pickLatency(random: Random, medianMs: Millis): Millis {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return medianMs * Math.exp(sigma * normal);
}

/** Answer of a server to a request sent at a time since the fault began. */
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
      return Math.floor(sentMs / flapMs) % 2 === 0 ? 1 : 0;
    case 'slow 10x':
    case 'slow 3x':
    case 'hanging':
      return 0;
  }
}

/** Observations of a server that accepts requests and never answers, until its slots were held a few times. */
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
  // The guard looks for overdue answers every 250 ms.
  const seen = starts.flatMap((startMs): Observation[] => [
    ...overdueMultiples.map((step): Observation => ({
      kind: 'unfinished',
      atMs: startMs + limitMs * step + random() * 250,
      tookMs: limitMs * step + 1,
    })),
    {kind: 'answer', atMs: startMs + requestDeadlineMs, ok: false},
  ]);
  return seen.sort((a, b) => a.atMs - b.atMs);
}

/** State of the noise of a healthy backend server. */
interface Noise {
  readonly burstUntilMs: Millis;
  readonly nextBurstMs: Millis;
  readonly pauseUntilMs: Millis;
  readonly nextPauseMs: Millis;
}

const hourMs: Millis = 3_600_000;
const pauseMs: Millis = 300;
const pauseGapMs = hourMs / 6;
const slowdownMs: Millis = 60_000;

/**
 * Answers of the healthy backend servers of one service: log-normal times, 0.5% errors; each server has a burst an
 * hour (2 to 10 s, 10% errors, twice the time) and six pauses of 300 ms an hour; every 4 hours the whole service
 * is five times slower for 60 s.
 */
export class HealthyServiceSimulation {
  private noises: readonly Noise[];
  private slowUntilMs = 0;
  private nextSlowMs: Millis;

  constructor(
    private readonly workload: Workload,
    private readonly random: Random,
  ) {
    this.noises = Array.from({length: workload.servers}, () => ({
      burstUntilMs: 0,
      nextBurstMs: pickInterval(random, hourMs),
      pauseUntilMs: 0,
      nextPauseMs: pickInterval(random, pauseGapMs),
    }));
    this.nextSlowMs = hourMs;
  }

  /** Moves the noise on to a time; called every second. */
  advance(nowMs: Millis): void {
    if (nowMs >= this.nextSlowMs) {
      this.slowUntilMs = nowMs + slowdownMs;
      this.nextSlowMs = nowMs + 4 * hourMs;
    }
    this.noises = this.noises.map(noise => this.advanceNoise(noise, nowMs));
  }

  /** Observations of one request: an answer, and before it the further steps at which it was overdue. */
  makeObservations(
    server: number,
    nowMs: Millis,
    limitMs: Millis,
  ): Observation[] {
    const noise = this.noises[server];
    const inBurst = nowMs < noise.burstUntilMs;
    const common = nowMs < this.slowUntilMs ? 5 : 1;
    const tookMs =
      pickLatency(this.random, this.workload.medianMs) *
        common *
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

  private advanceNoise(noise: Noise, nowMs: Millis): Noise {
    if (nowMs >= noise.nextBurstMs) {
      return {
        ...noise,
        burstUntilMs: nowMs + 2000 + this.random() * 8000,
        nextBurstMs: nowMs + pickInterval(this.random, hourMs),
      };
    }
    if (nowMs >= noise.nextPauseMs) {
      return {
        ...noise,
        pauseUntilMs: nowMs + pauseMs,
        nextPauseMs: nowMs + pickInterval(this.random, pauseGapMs),
      };
    }
    return noise;
  }
}
