// Guards against a store that comes back from an older copy: what the fleet wrote since is gone, and offsets are given out
// again.

import test, {ExecutionContext} from 'ava';
import {asId, ServiceId, systemClock} from '../../src/base/index.js';
import {makeGrownConfig, TestFleet, waitUntil} from './test_fleet.js';

const service = asId<ServiceId>('bench');
/** Time from the confirmation of a change until it must be in force, at the first users. */
const applyMs = 2000;
/** Pause of a node after an update, in which it does not poll. */
const pauseMs = 100;
/** Time for a node to notice a restore by the end of its poll. */
const noticeMs = 2500;

/** Starts all nodes again; a late report of the first VM's server, which has left, must not bring it back. */
async function assertDepartureOutlivesNodes(
  t: ExecutionContext,
  fleet: TestFleet,
): Promise<void> {
  await fleet.restartAll(t);
  const [left, other] = fleet.vms;
  t.is(await left.backend.announce('ready'), 409);
  await other.backend.announce();
  await waitUntil(() => other.node.listGuards(service).length > 0);
  await systemClock.sleep(300);
  t.deepEqual(
    other.node.listGuards(service).map(({node}) => node),
    [other.settings.node],
  );
}

test('a change is not missed when its offset was given out before to a record that is gone', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 1);
  const {store, vms} = fleet;
  store.writeConfig(makeGrownConfig(2));
  await systemClock.sleep(500);
  const copy = store.makeCopy();
  store.write('keyed.op', 'other', Buffer.from('{}'));
  await systemClock.sleep(pauseMs);
  store.resetTo(copy);
  store.writeConfig(makeGrownConfig(3));
  store.write('keyed.op', 'other', Buffer.from('{}'));
  await systemClock.sleep(applyMs);
  t.is((await fleet.send(vms[0], '/v3/x')).status, 200);
});

test('a change is not missed when polls go on waiting for an offset that is given out again', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 2);
  const {store, vms} = fleet;
  const copy = store.makeCopy();
  for (const version of [2, 3, 4]) store.writeConfig(makeGrownConfig(version));
  await systemClock.sleep(1000);
  store.resetTo(copy);
  await systemClock.sleep(noticeMs);
  store.writeConfig(makeGrownConfig(4));
  store.writeConfig(makeGrownConfig(5));
  await systemClock.sleep(applyMs);
  for (const vm of vms) {
    t.is((await fleet.send(vm, '/v4/x')).status, 200);
    t.is((await fleet.send(vm, '/v5/x')).status, 200);
  }
});

test('a version in force stays when the store comes back with an older one', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 2);
  const {store, vms} = fleet;
  const copy = store.makeCopy();
  store.writeConfig(makeGrownConfig(2));
  await systemClock.sleep(500);
  store.mode = 'down';
  store.resetTo(copy);
  await systemClock.sleep(200);
  store.mode = 'ok';
  await systemClock.sleep(applyMs);
  for (const vm of vms) t.is((await fleet.send(vm, '/v2/x')).status, 200);
});

test('a node that starts after the store came back is not ready with an older version than its peers have', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 2);
  const {store} = fleet;
  const copy = store.makeCopy();
  store.writeConfig(makeGrownConfig(2));
  await systemClock.sleep(500);
  store.resetTo(copy);
  const added = await fleet.addVm(t);
  t.is((await fleet.send(added, '/v2/x')).status, 200);
});

test('a departure is stored again when the store comes back without it, and outlives all nodes', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 2);
  const {store, vms} = fleet;
  const copy = store.makeCopy();
  const [{backend}] = vms;
  await backend.announce('draining');
  await systemClock.sleep(300);
  store.resetTo(copy);
  await systemClock.sleep(noticeMs);
  await assertDepartureOutlivesNodes(t, fleet);
});

test('a departure that could not be written is written when the store is available again', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 2);
  const {store, vms} = fleet;
  const [{backend}] = vms;
  store.mode = 'busy';
  await backend.announce('draining');
  await systemClock.sleep(1000);
  store.mode = 'ok';
  await systemClock.sleep(noticeMs);
  await assertDepartureOutlivesNodes(t, fleet);
});

test('a node whose address is gone from the store is found by nodes that start later', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 1);
  const {store} = fleet;
  const copy = store.makeCopy();
  await fleet.addVm(t);
  await fleet.announce();
  await fleet.waitForGuards(2);
  store.resetTo(copy);
  await fleet.addVm(t);
  await fleet.announce();
  await fleet.waitForGuards(3);
  t.pass();
});

test('a node whose address is lost while it joins finds the others', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 1);
  const {store} = fleet;
  const copy = store.makeCopy();
  store.onAppend = () => {
    store.onAppend = () => undefined;
    store.resetTo(copy);
  };
  await fleet.addVm(t);
  await fleet.addVm(t);
  await fleet.announce();
  await fleet.waitForGuards(3);
  t.pass();
});

test('two restores in a row lose nothing', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 2);
  const {store, vms} = fleet;
  const copy = store.makeCopy();
  store.writeConfig(makeGrownConfig(2));
  await fleet.addVm(t);
  await systemClock.sleep(500);
  store.resetTo(copy);
  await systemClock.sleep(200);
  store.resetTo(copy);
  await systemClock.sleep(noticeMs);
  store.writeConfig(makeGrownConfig(2));
  store.writeConfig(makeGrownConfig(3));
  await systemClock.sleep(applyMs);
  for (const vm of vms) t.is((await fleet.send(vm, '/v3/x')).status, 200);
  t.is(store.listKeys('keyed.nodes').length, 3);
});
