import {setMaxListeners} from 'node:events';
import * as E from 'fp-ts/lib/Either.js';
import {Readable} from 'node:stream';
import {
  asId,
  BackendServerId,
  Clock,
  DataCentreId,
  makeRandom,
  Millis,
  NodeId,
  PartnerId,
  Random,
  RegionId,
  ServiceId,
  systemClock,
} from '../base/index.js';
import {presets, Service} from '../config/index.js';
import {AttemptRunner, RetryBudget, RetryBudgets} from '../entry/index.js';
import {GuardResult, SlotLimiter} from '../guard/index.js';
import {ServerWithVerdict} from '../health/index.js';
import {
  AdmissionController,
  FifoLimiter,
  getPercentile,
  LoadStatistics,
  LoadOutcome,
  pickWorkMs,
  printTable,
  runLoads,
} from './admission_load.js';

// Measures admission under overload with the real slot limiter and attempt runner in real time. Timers take the place of
// the backend servers. Arguments: seconds of each run (default 8), seed (default 1).

const seconds = Number(process.argv[2] ?? 8);
const seed = Number(process.argv[3] ?? 1);
const clock: Clock = systemClock;
const neverAborted = new AbortController().signal;
setMaxListeners(0, neverAborted);
const meanWorkMs: Millis = 20;
const partnerA = asId<PartnerId>('partner-a');
const partnerB = asId<PartnerId>('partner-b');

interface LimiterOptions {
  readonly slots: number;
  readonly maxQueue: number;
  readonly kind: 'fifo' | 'fair' | 'fair-early';
}

function makeLimiter({
  slots,
  maxQueue,
  kind,
}: LimiterOptions): AdmissionController {
  if (kind === 'fifo') return new FifoLimiter(slots, maxQueue, clock);
  const policy = {
    maxQueue,
    getWeight: () => 1,
    refuseEarly: kind === 'fair-early',
  };
  return new SlotLimiter(slots, () => policy, clock);
}

/** Runs one request through a limiter. The exchange is aborted at its deadline, as in the guard. */
async function runThroughLimiter(
  limiter: AdmissionController,
  partner: PartnerId,
  deadline: Millis,
  random: Random,
): Promise<LoadOutcome> {
  const admitted = await limiter.admit(partner, deadline, neverAborted);
  if (E.isLeft(admitted)) {
    return admitted.left === 'deadline' ? 'late' : 'refused';
  }
  const work = pickWorkMs(meanWorkMs, random);
  const remaining = deadline - clock.getTime();
  await clock.sleep(Math.min(work, remaining));
  admitted.right.release();
  return work <= remaining ? 'answered' : 'late';
}

async function measureFairness(slots: number): Promise<void> {
  // Half of the capacity, since there are two partners of equal weight.
  const fairSharePerSecond = ((slots / meanWorkMs) * 1000) / 2;
  const steadyLoad = {partner: partnerB, perSecond: fairSharePerSecond * 0.4};
  const burstLoad = {partner: partnerA, perSecond: fairSharePerSecond * 10};
  const rows: (string | number)[][] = [];
  for (const [name, kind, loads] of [
    ['B alone', 'fair-early', [steadyLoad]],
    ['FIFO', 'fifo', [steadyLoad, burstLoad]],
    ['fair queue', 'fair-early', [steadyLoad, burstLoad]],
  ] as const) {
    const random = makeRandom(seed);
    const limiter = makeLimiter({slots, maxQueue: 16, kind});
    const figures = await runLoads(
      loads,
      seconds * 1000,
      clock,
      random,
      partner =>
        runThroughLimiter(limiter, partner, clock.getTime() + 5000, random),
    );
    const statisticsB = figures.get(partnerB);
    if (!statisticsB) continue;
    const statisticsA = figures.get(partnerA);
    rows.push([
      name,
      ...[50, 99, 100].map(percent => getPercentile(statisticsB, percent)),
      formatShare(statisticsB, 'answered'),
      statisticsA ? formatShare(statisticsA, 'answered') : '-',
    ]);
  }
  printTable(
    `Partner A sends 10 times its share, B 0.4 times; ${slots} slots, answers of 10 to 30 ms, queue of 16`,
    ['queue', 'B p50', 'B p99', 'B max', 'B answered', 'A answered'],
    rows,
  );
}

function formatShare({counts}: LoadStatistics, kind: LoadOutcome): string {
  const total = counts.answered + counts.late + counts.refused;
  return `${((100 * counts[kind]) / Math.max(1, total)).toFixed(1)}%`;
}

const service: Service = {
  id: asId<ServiceId>('lookup-desk'),
  floor: 1,
  rule: presets.prompt,
  timeoutMs: 5000,
  stallMs: 2000,
  queuePerServer: 16,
};

function makeServerWithVerdict(
  index: number,
  slots: number,
): ServerWithVerdict {
  const report = {
    server: asId<BackendServerId>(`s${index}`),
    service: service.id,
    pool: 'p',
    incarnation: 1,
    slots,
    phase: 'ready' as const,
    health: {kind: 'healthy' as const},
    typicalMs: meanWorkMs,
  };
  const record = {
    node: asId<NodeId>(`n${index}`),
    incarnation: 1,
    version: 1,
    dataCentre: asId<DataCentreId>('tamworth'),
    region: asId<RegionId>('midlands'),
    peerAddress: '',
    dataAddress: '',
    adminAddress: '',
    state: 'serving' as const,
    configVersion: 1,
    servers: [report],
    suspicions: [],
  };
  return {known: {report, record}, verdict: {kind: 'usable', weight: 1}};
}

