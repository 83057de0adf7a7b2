import test from 'ava';
import {systemClock} from '../../src/base/index.js';
import {makeConfig, waitUntil, TestFleet} from './test_fleet.js';

test('a request gets a complete answer from a server of another VM, which receives the caller service', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 2);
  fleet.vms[0].backend.mode = 'hang';
  await fleet.vms[0].backend.announce('draining');
  const answer = await fleet.send(fleet.vms[0], '/safe/x');
  t.deepEqual(answer, {status: 200, body: 'the whole body', signature: 's.s2'});
  t.deepEqual(fleet.vms[1].backend.callers, ['bench']);
});

test('an idempotent request is answered although one server hangs', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 2);
  fleet.vms[0].backend.mode = 'hang';
  for (let request = 0; request < 6; request += 1) {
    const {status} = await fleet.send(fleet.vms[0], '/safe/x');
    t.is(status, 200);
  }
});

test('a non-idempotent request runs once, however its server fails', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 2);
  const [{backend}, other] = fleet.vms;
  for (const mode of ['error', 'cut-body'] as const) {
    backend.mode = mode;
    other.backend.mode = mode;
    const {status} = await fleet.send(fleet.vms[0], '/unsafe/x', {
      method: 'POST',
    });
    t.is(status, mode === 'error' ? 500 : 502);
  }
  t.is(fleet.listRuns().length, 2);
});

test('a caller gets 503 only for a request that did not run', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 1);
  fleet.vms[0].backend.mode = 'shed';
  const {status} = await fleet.send(fleet.vms[0], '/unsafe/x', {
    method: 'POST',
  });
  t.is(status, 503);
  t.is(fleet.listRuns().length, 0);
});

test('a truncated answer is replaced by that of another attempt', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 2);
  fleet.vms[0].backend.mode = 'cut-body';
  for (let request = 0; request < 4; request += 1) {
    const {status, body} = await fleet.send(fleet.vms[1], '/safe/x');
    t.deepEqual([status, body], [200, 'the whole body']);
  }
});

test('a server that announces draining gets no more requests', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 2);
  const {backend} = fleet.vms[0];
  t.is(await backend.announce('draining'), 200);
  const before = backend.runs.length;
  for (let request = 0; request < 10; request += 1) {
    await fleet.send(fleet.vms[request % 2], '/safe/x');
  }
  t.is(backend.runs.length, before);
});

test('a node that shuts down is not ready at once and completes the requests in progress', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 2);
  for (const {backend} of fleet.vms) backend.workMs = 1000;
  const pending = [0, 1].map(() =>
    fleet.send(fleet.vms[0], '/unsafe/x', {method: 'POST'}),
  );
  await waitUntil(() => fleet.listRuns().length === 2);
  const stopped = fleet.vms[0].node.stop();
  t.false(await fleet.isReady(fleet.vms[0]));
  const late = await fleet.send(fleet.vms[0], '/safe/x');
  t.is(late.status, 200);
  for (const {status} of await Promise.all(pending)) t.is(status, 200);
  await stopped;
});

test('a node that shuts down refuses late requests and completes those in progress', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 2);
  for (const {backend} of fleet.vms) backend.workMs = 2850;
  const inProgress = fleet.send(fleet.vms[0], '/unsafe/x', {method: 'POST'});
  await waitUntil(() => fleet.listRuns().length === 1);
  const stopped = fleet.vms[0].node.stop();
  await systemClock.sleep(2700);
  t.is((await fleet.send(fleet.vms[0], '/safe/x')).status, 503);
  t.is((await inProgress).status, 200);
  await stopped;
  t.is(fleet.listRuns().length, 1);
});

test('when a caller disconnects, its request is cancelled at the backend server', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 2);
  for (const {backend} of fleet.vms) backend.workMs = 2000;
  const leave = new AbortController();
  const gone = fleet.send(fleet.vms[0], '/safe/x', {signal: leave.signal});
  await waitUntil(() => fleet.listRuns().length === 1);
  leave.abort();
  await t.throwsAsync(gone, {any: true});
  await waitUntil(() =>
    fleet.vms.some(({backend}) => backend.abandoned.length === 1),
  );
  t.pass();
});

test('nodes keep serving while the store is down, and apply a change when it is available again', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 2);
  fleet.store.mode = 'down';
  const {status} = await fleet.send(fleet.vms[0], '/safe/x');
  t.is(status, 200);
  fleet.store.mode = 'ok';
  const {safe} = makeConfig(3).routes;
  fleet.store.writeConfig(
    makeConfig(3, {more: {...safe, path_prefix: '/more/'}}),
  );
  await waitUntil(
    async () => (await fleet.send(fleet.vms[1], '/more/x')).status === 200,
  );
  t.pass();
});

test('a malformed configuration and an older one are ignored', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 1);
  fleet.store.writeConfig(makeConfig(5));
  await systemClock.sleep(600);
  fleet.store.write('keyed.op', 'config', Buffer.from('{"version":"r9"'));
  const {safe} = makeConfig(2).routes;
  fleet.store.writeConfig(
    makeConfig(2, {old: {...safe, path_prefix: '/old/'}}),
  );
  await systemClock.sleep(600);
  t.is((await fleet.send(fleet.vms[0], '/old/x')).status, 404);
  t.is((await fleet.send(fleet.vms[0], '/safe/x')).status, 200);
});

test('a change is applied even if the store dropped its history before the node read it', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 1);
  fleet.store.mode = 'busy';
  const {safe} = makeConfig(4).routes;
  fleet.store.writeConfig(
    makeConfig(4, {more: {...safe, path_prefix: '/more/'}}),
  );
  fleet.store.removeHistory();
  fleet.store.mode = 'ok';
  await waitUntil(
    async () => (await fleet.send(fleet.vms[0], '/more/x')).status === 200,
  );
  t.pass();
});

test('a node that does not get a new version from the store gets it from its peers', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 2);
  const {safe} = makeConfig(4).routes;
  fleet.vms[0].node.applyRouting(
    Buffer.from(
      JSON.stringify(makeConfig(4, {more: {...safe, path_prefix: '/more/'}})),
    ),
  );
  await waitUntil(
    async () => (await fleet.send(fleet.vms[1], '/more/x')).status === 200,
  );
  t.pass();
});

test('a report for a service that is not configured does not remove the server', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 1);
  const [{backend}] = fleet.vms;
  t.is(await backend.announce('ready', 'nobody'), 409);
  t.is(await backend.announce(), 200);
  t.is((await fleet.send(fleet.vms[0], '/safe/x')).status, 200);
});
