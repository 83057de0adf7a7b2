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

// Measures admission under overload with the real slot table, attempts and timers; only backend servers are
// replaced by timers. Arguments: seconds of each run (default 8), seed (default 1).

const seconds = Number(process.argv[2] ?? 8);
const seed = Number(process.argv[3] ?? 1);
const clock: Clock = systemClock;
const never = new AbortController().signal;
setMaxListeners(0, never);
const workMs: Millis = 20;
const a = asId<PartnerId>('partner-a');
const b = asId<PartnerId>('partner-b');

interface TableRules {
  readonly slots: number;
  readonly maxQueue: number;
  readonly kind: 'fifo' | 'fair' | 'fair-early';
}

function makeTable({slots, maxQueue, kind}: TableRules): AdmissionController {
  if (kind === 'fifo') return new FifoLimiter(slots, maxQueue, clock);
  const policy = {
    maxQueue,
    getWeight: () => 1,
    refuseEarly: kind === 'fair-early',
  };
  return new SlotLimiter(slots, () => policy, clock);
}

/** Runs one request at a table; the exchange is cut at its deadline as the guard does. */
async function runAtTable(
  table: AdmissionController,
  partner: PartnerId,
  deadline: Millis,
  random: Random,
): Promise<LoadOutcome> {
  const admitted = await table.admit(partner, deadline, never);
  if (E.isLeft(admitted)) {
    return admitted.left === 'deadline' ? 'late' : 'refused';
  }
  const work = pickWorkMs(workMs, random);
  const remaining = deadline - clock.getTime();
  await clock.sleep(Math.min(work, remaining));
  admitted.right.release();
  return work <= remaining ? 'answered' : 'late';
}

async function measureFairness(slots: number): Promise<void> {
  const share = ((slots / workMs) * 1000) / 2;
  const calm = {partner: b, perSecond: share * 0.4};
  const burst = {partner: a, perSecond: share * 10};
  const rows: (string | number)[][] = [];
  for (const [name, kind, loads] of [
    ['B alone', 'fair-early', [calm]],
    ['FIFO', 'fifo', [calm, burst]],
    ['fair queue', 'fair-early', [calm, burst]],
  ] as const) {
    const random = makeRandom(seed);
    const table = makeTable({slots, maxQueue: 16, kind});
    const figures = await runLoads(
      loads,
      seconds * 1000,
      clock,
      random,
      partner => runAtTable(table, partner, clock.getTime() + 5000, random),
    );
    const own = figures.get(b);
    if (!own) continue;
    const other = figures.get(a);
    rows.push([
      name,
      ...[50, 99, 100].map(percent => getPercentile(own, percent)),
      formatShare(own, 'answered'),
      other ? formatShare(other, 'answered') : '-',
    ]);
  }
  printTable(
    `Partner A sends 10 times its share, B 0.4 times; ${slots} slots, answers of 10 to 30 ms, queue of 16`,
    ['queue', 'B p50', 'B p99', 'B max', 'B answered', 'A answered'],
    rows,
  );
}

function formatShare({counts}: LoadStatistics, kind: LoadOutcome): string {
  const all = counts.answered + counts.late + counts.refused;
  return `${((100 * counts[kind]) / Math.max(1, all)).toFixed(1)}%`;
}

const service: Service = {
  id: asId<ServiceId>('lookup-desk'),
  floor: 1,
  rule: presets.prompt,
  timeoutMs: 5000,
  stallMs: 2000,
  queuePerServer: 16,
};

function makeJudged(index: number, slots: number): ServerWithVerdict {
  const report = {
    server: asId<BackendServerId>(`s${index}`),
    service: service.id,
    pool: 'p',
    incarnation: 1,
    slots,
    phase: 'ready' as const,
    health: {kind: 'healthy' as const},
    typicalMs: workMs,
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

interface FleetRules extends TableRules {
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

const servers = 9;
const entries = 3;

/** Sends through several entries to the tables of 9 servers; gives the share of capacity that was good. */
async function measureFleet(name: string, rules: FleetRules, overload: number) {
  const random = makeRandom(seed);
  const tables = Array.from({length: servers}, () => makeTable(rules));
  const judged = tables.map((_, index) => makeJudged(index, rules.slots));
  let calls = 0;
  const send = async (
    {known}: ServerWithVerdict,
    deadline: Millis,
  ): Promise<GuardResult> => {
    calls += 1;
    const table = tables[Number(known.report.server.slice(1))];
    const outcome = await runAtTable(table, b, deadline, random);
    const load = table instanceof SlotLimiter ? table.getLoad() : undefined;
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
  const attempts = Array.from(
    {length: entries},
    () =>
      new AttemptRunner(
        () => judged,
        clock,
        random,
        rules.budget === 'none' ? new UnlimitedBudgets(clock) : undefined,
      ),
  );
  const capacity = ((servers * rules.slots) / workMs) * 1000;
  const perSecond = capacity * overload;
  const figures = await runLoads(
    [{partner: b, perSecond}],
    seconds * 1000,
    clock,
    random,
    async () => {
      const deadline = clock.getTime() + rules.deadlineMs;
      const entry = attempts[Math.floor(random() * entries)];
      const outcome = await entry.run({
        service,
        deadline,
        signal: never,
        isIdempotent: true,
        canResendBody: () => true,
        send: server => send(server, deadline),
        onServerChoice: () => undefined,
      });
      if (outcome.kind === 'answered') return 'answered';
      const isLate =
        outcome.kind === 'refused' && outcome.error.kind === 'deadline';
      return isLate ? 'late' : 'refused';
    },
  );
  const own = figures.get(b);
  if (!own) throw new Error('no figures');
  const {answered, late, refused} = own.counts;
  const good = (100 * answered) / seconds / capacity;
  return [
    name,
    `${good.toFixed(1)}%`,
    getPercentile(own, 50),
    getPercentile(own, 99),
    formatShare(own, 'refused'),
    formatShare(own, 'late'),
    (calls / (answered + late + refused)).toFixed(3),
  ];
}

async function measureOverload(overload: number): Promise<void> {
  const base = {slots: 3, maxQueue: 16, deadlineMs: 100} as const;
  const variants: readonly [string, FleetRules][] = [
    ['FIFO', {...base, kind: 'fifo'}],
    ['fair', {...base, kind: 'fair'}],
    ['fair, early refusal', {...base, kind: 'fair-early'}],
    ['shed, no queue', {...base, kind: 'fair-early', maxQueue: 0}],
  ];
  const rows: (string | number)[][] = [];
  for (const [name, rules] of variants) {
    rows.push(await measureFleet(name, rules, overload));
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
    const rules = {slots: 3, maxQueue: 16, deadlineMs: 5000, budget} as const;
    rows.push(await measureFleet(name, {...rules, kind: 'fair-early'}, 2));
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
