import test from 'ava';
import {makeRandom} from '../../src/base/index.js';
import {ThresholdDetector} from '../../src/bench/detectors.js';
import {makeFaultyAnswer} from '../../src/bench/workload.js';
import {presets} from '../../src/config/index.js';
import {
  advanceHealth,
  resetEjectionBackoff,
  ejectServer,
  makeStartupHealth,
  Observation,
  applyObservation,
  reportHealth,
  ServerHealth,
  initialHealth,
} from '../../src/health/index.js';

const rule = presets.careful;
const baselineMs = 20;

function observeAll(
  observations: readonly Observation[],
  health: ServerHealth = initialHealth,
): ServerHealth {
  return observations.reduce(
    (state, next) => applyObservation(state, rule, baselineMs, next),
    health,
  );
}

/** Observations at equal intervals. */
function makeSeries(
  count: number,
  gapMs: number,
  make: (atMs: number, index: number) => Observation,
): Observation[] {
  return Array.from({length: count}, (_, index) =>
    make((index + 1) * gapMs, index),
  );
}

function makeAnswer(atMs: number, ok: boolean, tookMs = 20): Observation {
  return {kind: 'answer', atMs, ok, tookMs};
}

function isEjectedByThreshold(observations: readonly Observation[]): boolean {
  const plain = new ThresholdDetector();
  return observations.some(next => {
    plain.observe(next);
    return plain.report(next.atMs).kind === 'ejected';
  });
}

// Guards against missing a server that fails every other request and therefore never five in a row.
test('a server that fails half of its answers is ejected within seconds', t => {
  const observations = makeSeries(28, 140, (atMs, i) =>
    makeAnswer(atMs, i % 2 === 0),
  );
  t.false(isEjectedByThreshold(observations));
  t.like(observeAll(observations).state, {kind: 'ejected', reason: 'failing'});
});

// Guards against missing slowness that stays below a fixed limit.
test('a server three times slower than its service is ejected', t => {
  const random = makeRandom(7);
  const observations = makeSeries(120, 140, (atMs, i) =>
    i < 20
      ? makeAnswer(atMs, true)
      : makeFaultyAnswer('slow 3x', baselineMs, atMs, random),
  );
  t.false(isEjectedByThreshold(observations));
  t.like(observeAll(observations).state, {kind: 'ejected', reason: 'slow'});
});

// Guards against missing a slow server whose callers give up before any answer arrives.
test('answers that callers did not wait for count as slow', t => {
  const abandoned = makeSeries(15, 140, atMs => ({
    kind: 'unfinished',
    atMs,
    tookMs: 900,
  }));
  t.false(isEjectedByThreshold(abandoned));
  t.like(observeAll(abandoned).state, {kind: 'ejected', reason: 'slow'});
});

// Guards against ejecting healthy servers because of one caller that sets very short deadlines or disconnects at once.
test('timeouts below the slow limit are no evidence against the server', t => {
  const shortTimeouts = makeSeries(100, 140, (atMs, i) => ({
    kind: i % 2 ? 'timeout' : 'unfinished',
    atMs,
    tookMs: 5,
  }));
  t.true(
    isEjectedByThreshold(
      shortTimeouts.filter(observation => observation.kind === 'timeout'),
    ),
  );
  t.is(observeAll(shortTimeouts).state.kind, 'healthy');
});

// Guards against ejecting a server for one pause of its process, after which all delayed answers arrive at once.
test('ten slow answers within 300 ms do not eject', t => {
  const late = makeSeries(10, 30, atMs => makeAnswer(atMs, true, 3000));
  t.true(isEjectedByThreshold(late));
  t.is(observeAll(late).state.kind, 'healthy');
});

// Guards against counting shed requests as good answers, which would hide failures, or as failures.
test('shed requests neither eject a server nor dilute its failures', t => {
  const sheds = makeSeries(100, 100, atMs => ({kind: 'reached', atMs}));
  t.is(observeAll(sheds).state.kind, 'healthy');
  const mixed = makeSeries(60, 100, (atMs, i) =>
    i % 6 === 0 ? makeAnswer(atMs, false) : {kind: 'reached', atMs},
  );
  t.is(observeAll(mixed).state.kind, 'ejected');
});

