import test from 'ava';
import {makeRandom} from '../../src/base/index.js';
import {PlainDetector} from '../../src/bench/detectors.js';
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
  seen: readonly Observation[],
  health: ServerHealth = initialHealth,
): ServerHealth {
  return seen.reduce(
    (state, next) => applyObservation(state, rule, baselineMs, next),
    health,
  );
}

/** Observations at equal gaps. */
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

function isEjectedByPlain(seen: readonly Observation[]): boolean {
  const plain = new PlainDetector();
  return seen.some(next => {
    plain.observe(next);
    return plain.report(next.atMs).kind === 'ejected';
  });
}

// Guards against a server that fails every other request and so never five in a row.
test('a server that fails half of its answers is ejected within seconds', t => {
  const seen = makeSeries(28, 140, (atMs, i) => makeAnswer(atMs, i % 2 === 0));
  t.false(isEjectedByPlain(seen));
  t.like(observeAll(seen).state, {kind: 'ejected', reason: 'failing'});
});

// Guards against slowness that stays below any fixed limit.
test('a server three times slower than its service is ejected', t => {
  const random = makeRandom(7);
  const seen = makeSeries(120, 140, (atMs, i) =>
    i < 20
      ? makeAnswer(atMs, true)
      : makeFaultyAnswer('slow 3x', baselineMs, atMs, random),
  );
  t.false(isEjectedByPlain(seen));
  t.like(observeAll(seen).state, {kind: 'ejected', reason: 'slow'});
});

// Guards against slow servers whose callers give up first, so that no answer is ever seen.
test('answers that callers did not wait for count as slow', t => {
  const left = makeSeries(15, 140, atMs => ({
    kind: 'unfinished',
    atMs,
    tookMs: 900,
  }));
  t.false(isEjectedByPlain(left));
  t.like(observeAll(left).state, {kind: 'ejected', reason: 'slow'});
});

// Guards against one caller with hasty deadlines, or who hangs up at once, taking healthy servers out of use.
test('timeouts shorter than the slow limit say nothing of the server', t => {
  const hasty = makeSeries(100, 140, (atMs, i) => ({
    kind: i % 2 ? 'timeout' : 'unfinished',
    atMs,
    tookMs: 5,
  }));
  t.true(isEjectedByPlain(hasty.filter(seen => seen.kind === 'timeout')));
  t.is(observeAll(hasty).state.kind, 'healthy');
});

// Guards against one pause of the process ejecting a server: its late answers all come at once.
test('ten slow answers within 300 ms do not eject', t => {
  const late = makeSeries(10, 30, atMs => makeAnswer(atMs, true, 3000));
  t.true(isEjectedByPlain(late));
  t.is(observeAll(late).state.kind, 'healthy');
});

// Guards against sheds that hide failures as good answers, or count as failures themselves.
test('sheds neither eject nor dilute failures', t => {
  const sheds = makeSeries(100, 100, atMs => ({kind: 'reached', atMs}));
  t.is(observeAll(sheds).state.kind, 'healthy');
  const mixed = makeSeries(60, 100, (atMs, i) =>
    i % 6 === 0 ? makeAnswer(atMs, false) : {kind: 'reached', atMs},
  );
  t.is(observeAll(mixed).state.kind, 'ejected');
});

// Guards against a flapping server that returns at full weight each time.
test('ejections double with relapses up to the bound, and a long healthy time forgets them', t => {
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

// Guards against a sick server doing full harm again after each return.
test('probation has a rising share and ejects on half of the evidence', t => {
  const ejected = ejectServer(initialHealth, rule, 'failing', 0);
  const back = advanceHealth(ejected, rule, 10_000);
  const shares = [0, 5000, 10_000, 20_000].map(ageMs =>
    reportHealth(back, rule, 10_000 + ageMs),
  );
  t.deepEqual(
    shares.map(report => report.kind === 'probation' && report.share),
    [0.1, 0.3, 0.5, 1],
  );
  const relapse = makeSeries(3, 600, atMs => makeAnswer(10_000 + atMs, false));
  t.is(observeAll(relapse, initialHealth).state.kind, 'healthy');
  t.is(observeAll(relapse, back).state.kind, 'ejected');
});

// Guards against an idle server that stays in probation for ever, and against answers of before the ejection.
test('probation ends without answers; late answers of before the ejection do not count', t => {
  const ejected = ejectServer(initialHealth, rule, 'failing', 0);
  const late = observeAll(
    makeSeries(20, 100, atMs => makeAnswer(atMs, false)),
    ejected,
  );
  const back = advanceHealth(late, rule, 10_000);
  t.is(back.failureCusum.nats, 0);
  t.is(advanceHealth(back, rule, 69_999).state.kind, 'probation');
  t.is(advanceHealth(back, rule, 70_000).state.kind, 'healthy');
});

// Guards against ejecting a server for being slow while its caches fill.
test('a cold start is not slowness, but its failures count', t => {
  const cold = makeStartupHealth(0);
  const slow = makeSeries(60, 140, atMs => makeAnswer(atMs, true, 500));
  t.is(observeAll(slow, cold).state.kind, 'probation');
  const wrong = makeSeries(20, 140, atMs => makeAnswer(atMs, false));
  t.is(observeAll(wrong, cold).state.kind, 'ejected');
});

// Guards against successful probes clearing an ejection, and against probation of a server that nobody can reach.
test('two refused connections eject; the way back needs time and a connection', t => {
  const refuse = (atMs: number): Observation => ({
    kind: 'connect-failed',
    atMs,
  });
  const dead = observeAll([refuse(100), refuse(200)]);
  t.like(dead.state, {kind: 'ejected', reason: 'unreachable'});
  t.is(advanceHealth(dead, rule, 60_000).state.kind, 'ejected');
  const reached = observeAll([{kind: 'reached', atMs: 5000}], dead);
  t.is(reached.state.kind, 'ejected');
  t.is(advanceHealth(reached, rule, 10_200).state.kind, 'probation');
});

// Guards against minutes of ejection after an outage of something that all servers share.
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

// Guards against a slowdown of the whole service that makes one server after the other alarm at low rates.
test('the typical time follows a lasting change in 12 answers and ignores an outlier', t => {
  const usual = makeSeries(20, 100, (atMs, i) =>
    makeAnswer(atMs, true, i % 2 ? 19 : 21),
  );
  const before = observeAll(usual);
  const outlier = observeAll([makeAnswer(3000, true, 5000)], before);
  t.true(outlier.typicalMs / before.typicalMs < 1.1);
  const slow = makeSeries(12, 100, atMs => makeAnswer(3000 + atMs, true, 100));
  t.true(observeAll(slow, before).typicalMs > 80);
});
