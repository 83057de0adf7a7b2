import test from 'ava';
import {systemClock} from '../../src/base/index.js';
import {
  makeConfig,
  makeGrownConfig,
  TestFleet,
  Vm,
  waitUntil,
} from './test_fleet.js';

/** Time from the confirmation of a change until it must be in force, at the first users. */
const applyMs = 2000;
/** Time after a fault from which a VM counts as undisturbed, at the first users. */
const stableMs = 3000;
/** Time by which the bound grows after the store lost its history, at the first users. */
const stretchMs = 5000;

/** The first users' store takes 2,000 reads a second, and their largest sweep has 1,000 nodes. */
const maxCallsPerSecond = 2;
/** Time from the start of a node until it only polls the store. */
const settledMs = 7000;

const {safe} = makeConfig(1).routes;
const withAddedRoute = (version: number) =>
  makeConfig(version, {more: {...safe, path_prefix: '/more/'}});

async function isServed(fleet: TestFleet, vm: Vm): Promise<boolean> {
  return (await fleet.send(vm, '/more/x')).status === 200;
}

test('a change is not late when all connections to the store have gone silent', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 2);
  await systemClock.sleep(settledMs);
  fleet.store.freezeConnections();
  await systemClock.sleep(stableMs - applyMs);
  fleet.store.writeConfig(withAddedRoute(2));
  await systemClock.sleep(applyMs);
  for (const vm of fleet.vms) t.true(await isServed(fleet, vm));
});

test('a change that follows the silence of all connections at once is in force in time on a node without peers', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 1);
  await systemClock.sleep(settledMs);
  const [vm] = fleet.vms;
  for (const version of [2, 3, 4]) {
    // The worst moment is the start of a poll.
    const polls = fleet.store.calls.length;
    await waitUntil(() => fleet.store.calls.length > polls);
    fleet.store.freezeConnections();
    fleet.store.writeConfig(makeGrownConfig(version));
    await systemClock.sleep(applyMs);
    const {status} = await fleet.send(vm, `/v${version}/x`);
    t.is(status, 200, `version ${version}`);
  }
});

test('the calls of a node to the store do not grow with the fleet', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 4);
  await systemClock.sleep(settledMs);
  const before = fleet.store.calls.length;
  const spanS = 4;
  await systemClock.sleep(spanS * 1000);
  const perNode = (fleet.store.calls.length - before) / spanS / 4;
  t.true(perNode <= maxCallsPerSecond, `${perNode} calls a second`);
});

test('a change made in a gap of the history is not missed when the listing after the gap is stale', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 1);
  fleet.store.startStaleListings();
  fleet.store.mode = 'busy';
  fleet.store.writeConfig(withAddedRoute(4));
  fleet.store.removeHistory();
  fleet.store.mode = 'ok';
  await systemClock.sleep(stableMs);
  fleet.store.endStaleListings();
  await systemClock.sleep(applyMs + stretchMs - stableMs);
  t.true(await isServed(fleet, fleet.vms[0]));
});

test('a node does not call the store without pause when the listing after a gap is stale', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 1);
  fleet.store.startStaleListings();
  fleet.store.hasStaleEnd = true;
  fleet.store.mode = 'busy';
  fleet.store.writeConfig(withAddedRoute(4));
  fleet.store.removeHistory();
  fleet.store.mode = 'ok';
  await systemClock.sleep(500);
  const before = fleet.store.calls.length;
  await systemClock.sleep(1000);
  t.true(fleet.store.calls.length - before <= 10);
  fleet.store.endStaleListings();
  await systemClock.sleep(applyMs);
  t.true(await isServed(fleet, fleet.vms[0]));
});

for (const [name, targetMs, workMs] of [
  ['far longer than its target suggests', 300, 1000],
  ['nearly as long as its time limit', 300, 2400],
] as const) {
  test(`an added route is served although its runs take ${name}`, async t => {
    const fleet = new TestFleet();
    await fleet.start(t, 4);
    for (const {backend} of fleet.vms) {
      backend.getWorkMs = path => (path.startsWith('/more/') ? workMs : 20);
    }
    const route = {...safe, path_prefix: '/more/', target_latency_ms: targetMs};
    fleet.store.writeConfig(makeConfig(2, {more: route}));
    await systemClock.sleep(applyMs);
    let added = 0;
    let first = 0;
    for (let round = 0; round < 5; round += 1) {
      const answers = await Promise.all([
        ...fleet.vms.map(vm => fleet.send(vm, '/more/x')),
        ...fleet.vms.map(vm => fleet.send(vm, '/safe/x')),
      ]);
      added += answers.slice(0, 4).filter(({status}) => status === 200).length;
      first += answers.slice(4).filter(({status}) => status === 200).length;
    }
    t.true(added >= first / 4, `${added} of 20 against ${first} of 20`);
  });
}