// Guards against a flapping server that returns with full weight each time.
test('ejections double with each relapse up to the maximum, and a long healthy period resets them', t => {
  let health = initialHealth;
  let nowMs = 0;
  const lengths: number[] = [];
  for (let i = 0; i < 7; i += 1) {
    health = ejectServer(health, rule, 'failing', nowMs);
    if (health.state.kind !== 'ejected') return t.fail();
    lengths.push((health.state.untilMs - nowMs) / 1000);
    nowMs = health.state.untilMs;
    health = advanceHealth(health, rule, nowMs);
    t.is(health.state.kind, 'probation');
  }
  t.deepEqual(lengths, [10, 20, 40, 80, 160, 300, 300]);
  health = advanceHealth(health, rule, (nowMs += 3 * rule.probationMs));
  t.is(health.state.kind, 'healthy');
  t.is(advanceHealth(health, rule, nowMs + rule.maxEjectMs).relapses, 7);
  t.is(advanceHealth(health, rule, nowMs + 2 * rule.maxEjectMs).relapses, 0);
});

// Guards against a faulty server failing a full share of the requests again after each ejection.
test('in probation the share rises and half of the threshold ejects', t => {
  const ejected = ejectServer(initialHealth, rule, 'failing', 0);
  const inProbation = advanceHealth(ejected, rule, 10_000);
  const shares = [0, 5000, 10_000, 20_000].map(ageMs =>
    reportHealth(inProbation, rule, 10_000 + ageMs),
  );
  t.deepEqual(
    shares.map(report => report.kind === 'probation' && report.share),
    [0.1, 0.3, 0.5, 1],
  );
  const relapse = makeSeries(3, 600, atMs => makeAnswer(10_000 + atMs, false));
  t.is(observeAll(relapse, initialHealth).state.kind, 'healthy');
  t.is(observeAll(relapse, inProbation).state.kind, 'ejected');
});

// Guards against an idle server staying in probation forever, and against counting answers from before the ejection.
test('probation ends even without answers; late answers to requests from before the ejection do not count', t => {
  const ejected = ejectServer(initialHealth, rule, 'failing', 0);
  const late = observeAll(
    makeSeries(20, 100, atMs => makeAnswer(atMs, false)),
    ejected,
  );
  const inProbation = advanceHealth(late, rule, 10_000);
  t.is(inProbation.failureCusum.nats, 0);
  t.is(advanceHealth(inProbation, rule, 69_999).state.kind, 'probation');
  t.is(advanceHealth(inProbation, rule, 70_000).state.kind, 'healthy');
});

// Guards against ejecting a server for being slow while its caches fill.
test('slow answers after a cold start do not count, failures do', t => {
  const cold = makeStartupHealth(0);
  const slow = makeSeries(60, 140, atMs => makeAnswer(atMs, true, 500));
  t.is(observeAll(slow, cold).state.kind, 'probation');
  const wrong = makeSeries(20, 140, atMs => makeAnswer(atMs, false));
  t.is(observeAll(wrong, cold).state.kind, 'ejected');
});

// Guards against successful probes ending an ejection early, and against probation of an unreachable server.
test('two refused connections eject a server; probation needs the end of the ejection and a connection', t => {
  const refuse = (atMs: number): Observation => ({
    kind: 'connect-failed',
    atMs,
  });
  const unreachable = observeAll([refuse(100), refuse(200)]);
  t.like(unreachable.state, {kind: 'ejected', reason: 'unreachable'});
  t.is(advanceHealth(unreachable, rule, 60_000).state.kind, 'ejected');
  const reached = observeAll([{kind: 'reached', atMs: 5000}], unreachable);
  t.is(reached.state.kind, 'ejected');
  t.is(advanceHealth(reached, rule, 10_200).state.kind, 'probation');
});

// Guards against ejections of several minutes after the outage of a shared dependency.
test('an ejection with a common cause lasts only as long as a first one', t => {
  let health = initialHealth;
  for (let i = 0; i < 6; i += 1) {
    health = ejectServer(health, rule, 'failing', 1000);
  }
  t.like(resetEjectionBackoff(health, rule), {
    relapses: 0,
    state: {untilMs: 1000 + rule.ejectMs},
  });
});

// Guards against ejecting one server after the other at low request rates when the whole service becomes slower.
test('the typical duration follows a lasting change within 12 answers and ignores an outlier', t => {
  const usual = makeSeries(20, 100, (atMs, i) =>
    makeAnswer(atMs, true, i % 2 ? 19 : 21),
  );
  const before = observeAll(usual);
  const outlier = observeAll([makeAnswer(3000, true, 5000)], before);
  t.true(outlier.typicalMs / before.typicalMs < 1.1);
  const slow = makeSeries(12, 100, atMs => makeAnswer(3000 + atMs, true, 100));
  t.true(observeAll(slow, before).typicalMs > 80);
});
