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

test('a guard that does not reply is ranked last, even in the own data centre', t => {
  const order = rank([
    makeGuard('silent', {unansweredMs: 400}),
    makeGuard('far', {dataCentre: there}),
  ]);
  t.deepEqual(order, ['far', 'silent']);
});

test('guards of the own data centre are ranked first, then those with more free slots', t => {
  const order = rank([
    makeGuard('far', {dataCentre: there}),
    makeGuard('full', {freeSlots: 0}),
    makeGuard('free'),
  ]);
  t.deepEqual(order, ['free', 'full', 'far']);
});

test('non-idempotent requests avoid a doubtful server in the own data centre', t => {
  const order = rank(
    [
      makeGuard('doubtful', {verdict: 'doubtful'}),
      makeGuard('far', {dataCentre: there}),
    ],
    false,
  );
  t.deepEqual(order, ['far', 'doubtful']);
});

/** Runs in progress with these survival probabilities, started 100 ms apart, oldest first. */
function makeRunning(startedAt: number, ...survivals: readonly number[]) {
  return survivals.map((survivalProbability, index) => ({
    startedAt: startedAt + index * 100,
    survivalProbability,
  }));
}

/** An estimator after ten successful runs, one every 100 ms until 1000 ms. */
function makeSoundEstimator(): FaultEstimator {
  const estimator = new FaultEstimator();
  for (let at = 100; at <= 1000; at += 100) {
    estimator.recordEnd('success', at - 100, at);
  }
  return estimator;
}

test('hanging runs make a server doubtful and then suspended before any of them ends', t => {
  const estimator = makeSoundEstimator();
  const early = makeRunning(1000, 0.9, 0.95, 1);
  t.is(estimator.getVerdict(early, 1300), 'sound');
  const later = makeRunning(1000, 0.25, 0.4, 0.7);
  t.is(estimator.getVerdict(later, 1700), 'doubtful');
  const hung = makeRunning(1000, 0.03, 0.06, 0.15, 0.35);
  t.is(estimator.getVerdict(hung, 2000), 'suspended');
});

test('one long run among successful ones leaves a server sound', t => {
  const estimator = makeSoundEstimator();
  const long = [{startedAt: 100, survivalProbability: 0.01}];
  t.is(estimator.getVerdict(long, 1050), 'sound');
});

test('a suspended server gets one trial per interval, preferably an idempotent request', t => {
  const estimator = makeSoundEstimator();
  estimator.recordStart(1000);
  t.false(estimator.canRun('suspended', true, 0, 1200));
  t.true(estimator.canRun('suspended', true, 0, 1500));
  t.false(estimator.canRun('suspended', false, 0, 1500));
  t.true(estimator.canRun('suspended', false, 0, 4000));
  t.false(estimator.canRun('doubtful', false, 1, 1500));
  t.true(estimator.canRun('doubtful', true, 1, 1500));
});

test('a suspended server becomes sound again by successful trials or by time', t => {
  const estimator = makeSoundEstimator();
  for (let at = 1000; at < 1500; at += 100)
    estimator.recordEnd('broken', at, at);
  t.is(estimator.getVerdict([], 1500), 'suspended');
  for (let at = 2000; at < 2500; at += 100) {
    estimator.recordEnd('success', at - 50, at);
  }
  t.is(estimator.getVerdict([], 2500), 'sound');
  for (let at = 3000; at < 3500; at += 100)
    estimator.recordEnd('broken', at, at);
  t.is(estimator.getVerdict([], 3500), 'suspended');
  t.is(estimator.getVerdict([], 12_000), 'sound');
});

test('after an early error a server that is not sound runs nothing for a while', t => {
  const estimator = makeSoundEstimator();
  estimator.recordEnd('early-error', 1000, 1002);
  estimator.recordEnd('early-error', 1100, 1102);
  t.is(estimator.getVerdict([], 1102), 'suspended');
  t.false(estimator.canRun('suspended', true, 0, 1600));
  t.false(estimator.canRun('doubtful', true, 0, 1600));
  t.true(estimator.canRun('suspended', true, 0, 1800));
  estimator.recordStart(1800);
  t.false(estimator.canRun('suspended', true, 1, 1900));
  t.true(estimator.canRun('suspended', true, 1, 2000));
  t.false(estimator.canRun('suspended', false, 1, 2000));
});

