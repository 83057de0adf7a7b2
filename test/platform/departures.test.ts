// Guards against a server that gets work although a node has acknowledged that it leaves (DRAIN of the review, case 2), and
// against a late report that changes the service that other servers are told as the caller (UNASKED, case 4).

import test from 'ava';
import {systemClock} from '../../src/base/index.js';
import {makeConfig, TestFleet, waitUntil} from './test_fleet.js';

async function sendSome(fleet: TestFleet, index: number) {
  return Promise.all(
    Array.from({length: 10}, () => fleet.send(fleet.vms[index], '/safe/x')),
  );
}

for (const [name, makeNotice] of [
  ['with its start time', (born: number) => JSON.stringify({born})],
  ['without a body', () => undefined],
] as const) {
  test(`a deregistration ${name} at a node that has not heard of the server is not forgotten`, async t => {
    const fleet = new TestFleet();
    await fleet.start(t, 2);
    const [{backend}] = fleet.vms;
    await fleet.restartNode(t, 0);
    const notice = makeNotice(backend.startedAt);
    t.is(await backend.announceDeparture(notice), 200);
    t.is(await backend.announce(), 409, 'after the notice');
    await fleet.restartAll(t);
    await fleet.vms[1].backend.announce();
    t.is(await backend.announce(), 409, 'after the restart');
    const answers = await sendSome(fleet, 1);
    t.true(answers.every(({status}) => status === 200));
    t.deepEqual(backend.runs, []);
    backend.startedAt = Date.now() + 1;
    t.is(await backend.announce(), 200);
    await fleet.waitForGuards(2);
  });
}

test('a departure is acknowledged only once the store has it', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 2);
  const [{backend}] = fleet.vms;
  fleet.store.mode = 'busy';
  t.is(await backend.announceDeparture(undefined), 503);
  await sendSome(fleet, 1);
  t.deepEqual(backend.runs, []);
  fleet.store.mode = 'ok';
  await waitUntil(
    async () => (await backend.announceDeparture(undefined)) === 200,
  );
  await fleet.restartAll(t);
  t.is(await backend.announce(), 409);
});

test('a report that comes before a starting node has read the store does not revive a server', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 1);
  const [{backend}] = fleet.vms;
  t.is(await backend.announce('draining'), 200);
  fleet.store.mode = 'busy';
  const restarted = fleet.restartNode(t, 0);
  await systemClock.sleep(300);
  await backend.announce();
  await backend.announce();
  const [{node}] = fleet.vms;
  t.is(node.applyRouting(Buffer.from(JSON.stringify(makeConfig(1)))), true);
  t.deepEqual(
    await sendSome(fleet, 0).then(list =>
      list.filter(({status}) => status === 200),
    ),
    [],
  );
  t.deepEqual(backend.runs, []);
  fleet.store.mode = 'ok';
  await restarted;
  t.is(await backend.announce(), 409);
});

test('a server that goes on reporting is used although a starting node cannot read the store', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 1);
  const [{backend}] = fleet.vms;
  fleet.store.mode = 'busy';
  const restarted = fleet.restartNode(t, 0);
  await systemClock.sleep(300);
  const [{node}] = fleet.vms;
  t.is(node.applyRouting(Buffer.from(JSON.stringify(makeConfig(1)))), true);
  await waitUntil(async () => {
    await systemClock.sleep(500);
    t.is(await backend.announce(), 200);
    return (await fleet.send(fleet.vms[0], '/safe/x')).status === 200;
  });
  fleet.store.mode = 'ok';
  await restarted;
});

test('a late report of another service does not change the caller service of a restarted node', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 2);
  const services = {
    bench: makeConfig(1).services.bench,
    other: makeConfig(1).services.bench,
  };
  fleet.store.writeConfig({...makeConfig(2), services});
  await systemClock.sleep(1000);
  const [{backend}, other] = fleet.vms;
  await fleet.restartNode(t, 0);
  await waitUntil(
    async () => (await backend.announce('ready', 'other')) === 409,
  );
  await sendSome(fleet, 0);
  t.true(other.backend.callers.length > 0);
  t.deepEqual([...new Set(other.backend.callers)], ['bench']);
});
