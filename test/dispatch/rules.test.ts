import test from 'ava';
import {
  asId,
  DataCentreId,
  makeRandom,
  NodeId,
  RouteId,
  ServiceId,
} from '../../src/base/index.js';
import {
  computeRetryAfter,
  GuardView,
  isWaitTooLong,
  rankGuards,
  WindowedRetryBudget,
  FaultEstimator,
  WeightedRoundRobin,
  RunDurationEstimator,
} from '../../src/dispatch/index.js';

const here = asId<DataCentreId>('here');
const there = asId<DataCentreId>('there');

function makeGuard(name: string, changes: Partial<GuardView> = {}): GuardView {
  return {
    node: asId<NodeId>(name),
    dataCentre: here,
    verdict: 'sound',
    slots: 4,
    freeSlots: 4,
    queuedRequests: 0,
    slotsAgeMs: 0,
    unansweredMs: 0,
    replyTimeMs: 1,
    ...changes,
  };
}

function rank(guards: readonly GuardView[], isIdempotent = true) {
  return rankGuards(guards, here, isIdempotent, makeRandom(1)).map(String);
}

test('a guard that does not reply is asked last, wherever it is', t => {
  const order = rank([
    makeGuard('silent', {unansweredMs: 400}),
    makeGuard('far', {dataCentre: there}),
  ]);
  t.deepEqual(order, ['far', 'silent']);
});

test('the own data centre goes first, then the guard with more free slots', t => {
  const order = rank([
    makeGuard('far', {dataCentre: there}),
    makeGuard('full', {freeSlots: 0}),
    makeGuard('free'),
  ]);
  t.deepEqual(order, ['free', 'full', 'far']);
});

test('work that must not be repeated avoids a doubtful server in the own data centre', t => {
  const order = rank(
    [
      makeGuard('doubtful', {verdict: 'doubtful'}),
      makeGuard('far', {dataCentre: there}),
    ],
    false,
  );
  t.deepEqual(order, ['far', 'doubtful']);
});

/** Runs under way, one for each chance that a normal run lasts as long; the oldest first, 100 ms apart. */
function makeRunning(startedAt: number, ...survivals: readonly number[]) {
  return survivals.map((survivalProbability, index) => ({
    startedAt: startedAt + index * 100,
    survivalProbability: survivalProbability,
  }));
}

/** A judge that has seen ten good runs, one each 100 ms until 1000. */
function makeSoundJudge(): FaultEstimator {
  const judge = new FaultEstimator();
  for (let at = 100; at <= 1000; at += 100) {
    judge.recordEnd('success', at - 100, at);
  }
  return judge;
}

test('runs that hang make a server doubtful and then suspended before any of them ends', t => {
  const judge = makeSoundJudge();
  const early = makeRunning(1000, 0.9, 0.95, 1);
  t.is(judge.getVerdict(early, 1300), 'sound');
  const later = makeRunning(1000, 0.25, 0.4, 0.7);
  t.is(judge.getVerdict(later, 1700), 'doubtful');
  const hung = makeRunning(1000, 0.03, 0.06, 0.15, 0.35);
  t.is(judge.getVerdict(hung, 2000), 'suspended');
});

test('one long run among good ones leaves a server sound', t => {
  const judge = makeSoundJudge();
  const long = [{startedAt: 100, survivalProbability: 0.01}];
  t.is(judge.getVerdict(long, 1050), 'sound');
});

test('a suspended server gets one trial at a time, of work that may be repeated', t => {
  const judge = makeSoundJudge();
  judge.recordStart(1000);
  t.false(judge.canRun('suspended', true, 0, 1200));
  t.true(judge.canRun('suspended', true, 0, 1500));
  t.false(judge.canRun('suspended', false, 0, 1500));
  t.true(judge.canRun('suspended', false, 0, 4000));
  t.false(judge.canRun('doubtful', false, 1, 1500));
  t.true(judge.canRun('doubtful', true, 1, 1500));
});

test('good trials bring a suspended server back, and so does time', t => {
  const judge = makeSoundJudge();
  for (let at = 1000; at < 1500; at += 100) judge.recordEnd('broken', at, at);
  t.is(judge.getVerdict([], 1500), 'suspended');
  for (let at = 2000; at < 2500; at += 100) {
    judge.recordEnd('success', at - 50, at);
  }
  t.is(judge.getVerdict([], 2500), 'sound');
  for (let at = 3000; at < 3500; at += 100) judge.recordEnd('broken', at, at);
  t.is(judge.getVerdict([], 3500), 'suspended');
  t.is(judge.getVerdict([], 12_000), 'sound');
});

test('repeats stay within the ratio and the extra of a sliding window', t => {
  const limits = {ratio: 0.2, windowMs: 10_000, extra: 2};
  const budget = new WindowedRetryBudget();
  for (let run = 0; run < 10; run += 1) budget.recordFirstAttempt(0, limits);
  let repeats = 0;
  while (budget.hasRetry(100, limits)) {
    budget.recordRetry(100, limits);
    repeats += 1;
  }
  t.is(repeats, 4);
  t.true(budget.hasRetry(20_000, limits));
});

test('a split route keeps its weights within one request', t => {
  const split = new WeightedRoundRobin(makeRandom(3));
  const shares = [
    {service: asId<ServiceId>('a'), weight: 90},
    {service: asId<ServiceId>('b'), weight: 10},
  ];
  let toB = 0;
  for (let request = 0; request < 100; request += 1) {
    if (split.choose(asId<RouteId>('r'), shares) === 'b') toB += 1;
  }
  t.true(toB >= 9 && toB <= 11, String(toB));
});

test('the first choices of many nodes keep the weights too', t => {
  const random = makeRandom(5);
  const shares = [
    {service: asId<ServiceId>('a'), weight: 75},
    {service: asId<ServiceId>('b'), weight: 25},
  ];
  let toB = 0;
  for (let node = 0; node < 1000; node += 1) {
    const split = new WeightedRoundRobin(random);
    if (split.choose(asId<RouteId>('r'), shares) === 'b') toB += 1;
  }
  t.true(toB > 200 && toB < 300, String(toB));
});

test('the expected time follows the runs, and a steady route is overdue soon', t => {
  const times = new RunDurationEstimator();
  const route = asId<RouteId>('r');
  for (let run = 0; run < 200; run += 1) times.record(route, 1500, 100);
  t.true(Math.abs(times.getMean(route, 1500) - 100) < 1);
  t.true(times.getOverdueThreshold(route, 1500) < 200);
  t.true(times.getSurvivalProbability(route, 1500, 50, 100) > 0.95);
  t.true(times.getSurvivalProbability(route, 1500, 200, 100) < 0.05);
});

test('a wait that leaves no time to run is hopeless, and callers return spread out', t => {
  t.true(isWaitTooLong(900, 200, 1000));
  t.false(isWaitTooLong(700, 200, 1000));
  const random = makeRandom(1);
  const times = Array.from({length: 50}, () => computeRetryAfter(1000, random));
  t.true(Math.min(...times) >= 500 && Math.max(...times) <= 1500);
  t.true(new Set(times).size > 25);
});
