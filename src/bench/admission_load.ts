import * as E from 'fp-ts/lib/Either.js';
import {build, Histogram} from 'hdr-histogram-js';
import {Clock, Millis, PartnerId, Random} from '../base/index.js';
import {RefusalReason, SlotLease} from '../guard/index.js';

/** What measurements need of a slot table. */
export interface AdmissionController {
  admit(
    partner: PartnerId,
    deadline: Millis,
    signal: AbortSignal,
  ): Promise<E.Either<RefusalReason, SlotLease>>;
}

/** A backend server with a first-in-first-out queue, the baseline of the measurements. */
export class FifoLimiter implements AdmissionController {
  private inUse = 0;
  private waiters: ((use: E.Either<RefusalReason, SlotLease>) => void)[] = [];

  constructor(
    private readonly slots: number,
    private readonly maxQueue: number,
    private readonly clock: Clock,
  ) {}

  async admit(
    _partner: PartnerId,
    deadline: Millis,
  ): Promise<E.Either<RefusalReason, SlotLease>> {
    if (this.inUse < this.slots) return E.right(this.useSlot());
    if (this.waiters.length >= this.maxQueue) return E.left('busy');
    return new Promise(resolve => {
      const done = new AbortController();
      const end = (use: E.Either<RefusalReason, SlotLease>) => {
        this.waiters = this.waiters.filter(other => other !== end);
        done.abort();
        resolve(use);
      };
      this.waiters.push(end);
      void this.clock
        .sleep(deadline - this.clock.getTime(), done.signal)
        .then(() => {
          if (!done.signal.aborted) end(E.left('deadline'));
        });
    });
  }

  private useSlot(): SlotLease {
    this.inUse += 1;
    return {
      release: () => {
        this.inUse -= 1;
        if (this.waiters.length > 0) this.waiters[0](E.right(this.useSlot()));
      },
    };
  }
}

/** Requests of one partner: open loop with random gaps. */
export interface PartnerLoad {
  readonly partner: PartnerId;
  readonly perSecond: number;
}

/** Outcome of one request of a measurement. */
export type LoadOutcome = 'answered' | 'late' | 'refused';

/** Figures of one partner's requests. */
export interface LoadStatistics {
  readonly counts: Record<LoadOutcome, number>;
  /** Times of the requests answered within their deadline, in hundredths of a ms. */
  readonly times: Histogram;
}

/** Answer times spread evenly from half to one and a half times the mean. */
export function pickWorkMs(meanMs: Millis, random: Random): Millis {
  return meanMs * (0.5 + random());
}

/** Sends the loads for the duration, then waits for the last request. */
export async function runLoads(
  loads: readonly PartnerLoad[],
  durationMs: Millis,
  clock: Clock,
  random: Random,
  send: (partner: PartnerId) => Promise<LoadOutcome>,
): Promise<ReadonlyMap<PartnerId, LoadStatistics>> {
  const figures = new Map<PartnerId, LoadStatistics>();
  await Promise.all(
    loads.map(async ({partner, perSecond}) => {
      const own: LoadStatistics = {
        counts: {answered: 0, late: 0, refused: 0},
        times: build(),
      };
      figures.set(partner, own);
      const open: Promise<void>[] = [];
      const start = clock.getTime();
      let next = start;
      while (next < start + durationMs) {
        // Timers are late; the schedule keeps the rate.
        if (next > clock.getTime()) await clock.sleep(next - clock.getTime());
        open.push(recordRequest(own, partner, clock, send));
        next += (-Math.log(1 - random()) * 1000) / perSecond;
      }
      await Promise.all(open);
    }),
  );
  return figures;
}

async function recordRequest(
  {counts, times}: LoadStatistics,
  partner: PartnerId,
  clock: Clock,
  send: (partner: PartnerId) => Promise<LoadOutcome>,
): Promise<void> {
  const start = clock.getTime();
  const outcome = await send(partner);
  counts[outcome] += 1;
  if (outcome !== 'answered') return;
  times.recordValue(Math.round((clock.getTime() - start) * 100));
}

/** A quantile of the answered requests in ms. */
export function getPercentile(
  {times}: LoadStatistics,
  percent: number,
): Millis {
  return times.getValueAtPercentile(percent) / 100;
}

/** Prints rows under a head, aligned. */
export function printTable(
  title: string,
  head: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): void {
  const texts = [head, ...rows].map(row =>
    row.map(cell => (typeof cell === 'number' ? cell.toFixed(1) : cell)),
  );
  const widths = head.map((_, column) =>
    Math.max(...texts.map(row => row[column].length)),
  );
  console.log(`\n${title}`);
  for (const row of texts) {
    console.log(
      row.map((cell, column) => cell.padEnd(widths[column])).join('  '),
    );
  }
}
