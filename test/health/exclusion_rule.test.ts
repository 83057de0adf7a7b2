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

interface ServerState {
  readonly phase: ServerPhase;
  readonly health: Health;
  readonly state: NodeRecord['state'];
  readonly retired: boolean;
  readonly unreachable: boolean;
  readonly suspected: boolean;
}

const healthy: ServerState = {
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
): ServerState {
  return {...healthy, health: {kind: 'ejected', reason, sinceMs}};
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

function applyRule(floor: number, states: readonly ServerState[]) {
  const servers = states.map(
    (state, index) =>
      ({
        report: {
          server: asId(`s${index}`),
          phase: state.phase,
          health: state.health,
        },
        record: {node: asId(`n${index}`), state: state.state},
      }) as KnownServer,
  );
  const getState = (id: string): ServerState => states[Number(id.slice(1))];
  const context: ExclusionContext = {
    isRetired: server => getState(server).retired,
    isUnreachable: (node: NodeId) => getState(node).unreachable,
    isSuspected: (node: NodeId) => getState(node).suspected,
  };
  return applyExclusionRule(makeService(floor), servers, context).map(
    ({verdict}) => verdict,
  );
}

const serverStateArbitrary: fc.Arbitrary<ServerState> = fc.record({
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
}) as fc.Arbitrary<ServerState>;

function isReady(state: ServerState): boolean {
  return (
    state.phase === 'ready' &&
    state.state === 'serving' &&
    !state.retired &&
    !state.unreachable
  );
}

// Checks the floor for arbitrary combinations of drains, starts, ejections, suspicions and partitions.
test('never fewer usable servers than the floor, or than all ready ones', t => {
  t.notThrows(() =>
    fc.assert(
      fc.property(
        fc.array(serverStateArbitrary, {maxLength: 45}),
        fc.integer({min: 0, max: 45}),
        (states, floor) => {
          const verdicts = applyRule(floor, states);
          const usable = verdicts.filter(
            verdict => verdict.kind !== 'excluded' && verdict.weight > 0,
          );
          const ready = states.filter(isReady);
          const onlyReady = states.every(
            (state, index) =>
              isReady(state) || verdicts[index].kind === 'excluded',
          );
          return onlyReady && usable.length >= Math.min(floor, ready.length);
        },
      ),
      {seed: 20, numRuns: 2000},
    ),
  );
});

// Checks the floor over sequences of states, each of which changes one server.
test('the floor holds while servers eject, drain and return one by one', t => {
  const step = fc.tuple(fc.nat({max: 8}), serverStateArbitrary);
  t.notThrows(() =>
    fc.assert(
      fc.property(fc.array(step, {maxLength: 60}), steps => {
        let states: readonly ServerState[] = Array.from(
          {length: 9},
          () => healthy,
        );
        return steps.every(([changed, state]) => {
          states = states.map((old, i) => (i === changed ? state : old));
          const usable = applyRule(6, states).filter(
            v => v.kind !== 'excluded',
          );
          return usable.length >= Math.min(6, states.filter(isReady).length);
        });
      }),
      {seed: 21, numRuns: 500},
    ),
  );
});

// Guards against treating the failure of a shared dependency as many faulty servers: a rule that looks at each server
// alone would exclude them all.
test('simultaneous ejections of more than a third of a service exclude no server', t => {
  const ejections = [0, 1, 2, 3].map(i => makeEjected('failing', i * 1000));
  const verdicts = applyRule(2, [
    ...ejections,
    healthy,
    healthy,
    healthy,
    healthy,
    healthy,
  ]);
  t.deepEqual(
    verdicts.slice(0, 4).map(verdict => verdict.kind),
    Array(4).fill('kept-by-common-cause'),
  );
});

// Guards against keeping servers in use that failed one after the other, or the only faulty server of two.
test('ejections far apart, and a single ejection, have no common cause', t => {
  const ejections = [0, 1, 2, 3].map(i => makeEjected('slow', i * 60_000));
  const apart = applyRule(2, [
    ...ejections,
    healthy,
    healthy,
    healthy,
    healthy,
    healthy,
  ]);
  t.is(apart.filter(verdict => verdict.kind === 'excluded').length, 4);
  t.is(applyRule(1, [makeEjected('slow', 0), healthy])[0].kind, 'excluded');
});

// Guards against excluding a slow server, which still answers, while keeping a dead one.
test('the floor keeps the servers with the least severe reasons', t => {
  const states = [
    makeEjected('unreachable', 0),
    makeEjected('failing', 100_000),
    makeEjected('slow', 200_000),
    {...healthy, suspected: true},
  ];
  const kept = applyRule(3, [...states, healthy]).map(verdict => verdict.kind);
  t.deepEqual(kept, [
    'excluded',
    'excluded',
    'kept-by-floor',
    'kept-by-floor',
    'usable',
  ]);
});

// Guards against excluding a whole service when a partition makes witnesses suspect all its nodes.
test("the floor limits suspicions by witnesses, but not the entry's own failures to connect", t => {
  const suspected = Array.from({length: 6}, () => ({
    ...healthy,
    suspected: true,
  }));
  t.is(
    applyRule(4, suspected).filter(v => v.kind === 'kept-by-floor').length,
    4,
  );
  const unreachable = suspected.map(state => ({...state, unreachable: true}));
  t.true(
    applyRule(4, unreachable).every(verdict => verdict.kind === 'excluded'),
  );
});

// Guards against excluding a server while the servers in probation can carry only a tenth of their load.
test('a server in probation counts with its share as capacity', t => {
  const inProbation: ServerState = {
    ...healthy,
    health: {kind: 'probation', share: 0.1},
  };
  const states = [
    makeEjected('failing', 0),
    inProbation,
    inProbation,
    healthy,
    healthy,
    healthy,
  ];
  t.is(applyRule(3, states)[0].kind, 'excluded');
  t.is(applyRule(4, states)[0].kind, 'kept-by-floor');
});

// Guards against keeping a failing server in use in a fleet that has just started: with absolute shares, five servers
// with a share of a tenth would count as half a server.
test('servers that are all new count with their full capacity', t => {
  const starting: ServerState = {
    ...healthy,
    health: {kind: 'probation', share: 0.1},
  };
  const states = [
    makeEjected('failing', 0),
    starting,
    starting,
    starting,
    starting,
    starting,
  ];
  t.is(applyRule(5, states)[0].kind, 'excluded');
  t.is(applyRule(6, states)[0].kind, 'kept-by-floor');
});
