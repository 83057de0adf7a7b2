import test from 'ava';
import {systemClock} from '../../src/base/index.js';
import {makeConfig, TestFleet, waitUntil} from './test_fleet.js';

/** Grace period of the nodes of a test fleet. */
const graceMs = 4000;

for (const [name, path, options] of [
  ['may be repeated', '/slow-safe/x', {}],
  ['must not be repeated', '/slow-unsafe/x', {method: 'POST'}],
] as const) {
  test(`a request that comes late in the grace period of a stop is answered or refused, not cut: it ${name}`, async t => {
    const fleet = new TestFleet();
    await fleet.start(t, 2);
    const {safe, unsafe} = makeConfig(1).routes;
    const slow = {target_latency_ms: 4800, timeout_ms: 8000};
    fleet.store.writeConfig(
      makeConfig(2, {
        slowSafe: {...safe, ...slow, path_prefix: '/slow-safe/'},
        slowUnsafe: {...unsafe, ...slow, path_prefix: '/slow-unsafe/'},
      }),
    );
    for (const {backend} of fleet.vms) backend.workMs = 1600;
    await waitUntil(
      async () =>
        (await fleet.send(fleet.vms[0], path, options)).status !== 404,
    );
    const [vm] = fleet.vms;
    await Promise.all(fleet.vms.map(other => fleet.send(other, path, options)));
    await Promise.all(fleet.vms.map(other => fleet.send(other, path, options)));
    const stopped = vm.node.stop();
    const stoppedAt = systemClock.getTime();
    const answers: Promise<number>[] = [];
    for (const sendAt of [200, 1200, 2250, 2400, 2550]) {
      await systemClock.sleep(stoppedAt + sendAt - systemClock.getTime());
      answers.push(
        fleet.send(vm, path, options).then(
          ({status}) => status,
          () => 0,
        ),
      );
    }
    // The program ends here; what is open then gets no answer.
    void stopped.then(() => vm.node.abort());
    const statuses = await Promise.all(answers);
    t.true(systemClock.getTime() < stoppedAt + graceMs);
    t.deepEqual(
      statuses.filter(status => status !== 200 && status !== 503),
      [],
    );
    t.true(statuses.includes(200));
    t.is(statuses.at(-1), 503);
  });
}