interface FleetOptions extends LimiterOptions {
  readonly budget?: 'none';
  readonly deadlineMs: Millis;
}

class UnlimitedBudget extends RetryBudget {
  override useRetry(): boolean {
    return true;
  }
}

class UnlimitedBudgets extends RetryBudgets {
  override get(): RetryBudget {
    return new UnlimitedBudget(clock);
  }
}

const serverCount = 9;
const entryCount = 3;

/** Sends requests through several entries to the limiters of 9 servers, and returns one row of the printed table. */
async function measureFleet(
  name: string,
  fleetOptions: FleetOptions,
  overload: number,
) {
  const random = makeRandom(seed);
  const limiters = Array.from({length: serverCount}, () =>
    makeLimiter(fleetOptions),
  );
  const candidates = limiters.map((_, index) =>
    makeServerWithVerdict(index, fleetOptions.slots),
  );
  let callCount = 0;
  const send = async (
    {known}: ServerWithVerdict,
    deadline: Millis,
  ): Promise<GuardResult> => {
    callCount += 1;
    const limiter = limiters[Number(known.report.server.slice(1))];
    const outcome = await runThroughLimiter(
      limiter,
      partnerB,
      deadline,
      random,
    );
    const load = limiter instanceof SlotLimiter ? limiter.getLoad() : undefined;
    if (outcome === 'refused') return {kind: 'refused', reason: 'busy', load};
    if (outcome === 'late') return {kind: 'failed', reason: 'timeout'};
    return {
      kind: 'answer',
      status: 200,
      headers: {},
      body: Readable.from([]),
      load,
    };
  };
  const runners = Array.from(
    {length: entryCount},
    () =>
      new AttemptRunner(
        () => candidates,
        clock,
        random,
        fleetOptions.budget === 'none'
          ? new UnlimitedBudgets(clock)
          : undefined,
      ),
  );
  const capacity = ((serverCount * fleetOptions.slots) / meanWorkMs) * 1000;
  const perSecond = capacity * overload;
  const figures = await runLoads(
    [{partner: partnerB, perSecond}],
    seconds * 1000,
    clock,
    random,
    async () => {
      const deadline = clock.getTime() + fleetOptions.deadlineMs;
      const runner = runners[Math.floor(random() * entryCount)];
      const outcome = await runner.run({
        service,
        deadline,
        signal: neverAborted,
        isIdempotent: true,
        canResendBody: () => true,
        sendToServer: server => send(server, deadline),
        onServerChoice: () => undefined,
      });
      if (outcome.kind === 'answered') return 'answered';
      const isLate =
        outcome.kind === 'refused' && outcome.error.kind === 'deadline';
      return isLate ? 'late' : 'refused';
    },
  );
  const statistics = figures.get(partnerB);
  if (!statistics) throw new Error('no statistics of partner B');
  const {answered, late, refused} = statistics.counts;
  const goodputPercent = (100 * answered) / seconds / capacity;
  return [
    name,
    `${goodputPercent.toFixed(1)}%`,
    getPercentile(statistics, 50),
    getPercentile(statistics, 99),
    formatShare(statistics, 'refused'),
    formatShare(statistics, 'late'),
    (callCount / (answered + late + refused)).toFixed(3),
  ];
}

async function measureOverload(overload: number): Promise<void> {
  const base = {slots: 3, maxQueue: 16, deadlineMs: 100} as const;
  const variants: readonly [string, FleetOptions][] = [
    ['FIFO', {...base, kind: 'fifo'}],
    ['fair', {...base, kind: 'fair'}],
    ['fair, early refusal', {...base, kind: 'fair-early'}],
    ['shed, no queue', {...base, kind: 'fair-early', maxQueue: 0}],
  ];
  const rows: (string | number)[][] = [];
  for (const [name, fleetOptions] of variants) {
    rows.push(await measureFleet(name, fleetOptions, overload));
  }
  printTable(
    `${overload} times the capacity of 9 servers with 3 slots, answers of 10 to 30 ms, deadline 100 ms, 3 entries`,
    ['admission', 'goodput', 'p50', 'p99', 'refused', 'late', 'calls/request'],
    rows,
  );
}

async function measureBudget(): Promise<void> {
  const rows: (string | number)[][] = [];
  for (const [name, budget] of [
    ['no budget', 'none'],
    ['retry budget', undefined],
  ] as const) {
    const fleetOptions = {
      slots: 3,
      maxQueue: 16,
      deadlineMs: 5000,
      budget,
    } as const;
    rows.push(
      await measureFleet(name, {...fleetOptions, kind: 'fair-early'}, 2),
    );
  }
  printTable(
    '2 times the capacity, deadline 5 s: calls to guards for each request of a caller',
    ['retries', 'goodput', 'p50', 'p99', 'refused', 'late', 'calls/request'],
    rows,
  );
}

console.log(`seed ${seed}, ${seconds} s a run`);
await measureFairness(5);
await measureFairness(3);
await measureOverload(2);
await measureOverload(0.9);
await measureBudget();