test('runs that hung during a fault say nothing about the time after it', t => {
  const estimator = makeSoundEstimator();
  const hung = makeRunning(1000, 0.01, 0.01, 0.01, 0.01, 0.01);
  t.is(estimator.getVerdict(hung, 2000), 'suspended');
  t.not(estimator.getVerdict(hung, 3500), 'suspended');
  for (const {startedAt} of hung) {
    estimator.recordEnd('overdue', startedAt, startedAt + 5000);
  }
  const beforeTrials = estimator.getVerdict([], 6400);
  t.not(beforeTrials, 'suspended');
  estimator.recordEnd('success', 6400, 6600);
  t.is(estimator.getVerdict([], 6600), 'sound');
});

test('late errors, which failed calls explain, do not suspend a server among successes', t => {
  const estimator = makeSoundEstimator();
  for (let at = 1000; at < 2000; at += 200) {
    estimator.recordEnd('late-error', at - 100, at);
    estimator.recordEnd('success', at, at + 100);
  }
  t.is(estimator.getVerdict([], 2000), 'sound');
});

test('a fault that was seen a few seconds ago is still likely', t => {
  const estimator = makeSoundEstimator();
  for (let at = 1000; at < 1300; at += 100)
    estimator.recordEnd('early-error', at, at);
  t.not(estimator.getVerdict([], 4000), 'sound');
});

test('retries stay within the ratio plus the extra of a sliding window', t => {
  const limits = {ratio: 0.2, windowMs: 10_000, extra: 2};
  const budget = new WindowedRetryBudget();
  for (let run = 0; run < 10; run += 1) budget.recordFirstAttempt(0, limits);
  let retries = 0;
  while (budget.hasRetry(100, limits)) {
    budget.recordRetry(100, limits);
    retries += 1;
  }
  t.is(retries, 4);
  t.true(budget.hasRetry(20_000, limits));
});

test('weighted round robin keeps the weights of a route to within one request', t => {
  const roundRobin = new WeightedRoundRobin(makeRandom(3));
  const shares = [
    {service: asId<ServiceId>('a'), weight: 90},
    {service: asId<ServiceId>('b'), weight: 10},
  ];
  let chosenB = 0;
  for (let request = 0; request < 100; request += 1) {
    if (roundRobin.choose(asId<RouteId>('r'), shares) === 'b') chosenB += 1;
  }
  t.true(chosenB >= 9 && chosenB <= 11, String(chosenB));
});

test('the first choices of many nodes follow the weights', t => {
  const random = makeRandom(5);
  const shares = [
    {service: asId<ServiceId>('a'), weight: 75},
    {service: asId<ServiceId>('b'), weight: 25},
  ];
  let chosenB = 0;
  for (let node = 0; node < 1000; node += 1) {
    const roundRobin = new WeightedRoundRobin(random);
    if (roundRobin.choose(asId<RouteId>('r'), shares) === 'b') chosenB += 1;
  }
  t.true(chosenB > 200 && chosenB < 300, String(chosenB));
});

test('the expected duration follows the runs, and a route with a steady duration has a low overdue threshold', t => {
  const durations = new RunDurationEstimator();
  const route = asId<RouteId>('r');
  for (let run = 0; run < 200; run += 1) durations.record(route, 1500, 100);
  t.true(Math.abs(durations.getMean(route, 1500) - 100) < 1);
  t.true(durations.getOverdueThreshold(route, 1500) < 200);
  t.true(durations.getSurvivalProbability(route, 1500, 50, 100) > 0.95);
  t.true(durations.getSurvivalProbability(route, 1500, 200, 100) < 0.05);
});

test('a wait that leaves no time for the run is too long, and the retries of callers are spread out', t => {
  t.true(isWaitTooLong(900, 200, 1000));
  t.false(isWaitTooLong(700, 200, 1000));
  const random = makeRandom(1);
  const times = Array.from({length: 50}, () => computeRetryAfter(1000, random));
  t.true(Math.min(...times) >= 500 && Math.max(...times) <= 1500);
  t.true(new Set(times).size > 25);
});
