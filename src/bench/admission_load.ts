import * as E from 'fp-ts/lib/Either.js';
import {build, Histogram} from 'hdr-histogram-js';
import {Clock, Millis, PartnerId, Random} from '../base/index.js';
import {RefusalReason, SlotLease} from '../guard/index.js';

/** The part of a slot limiter that the benchmarks use. */
export interface AdmissionController {
  admit(
    partner: PartnerId,
    deadline: Millis,
    signal: AbortSignal,
  ): Promise<E.Either<RefusalReason, SlotLease>>;
}

/** Limits a backend server to its slots, with one first-in-first-out queue for all partners: the baseline. */
export class FifoLimiter implements AdmissionController {
  private inUse = 0;
  private waiters: ((result: E.Either<RefusalReason, SlotLease>) => void)[] =
    [];

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
      const timeoutController = new AbortController();
      const endWait = (result: E.Either<RefusalReason, SlotLease>) => {
        this.waiters = this.waiters.filter(other => other !== endWait);
        timeoutController.abort();
        resolve(result);
      };
      this.waiters.push(endWait);
      void this.clock
        .sleep(deadline - this.clock.getTime(), timeoutController.signal)
        .then(() => {
          if (!timeoutController.signal.aborted) endWait(E.left('deadline'));
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

/** Requests of one partner: an open loop with exponentially distributed intervals. */
export interface PartnerLoad {
  readonly partner: PartnerId;
  readonly perSecond: number;
}

/** Outcome of one request. `late`: admitted or queued, but not answered. `refused`: not admitted. */
export type LoadOutcome = 'answered' | 'late' | 'refused';

/** Outcomes and response times of one partner's requests. */
export interface LoadStatistics {
  readonly counts: Record<LoadOutcome, number>;
  /** Response times of the requests answered within their deadline, in hundredths of a millisecond. */
  readonly times: Histogram;
}

/** Draws a response time, uniformly distributed from 0.5 to 1.5 times the mean. */
export function pickWorkMs(meanMs: Millis, random: Random): Millis {
  return meanMs * (0.5 + random());
}

/** Generates the loads for the duration, then waits until all requests have ended. */
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
      const statistics: LoadStatistics = {
        counts: {answered: 0, late: 0, refused: 0},
        times: build(),
      };
      figures.set(partner, statistics);
      const pending: Promise<void>[] = [];
      const start = clock.getTime();
      let nextSendMs = start;
      while (nextSendMs < start + durationMs) {
        // Timers fire late. Send times come from the schedule, so that the rate holds nevertheless.
        if (nextSendMs > clock.getTime())
          await clock.sleep(nextSendMs - clock.getTime());
        pending.push(recordRequest(statistics, partner, clock, send));
        nextSendMs += (-Math.log(1 - random()) * 1000) / perSecond;
      }
      await Promise.all(pending);
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

/** Returns a percentile of the response times of the answered requests, in ms. */
export function getPercentile(
  {times}: LoadStatistics,
  percent: number,
): Millis {
  return times.getValueAtPercentile(percent) / 100;
}

/** Prints a title, a header and rows in aligned columns. */
export function printTable(
  title: string,
  header: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): void {
  const cells = [header, ...rows].map(row =>
    row.map(cell => (typeof cell === 'number' ? cell.toFixed(1) : cell)),
  );
  const widths = header.map((_, column) =>
    Math.max(...cells.map(row => row[column].length)),
  );
  console.log(`\n${title}`);
  for (const row of cells) {
    console.log(
      row.map((cell, column) => cell.padEnd(widths[column])).join('  '),
    );
  }
}
