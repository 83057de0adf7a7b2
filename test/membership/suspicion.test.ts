import test from 'ava';
import {asId, ManualClock, NodeId} from '../../src/base/index.js';
import {makeNodeRecord, planMembershipFleet} from '../../src/bench/index.js';
import {
  findSuspectedNodes,
  NodeRecord,
  Roster,
} from '../../src/membership/index.js';
import {choosePeers} from '../../src/membership/peer_choice.js';
import {FailureDetector} from '../../src/membership/failure_detector.js';

const records = planMembershipFleet(450, 61, 0).map(plan =>
  makeNodeRecord({...plan, incarnation: 5}, 0),
);

/** Returns records with suspicions: `a>b` means that node a suspects node b, `a>b@4` that it suspects incarnation 4. */
function addSuspicions(...given: readonly string[]): readonly NodeRecord[] {
  return records.map(record => ({
    ...record,
    suspicions: given
      .map(text => /^(n\d+)>(n\d+)(?:@(\d+))?$/.exec(text) as RegExpExecArray)
      .filter(([, from]) => from === record.node)
      .map(([, , node, incarnation]) => ({
        node,
        incarnation: Number(incarnation ?? 5),
      })),
  }));
}

function computeSuspected(...given: readonly string[]): readonly string[] {
  return [...findSuspectedNodes(addSuspicions(...given))].sort();
}

// Guards against nodes excluded by one data centre with a faulty uplink (n0, n6 and n12 are in the same one). Fails if
// suspicions are counted per node.
test('a node is suspected from two data centres, not by many nodes of one', t => {
  t.deepEqual(computeSuspected('n0>n3', 'n6>n3', 'n12>n3'), []);
  t.deepEqual(computeSuspected('n0>n3', 'n1>n3'), ['n3']);
});

// Guards against a restarted node excluded for a failure of its previous process. Fails if incarnations are not
// compared.
test('a suspicion of an older incarnation is ignored', t => {
  t.deepEqual(computeSuspected('n0>n3@4', 'n1>n3'), []);
});

// Guards against a failing rack whose nodes exclude healthy nodes. Fails if every suspicion in the roster counts.
test('suspicions by suspected nodes do not count', t => {
  const confirmedSuspicions = ['n0>n3', 'n1>n3', 'n0>n4', 'n1>n4'];
  t.deepEqual(computeSuspected(...confirmedSuspicions, 'n3>n8', 'n4>n8'), [
    'n3',
    'n4',
  ]);
  t.deepEqual(
    computeSuspected('n0>n2', 'n1>n2', 'n4>n2', 'n2>n0', 'n3>n0', 'n0>n3'),
    ['n2'],
  );
});

// Guards against a result that depends on which of two groups is evaluated first. Fails for a single pass.
test('two groups that suspect only each other are both not suspected', t => {
  t.deepEqual(
    computeSuspected(
      'n0>n3',
      'n1>n3',
      'n0>n4',
      'n1>n4',
      'n3>n0',
      'n4>n0',
      'n3>n1',
      'n4>n1',
    ),
    [],
  );
});

// Guards against a suspicion that no second data centre can confirm. Fails for five peers drawn from all nodes: some
// nodes then have neighbours only in their own data centre, or too few of them.
test('each of 450 nodes is monitored from at least two other data centres and the other region', t => {
  const neighbours = new Map(records.map(r => [r.node, new Set<NodeRecord>()]));
  for (const record of records) {
    const chosen = choosePeers(record, records, () => false);
    t.is(chosen.length, 5);
    t.is(chosen.filter(r => r.dataCentre === record.dataCentre).length, 2);
    t.true(chosen.some(r => r.region !== record.region));
    for (const other of chosen) {
      neighbours.get(record.node)?.add(other);
      neighbours.get(other.node)?.add(record);
    }
  }
  for (const record of records) {
    const neighbourRecords = [...(neighbours.get(record.node) ?? [])];
    const otherDataCentres = new Set(neighbourRecords.map(r => r.dataCentre));
    otherDataCentres.delete(record.dataCentre);
    t.true(otherDataCentres.size >= 2);
  }
});

function watchNodes(count: number) {
  const clock = new ManualClock();
  const roster = new Roster(clock);
  const detector = new FailureDetector(roster, clock);
  for (const record of records.slice(0, count)) {
    roster.merge(record);
    detector.add(record.node);
  }
  return {clock, roster, detector};
}

// Guards against a node with a faulty link, or a paused one, that causes its neighbours to be excluded. Fails for a
// failure detector that publishes every suspicion.
test('a node that lost more than half of its neighbours publishes no suspicion', async t => {
  const {clock, detector} = watchNodes(5);
  await clock.advance(3500);
  for (const node of ['n0', 'n1'])
    detector.recordContact(asId<NodeId>(node), 3400);
  t.deepEqual(detector.listSuspicions(), []);
  detector.recordContact(asId<NodeId>('n2'), 1000);
  t.deepEqual(
    detector.listSuspicions(),
    [],
    'a neighbour about to reach the suspicion timeout counts as lost',
  );
  detector.recordContact(asId<NodeId>('n2'), 3400);
  t.deepEqual(detector.listSuspicions(), [
    {node: 'n3', incarnation: 5},
    {node: 'n4', incarnation: 5},
  ]);
});

// Guards against a node that stays suspected after contact, or is suspected immediately after a restart because it was
// unreachable before. Fails if the timeout is counted across incarnations.
test('a suspicion ends on contact, when the data port answers, and on a restart', async t => {
  const {clock, roster, detector} = watchNodes(5);
  const [n0, n1] = ['n0', 'n1'].map(id => asId<NodeId>(id));
  const listSuspectedNodes = () =>
    detector.listSuspicions().map(suspicion => suspicion.node);
  await clock.advance(3500);
  for (const {node} of records.slice(1, 5)) detector.recordContact(node, 3400);
  t.deepEqual(listSuspectedNodes(), ['n0']);
  roster.merge({...records[0], incarnation: 6});
  t.deepEqual(listSuspectedNodes(), []);
  detector.recordDataPortProbe(n1, false);
  t.deepEqual(listSuspectedNodes(), [], 'one failed probe is not enough');
  await clock.advance(2500);
  for (const {node} of records.slice(0, 5)) detector.recordContact(node, 5900);
  t.deepEqual(listSuspectedNodes(), ['n1']);
  detector.recordDataPortProbe(n1, true);
  t.deepEqual(listSuspectedNodes(), []);
  t.false(detector.isSuspected(n0));
});
