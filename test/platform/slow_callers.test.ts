// Guards against callers that take a long answer slowly, or not at all: the answer must not pile up in the nodes (LOST of
// the review, case 1: a process over its memory limit ends all other requests of its VM), and others must be served.

import {ClientRequest, get} from 'node:http';
import test, {ExecutionContext} from 'ava';
import {systemClock} from '../../src/base/index.js';
import {platformHeaders} from '../../platform/index.js';
import {makeConfig, TestFleet, Vm, waitUntil} from './test_fleet.js';

const observeMs = 1500;
/** Three connections on the way hold some MB each in the kernel of the machine. */
const maxUntakenBytes = 48 * 1024 * 1024;

/** Sends a request whose answer the caller takes at most at a pace; 0 takes nothing. */
function getSlowly(
  {settings}: Vm,
  id: string,
  bytesPerMs: number,
): ClientRequest {
  const {host, port} = settings.callers;
  const request = get(
    {
      host,
      port,
      path: '/safe/x',
      agent: false,
      headers: {
        host: 'h',
        [platformHeaders.requestId]: id,
        [platformHeaders.remainingMs]: '8000',
      },
    },
    response => {
      response.on('error', () => undefined);
      if (bytesPerMs === 0) return;
      response.on('data', (chunk: Buffer) => {
        response.pause();
        setTimeout(() => response.resume(), chunk.length / bytesPerMs);
      });
    },
  );
  request.on('error', () => undefined);
  return request;
}

async function startFleet(t: ExecutionContext, vms: number) {
  const fleet = new TestFleet();
  await fleet.start(t, vms);
  const {safe} = makeConfig(2).routes;
  const slow = {...safe, timeout_ms: 8000, target_latency_ms: 5000};
  fleet.store.writeConfig(makeConfig(2, {safe: slow}));
  await systemClock.sleep(1000);
  return fleet;
}

for (const [name, vms] of [
  ['of its own VM', 1],
  ['of another VM', 2],
] as const) {
  test.serial(
    `an answer without end ${name} waits for its caller, and other requests are served`,
    async t => {
      const fleet = await startFleet(t, vms);
      const [caller] = fleet.vms;
      const {backend} = fleet.vms[vms - 1];
      if (vms > 1) await caller.backend.announce('draining');
      backend.mode = 'endless';
      const requests = [getSlowly(caller, 'slow-1', 0)];
      await waitUntil(() => backend.endlessBytes > 0);
      backend.mode = 'good';
      await systemClock.sleep(observeMs);
      const untaken = backend.endlessBytes;
      t.true(untaken < maxUntakenBytes, `${untaken} bytes`);
      const {status} = await fleet.send(caller, '/safe/x');
      t.is(status, 200);
      for (const request of requests) request.destroy();
    },
  );
}

test.serial('a caller gets a long answer at its own pace', async t => {
  const fleet = await startFleet(t, 2);
  const [caller, {backend}] = fleet.vms;
  await caller.backend.announce('draining');
  backend.mode = 'endless';
  const request = getSlowly(caller, 'steady', 10_000);
  let taken = 0;
  request.once('response', response =>
    response.on('data', (chunk: Buffer) => (taken += chunk.length)),
  );
  await waitUntil(() => backend.endlessBytes > 0);
  await systemClock.sleep(observeMs);
  t.true(taken > observeMs * 5000, `${taken} bytes taken`);
  const untaken = backend.endlessBytes - taken;
  t.true(untaken < maxUntakenBytes, `${untaken} bytes`);
  request.destroy();
});
