import test from 'ava';
import {systemClock} from '../../src/base/index.js';
import {makeConfig, waitUntil, TestFleet} from './test_fleet.js';

test('a request is answered whole by a server of another VM, with the caller named', async t => {
  const world = new TestFleet();
  await world.start(t, 2);
  world.vms[0].backend.mode = 'hang';
  await world.vms[0].backend.announce('draining');
  const answer = await world.send(world.vms[0], '/safe/x');
  t.deepEqual(answer, {status: 200, body: 'the whole body', signature: 's.s2'});
  t.deepEqual(world.vms[1].backend.callers, ['bench']);
});

test('a request that may be repeated is answered although one server hangs', async t => {
  const world = new TestFleet();
  await world.start(t, 2);
  world.vms[0].backend.mode = 'hang';
  for (let request = 0; request < 6; request += 1) {
    const {status} = await world.send(world.vms[0], '/safe/x');
    t.is(status, 200);
  }
});

test('a request that must not be repeated runs once, whatever its server does', async t => {
  const world = new TestFleet();
  await world.start(t, 2);
  const [{backend}, other] = world.vms;
  for (const mode of ['error', 'cut-body'] as const) {
    backend.mode = mode;
    other.backend.mode = mode;
    const {status} = await world.send(world.vms[0], '/unsafe/x', {
      method: 'POST',
    });
    t.is(status, mode === 'error' ? 500 : 502);
  }
  t.is(world.listRuns().length, 2);
});

test('a caller is told 503 only for a request that did not run', async t => {
  const world = new TestFleet();
  await world.start(t, 1);
  world.vms[0].backend.mode = 'shed';
  const {status} = await world.send(world.vms[0], '/unsafe/x', {
    method: 'POST',
  });
  t.is(status, 503);
  t.is(world.listRuns().length, 0);
});

test('an answer that is cut short is replaced by another attempt', async t => {
  const world = new TestFleet();
  await world.start(t, 2);
  world.vms[0].backend.mode = 'cut-body';
  for (let request = 0; request < 4; request += 1) {
    const {status, body} = await world.send(world.vms[1], '/safe/x');
    t.deepEqual([status, body], [200, 'the whole body']);
  }
});

test('a server that says that it leaves gets no more requests', async t => {
  const world = new TestFleet();
  await world.start(t, 2);
  const {backend} = world.vms[0];
  t.is(await backend.announce('draining'), 200);
  const before = backend.runs.length;
  for (let request = 0; request < 10; request += 1) {
    await world.send(world.vms[request % 2], '/safe/x');
  }
  t.is(backend.runs.length, before);
});

test('a node that stops is not ready at once and ends what it has begun', async t => {
  const world = new TestFleet();
  await world.start(t, 2);
  for (const {backend} of world.vms) backend.workMs = 1000;
  const pending = [0, 1].map(() =>
    world.send(world.vms[0], '/unsafe/x', {method: 'POST'}),
  );
  await waitUntil(() => world.listRuns().length === 2);
  const stopped = world.vms[0].node.stop();
  t.false(await world.isReady(world.vms[0]));
  const late = await world.send(world.vms[0], '/safe/x');
  t.is(late.status, 200);
  for (const {status} of await Promise.all(pending)) t.is(status, 200);
  await stopped;
});

test('a node that stops refuses what comes late, and ends what it had begun before', async t => {
  const world = new TestFleet();
  await world.start(t, 2);
  for (const {backend} of world.vms) backend.workMs = 2850;
  const begun = world.send(world.vms[0], '/unsafe/x', {method: 'POST'});
  await waitUntil(() => world.listRuns().length === 1);
  const stopped = world.vms[0].node.stop();
  await systemClock.sleep(2700);
  t.is((await world.send(world.vms[0], '/safe/x')).status, 503);
  t.is((await begun).status, 200);
  await stopped;
  t.is(world.listRuns().length, 1);
});

test('a caller that leaves ends the work for it', async t => {
  const world = new TestFleet();
  await world.start(t, 2);
  for (const {backend} of world.vms) backend.workMs = 2000;
  const leave = new AbortController();
  const gone = world.send(world.vms[0], '/safe/x', {signal: leave.signal});
  await waitUntil(() => world.listRuns().length === 1);
  leave.abort();
  await t.throwsAsync(gone, {any: true});
  await waitUntil(() =>
    world.vms.some(({backend}) => backend.abandoned.length === 1),
  );
  t.pass();
});

test('nodes serve on while the store is down, and take a change when it is back', async t => {
  const world = new TestFleet();
  await world.start(t, 2);
  world.store.mode = 'down';
  const {status} = await world.send(world.vms[0], '/safe/x');
  t.is(status, 200);
  world.store.mode = 'ok';
  const {safe} = makeConfig(3).routes;
  world.store.writeConfig(
    makeConfig(3, {more: {...safe, path_prefix: '/more/'}}),
  );
  await waitUntil(
    async () => (await world.send(world.vms[1], '/more/x')).status === 200,
  );
  t.pass();
});

test('a malformed configuration and an older one change nothing', async t => {
  const world = new TestFleet();
  await world.start(t, 1);
  world.store.writeConfig(makeConfig(5));
  await systemClock.sleep(600);
  world.store.write('keyed.op', 'config', Buffer.from('{"version":"r9"'));
  const {safe} = makeConfig(2).routes;
  world.store.writeConfig(
    makeConfig(2, {old: {...safe, path_prefix: '/old/'}}),
  );
  await systemClock.sleep(600);
  t.is((await world.send(world.vms[0], '/old/x')).status, 404);
  t.is((await world.send(world.vms[0], '/safe/x')).status, 200);
});

test('a change that came while history was dropped is still taken', async t => {
  const world = new TestFleet();
  await world.start(t, 1);
  world.store.mode = 'busy';
  const {safe} = makeConfig(4).routes;
  world.store.writeConfig(
    makeConfig(4, {more: {...safe, path_prefix: '/more/'}}),
  );
  world.store.removeHistory();
  world.store.mode = 'ok';
  await waitUntil(
    async () => (await world.send(world.vms[0], '/more/x')).status === 200,
  );
  t.pass();
});

test('a node that is cut off from the store gets a new version from its peers', async t => {
  const world = new TestFleet();
  await world.start(t, 2);
  const {safe} = makeConfig(4).routes;
  world.vms[0].node.applyRouting(
    Buffer.from(
      JSON.stringify(makeConfig(4, {more: {...safe, path_prefix: '/more/'}})),
    ),
  );
  await waitUntil(
    async () => (await world.send(world.vms[1], '/more/x')).status === 200,
  );
  t.pass();
});

test('a report for a service that the configuration does not name takes no server away', async t => {
  const world = new TestFleet();
  await world.start(t, 1);
  const [{backend}] = world.vms;
  t.is(await backend.announce('ready', 'nobody'), 409);
  t.is(await backend.announce(), 200);
  t.is((await world.send(world.vms[0], '/safe/x')).status, 200);
});
