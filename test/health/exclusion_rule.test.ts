import test from 'ava';
import fc from 'fast-check';
import {asId, NodeId} from '../../src/base/index.js';
import {presets, Service} from '../../src/config/index.js';
import {ExclusionContext, applyExclusionRule} from '../../src/health/index.js';
import {
  KnownServer,
  NodeRecord,
  ServerPhase,
} from '../../src/membership/index.js';

type Health = KnownServer['report']['health'];

interface Plan {
  readonly phase: ServerPhase;
  readonly health: Health;
  readonly state: NodeRecord['state'];
  readonly retired: boolean;
  readonly unreachable: boolean;
  readonly suspected: boolean;
}

const good: Plan = {
  phase: 'ready',
  health: {kind: 'healthy'},
  state: 'serving',
  retired: false,
  unreachable: false,
  suspected: false,
};

function makeEjected(
  reason: 'failing' | 'slow' | 'unreachable',
  sinceMs: number,
): Plan {
  return {...good, health: {kind: 'ejected', reason, sinceMs}};
}

function makeService(floor: number): Service {
  return {
    id: asId('hisskalender'),
    floor,
    rule: presets.careful,
    timeoutMs: 5000,
    stallMs: 2000,
    queuePerServer: 16,
  };
}

function judge(floor: number, plans: readonly Plan[]) {
  const servers = plans.map(
    (plan, index) =>
      ({
        report: {
          server: asId(`s${index}`),
          phase: plan.phase,
          health: plan.health,
        },
        record: {node: asId(`n${index}`), state: plan.state},
      }) as KnownServer,
  );
  const getPlan = (id: string): Plan => plans[Number(id.slice(1))];
  const context: ExclusionContext = {
    isRetired: server => getPlan(server).retired,
    isUnreachable: (node: NodeId) => getPlan(node).unreachable,
    isSuspected: (node: NodeId) => getPlan(node).suspected,
  };
  return applyExclusionRule(makeService(floor), servers, context).map(
    ({verdict}) => verdict,
  );
}

const planArbitrary: fc.Arbitrary<Plan> = fc.record({
  phase: fc.constantFrom<ServerPhase>(
    'ready',
    'ready',
    'ready',
    'starting',
    'draining',
    'stopped',
  ),
  health: fc.oneof(
    fc.constant<Health>({kind: 'healthy'}),
    fc.record({
      kind: fc.constant('ejected' as const),
      reason: fc.constantFrom('failing', 'slow', 'unreachable' as const),
      sinceMs: fc.integer({min: 0, max: 100_000}),
    }),
    fc.record({
      kind: fc.constant('probation' as const),
      share: fc.constantFrom(0.1, 0.3, 0.7, 1),
    }),
  ),
  state: fc.constantFrom('serving', 'serving', 'leaving' as const),
  retired: fc.boolean(),
  unreachable: fc.boolean(),
  suspected: fc.boolean(),
}) as fc.Arbitrary<Plan>;

function isReady(plan: Plan): boolean {
  return (
    plan.phase === 'ready' &&
    plan.state === 'serving' &&
    !plan.retired &&
    !plan.unreachable
  );
}

// Guards the floor against any combination of drains, starts, ejections, suspicions and partitions in a view.
test('never fewer usable servers than the floor, or than all ready ones', t => {
  t.notThrows(() =>
    fc.assert(
      fc.property(
        fc.array(planArbitrary, {maxLength: 45}),
        fc.integer({min: 0, max: 45}),
        (plans, floor) => {
          const verdicts = judge(floor, plans);
          const usable = verdicts.filter(
            verdict => verdict.kind !== 'excluded' && verdict.weight > 0,
          );
          const ready = plans.filter(isReady);
          const onlyReady = plans.every(
            (plan, index) =>
              isReady(plan) || verdicts[index].kind === 'excluded',
          );
          return onlyReady && usable.length >= Math.min(floor, ready.length);
        },
      ),
      {seed: 20, numRuns: 2000},
    ),
  );
});

// Guards the floor over a sequence of views: each step changes one server, and no step may break it.
test('the floor holds while servers eject, drain and return one by one', t => {
  const step = fc.tuple(fc.nat({max: 8}), planArbitrary);
  t.notThrows(() =>
    fc.assert(
      fc.property(fc.array(step, {maxLength: 60}), steps => {
        let plans: readonly Plan[] = Array.from({length: 9}, () => good);
        return steps.every(([changed, plan]) => {
          plans = plans.map((old, index) => (index === changed ? plan : old));
          const usable = judge(6, plans).filter(v => v.kind !== 'excluded');
          return usable.length >= Math.min(6, plans.filter(isReady).length);
        });
      }),
      {seed: 21, numRuns: 500},
    ),
  );
});

// Guards against treating a shared dependency as many sick servers: a rule for each server alone ejects them all.
test('alarms of more than a third of a service together exclude none', t => {
  const alarms = [0, 1, 2, 3].map(i => makeEjected('failing', i * 1000));
  const verdicts = judge(2, [...alarms, good, good, good, good, good]);
  t.deepEqual(
    verdicts.slice(0, 4).map(verdict => verdict.kind),
    Array(4).fill('kept-by-common-cause'),
  );
});

// Guards against keeping servers that fell ill one after the other, and the only sick server of two.
test('alarms far apart, and a single alarm, are no common cause', t => {
  const alarms = [0, 1, 2, 3].map(i => makeEjected('slow', i * 60_000));
  const apart = judge(2, [...alarms, good, good, good, good, good]);
  t.is(apart.filter(verdict => verdict.kind === 'excluded').length, 4);
  t.is(judge(1, [makeEjected('slow', 0), good])[0].kind, 'excluded');
});

// Guards against excluding the slow server, which still answers, and keeping the dead one.
test('the floor keeps the least bad', t => {
  const plans = [
    makeEjected('unreachable', 0),
    makeEjected('failing', 100_000),
    makeEjected('slow', 200_000),
    {...good, suspected: true},
  ];
  const kept = judge(3, [...plans, good]).map(verdict => verdict.kind);
  t.deepEqual(kept, [
    'excluded',
    'excluded',
    'kept-by-floor',
    'kept-by-floor',
    'usable',
  ]);
});

// Guards against a partition that makes witnesses suspect a whole service.
test('suspicions of witnesses obey the floor; an own failure to connect does not', t => {
  const suspected = Array.from({length: 6}, () => ({...good, suspected: true}));
  t.is(judge(4, suspected).filter(v => v.kind === 'kept-by-floor').length, 4);
  const cut = suspected.map(plan => ({...plan, unreachable: true}));
  t.true(judge(4, cut).every(verdict => verdict.kind === 'excluded'));
});

// Guards against ejecting a server while those that return can carry only a tenth of their share.
test('a server in probation counts as its share of capacity', t => {
  const back: Plan = {...good, health: {kind: 'probation', share: 0.1}};
  const plans = [makeEjected('failing', 0), back, back, good, good, good];
  t.is(judge(3, plans)[0].kind, 'excluded');
  t.is(judge(4, plans)[0].kind, 'kept-by-floor');
});

// Guards against a fleet that has just started keeping a failing server in use: by absolute shares, five servers at a
// tenth of their share would count as half a server.
test('servers that are all new carry their parts in full', t => {
  const young: Plan = {...good, health: {kind: 'probation', share: 0.1}};
  const plans = [makeEjected('failing', 0), young, young, young, young, young];
  t.is(judge(5, plans)[0].kind, 'excluded');
  t.is(judge(6, plans)[0].kind, 'kept-by-floor');
});
