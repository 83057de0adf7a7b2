// Guards against large request bodies that are changed on their way in parts, or that take the memory of a node.

import {createHash, randomBytes} from 'node:crypto';
import {request} from 'undici';
import test, {ExecutionContext} from 'ava';
import {systemClock} from '../../src/base/index.js';
import {platformHeaders} from '../../platform/index.js';
import {makeConfig, TestFleet, Vm} from './test_fleet.js';

const maxBodyBytes = 64 * 1024 * 1024;

async function startFleet(t: ExecutionContext, vms: number) {
  const fleet = new TestFleet();
  await fleet.start(t, vms);
  const config = makeConfig(2);
  const limits = {...config.limits, max_body_bytes: maxBodyBytes};
  fleet.store.writeConfig({...config, limits});
  await systemClock.sleep(1000);
  return fleet;
}

async function postBody({settings}: Vm, id: string, body: Buffer) {
  const {host, port} = settings.callers;
  const answer = await request(`http://${host}:${port}/unsafe/x`, {
    method: 'POST',
    body,
    headers: {
      host: 'h',
      [platformHeaders.requestId]: id,
      [platformHeaders.remainingMs]: '3000',
    },
  });
  await answer.body.dump();
  return answer.statusCode;
}

function hash(body: Buffer): string {
  return createHash('sha256').update(body).digest('hex');
}

for (const [name, vms] of [
  ['its own VM', 1],
  ['another VM', 2],
] as const) {
  test.serial(
    `a large body reaches the server of ${name} unchanged`,
    async t => {
      const fleet = await startFleet(t, vms);
      const [vm] = fleet.vms;
      const {backend} = fleet.vms[vms - 1];
      if (vms > 1) await vm.backend.announce('draining');
      const received: string[] = [];
      backend.workMs = 500;
      backend.onRun = message => {
        const chunks: Buffer[] = [];
        message.on('data', (chunk: Buffer) => chunks.push(chunk));
        message.on('end', () => received.push(hash(Buffer.concat(chunks))));
      };
      const bodies = [70_000, 3_000_001, 12_000_000].map(bytes =>
        randomBytes(bytes),
      );
      for (const [index, body] of bodies.entries()) {
        t.is(await postBody(vm, `up-${index}`, body), 200);
      }
      t.deepEqual(received, bodies.map(hash));
    },
  );
}

test.serial(
  'bodies that do not fit together are refused as not run, and later ones are served',
  async t => {
    const fleet = await startFleet(t, 2);
    const [vm] = fleet.vms;
    const body = Buffer.alloc(36 * 1024 * 1024, 'x');
    const statuses = await Promise.all(
      ['a', 'b', 'c', 'd'].map(id => postBody(vm, id, body)),
    );
    t.true(statuses.includes(503), String(statuses));
    t.true(
      statuses.every(status => [200, 503, 504].includes(status)),
      String(statuses),
    );
    t.is(await postBody(vm, 'e', Buffer.alloc(100_000)), 200);
  },
);
