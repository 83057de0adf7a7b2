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

/** Records in which `a>b` means that node a suspects node b; `a>b@4` names the incarnation. */
function withSuspicions(...given: readonly string[]): readonly NodeRecord[] {
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

function listSuspected(...given: readonly string[]): readonly string[] {
  return [...findSuspectedNodes(withSuspicions(...given))].sort();
}

// Guards against exclusions by one data centre with a bad uplink (n0, n6 and n12 are in one). Fails if suspicions
// are counted by node.
test('a node is suspected from two data centres, not by many nodes of one', t => {
  t.deepEqual(listSuspected('n0>n3', 'n6>n3', 'n12>n3'), []);
  t.deepEqual(listSuspected('n0>n3', 'n1>n3'), ['n3']);
});

// Guards against a node excluded for what its previous run did. Fails if incarnations are not compared.
test('a suspicion of an older incarnation is void', t => {
  t.deepEqual(listSuspected('n0>n3@4', 'n1>n3'), []);
});

// Guards against a rack that excludes healthy nodes while it dies. Fails if every suspicion in the roster counts.
test('suspicions by suspected nodes do not count', t => {
  const dead = ['n0>n3', 'n1>n3', 'n0>n4', 'n1>n4'];
  t.deepEqual(listSuspected(...dead, 'n3>n8', 'n4>n8'), ['n3', 'n4']);
  t.deepEqual(
    listSuspected('n0>n2', 'n1>n2', 'n4>n2', 'n2>n0', 'n3>n0', 'n0>n3'),
    ['n2'],
  );
});

// Guards against an answer that depends on which of two groups is looked at first. Fails for a single pass.
test('two groups that suspect only each other are both kept', t => {
  t.deepEqual(
    listSuspected(
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
// node then has its neighbours in its own data centre or too few of them.
test('each of 450 nodes is watched from at least two other data centres and the other region', t => {
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
    const around = [...(neighbours.get(record.node) ?? [])];
    const elsewhere = new Set(around.map(r => r.dataCentre));
    elsewhere.delete(record.dataCentre);
    t.true(elsewhere.size >= 2);
  }
});

function watchNodes(count: number) {
  const clock = new ManualClock();
  const roster = new Roster(clock);
  const watcher = new FailureDetector(roster, clock);
  for (const record of records.slice(0, count)) {
    roster.merge(record);
    watcher.add(record.node);
  }
  return {clock, roster, watcher};
}

// Guards against a node with a bad link, or one that was paused, getting its neighbours excluded. Fails for a watcher
// that publishes whatever it sees.
test('a node that lost more than half of its neighbours publishes no suspicion', async t => {
  const {clock, watcher} = watchNodes(5);
  await clock.advance(3500);
  for (const node of ['n0', 'n1'])
    watcher.recordContact(asId<NodeId>(node), 3400);
  t.deepEqual(watcher.listSuspicions(), []);
  watcher.recordContact(asId<NodeId>('n2'), 1000);
  t.deepEqual(
    watcher.listSuspicions(),
    [],
    'one that is about to be lost counts',
  );
  watcher.recordContact(asId<NodeId>('n2'), 3400);
  t.deepEqual(watcher.listSuspicions(), [
    {node: 'n3', incarnation: 5},
    {node: 'n4', incarnation: 5},
  ]);
});

// Guards against a node that stays suspected after it was reached, or is suspected at once after a restart because it
// was silent before. Fails if the silence is counted over incarnations.
test('a suspicion ends with contact, with an answering data port, and with a restart', async t => {
  const {clock, roster, watcher} = watchNodes(5);
  const [n0, n1] = ['n0', 'n1'].map(id => asId<NodeId>(id));
  const listLost = () =>
    watcher.listSuspicions().map(suspicion => suspicion.node);
  await clock.advance(3500);
  for (const {node} of records.slice(1, 5)) watcher.recordContact(node, 3400);
  t.deepEqual(listLost(), ['n0']);
  roster.merge({...records[0], incarnation: 6});
  t.deepEqual(listLost(), []);
  watcher.recordDataPortProbe(n1, false);
  t.deepEqual(listLost(), [], 'a second probe decides');
  await clock.advance(2500);
  for (const {node} of records.slice(0, 5)) watcher.recordContact(node, 5900);
  t.deepEqual(listLost(), ['n1']);
  watcher.recordDataPortProbe(n1, true);
  t.deepEqual(listLost(), []);
  t.false(watcher.isSuspected(n0));
});
