import test from 'ava';
import {systemClock} from '../../src/base/index.js';
import {TestFleet} from './test_fleet.js';

/** Time after the end of a fault of its own from which a server counts as sound, at the first users. */
const soundAfterMs = 2000;
/** Length of the windows in which sound servers must get requests, at the first users. */
const windowMs = 2000;

for (const [name, mode, options] of [
  ['hung requests that may be repeated', 'hang', {}],
  ['failed requests that may be repeated', 'error', {}],
  ['hung filings', 'hang', {method: 'POST'}],
] as const) {
  test(`a server gets requests again after a fault although others are free: ${name}`, async t => {
    const fleet = new TestFleet();
    await fleet.start(t, 4);
    const path = 'method' in options ? '/unsafe/x' : '/safe/x';
    let isDone = false;
    const answers: Promise<unknown>[] = [];
    const load = (async () => {
      for (let index = 0; !isDone; index += 1) {
        const vm = fleet.vms[index % fleet.vms.length];
        answers.push(fleet.send(vm, path, options).catch(() => undefined));
        await systemClock.sleep(40);
      }
    })();
    const {backend} = fleet.vms[3];
    await systemClock.sleep(1000);
    backend.mode = mode;
    await systemClock.sleep(2000);
    backend.mode = 'good';
    await systemClock.sleep(soundAfterMs);
    const before = backend.runs.length;
    await systemClock.sleep(windowMs);
    t.true(backend.runs.length > before);
    isDone = true;
    await load;
    await Promise.all(answers);
  });
}
