// Guards against entries of another writer among those that nodes read: a record with a port out of range ended each process
// that started, and one that cannot be printed stopped the reading of all.

import test from 'ava';
import {nodesTopic} from '../../platform/index.js';
import {systemClock} from '../../src/base/index.js';
import {makeGrownConfig, TestFleet} from './test_fleet.js';

const nested = '['.repeat(100_000) + ']'.repeat(100_000);

const records: Readonly<Record<string, string>> = {
  port: '{"address":"127.0.0.1:99999"}',
  text: '{"address":"no address"}',
  number: '{"address":1e300}',
  nested: `{"address":${nested}}`,
  departure: `{"address":"127.0.0.1:9","departure":${nested}}`,
  born: '{"address":"127.0.0.1:9","departure":{"server":"s","startedAtMs":1e300}}',
  bytes: '\u0000\u00ff',
  empty: '',
};

function writeOddRecords(fleet: TestFleet): void {
  for (const [key, value] of Object.entries(records)) {
    fleet.store.write(nodesTopic, `odd-${key}`, Buffer.from(value));
  }
}

test('odd records of nodes leave all nodes in use, at a start and later', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 2);
  writeOddRecords(fleet);
  await fleet.addVm(t);
  await fleet.announce();
  await fleet.waitForGuards(3);
  await fleet.restartAll(t);
  await fleet.announce();
  await fleet.waitForGuards(3);
  for (const vm of fleet.vms) {
    t.is((await fleet.send(vm, '/safe/x')).status, 200);
  }
});

test('an odd configuration is not followed, and the next one is', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 1);
  const [vm] = fleet.vms;
  for (const text of [
    nested,
    `{"version":${nested}}`,
    '{"version":"r1e300"}',
  ]) {
    fleet.store.write('keyed.op', 'config', Buffer.from(text));
  }
  fleet.store.writeConfig(makeGrownConfig(2));
  await systemClock.sleep(1000);
  t.is((await fleet.send(vm, '/v2/x')).status, 200);
});

test('an odd heartbeat is rejected, and the server stays in use', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 1);
  const [vm] = fleet.vms;
  const {host, port} = vm.settings.announcements;
  const good = {
    service: 'bench',
    address: vm.settings.backendAddress,
    zone: 'z',
    version: 'v1',
    slots: 2,
    state: 'ready',
    warmup_left_ms: 0,
    sequence: 99,
    born: Date.now(),
  };
  for (const body of [
    JSON.stringify({...good, slots: 1e300}),
    JSON.stringify({...good, sequence: 1e300}),
    JSON.stringify({...good, born: 1e300}),
    JSON.stringify({...good, warmup_left_ms: 1e300}),
    JSON.stringify({...good, address: '127.0.0.1:99999'}),
    JSON.stringify({...good, born: Number.MAX_SAFE_INTEGER}),
    `{"service":${nested.slice(0, 30_000)}`,
    `{"service":${'['.repeat(20_000)}${']'.repeat(20_000)}}`,
    'not json',
    '',
  ]) {
    const answer = await fetch(
      `http://${host}:${port}/api/rpc?call=instances.heartbeat&of=s1`,
      {method: 'POST', body},
    );
    t.true(
      [400, 409].includes(answer.status),
      `${answer.status}: ${body.slice(0, 200)}`,
    );
  }
  t.is((await fleet.send(vm, '/safe/x')).status, 200);
});
