// Guards against large request bodies that pile up in a guard, and against running a request of which a part is missing.

import {createServer, Server} from 'node:http';
import {AddressInfo} from 'node:net';
import {Registry} from 'prom-client';
import test, {ExecutionContext} from 'ava';
import {
  asId,
  BackendServerId,
  ByteBudget,
  openSilentLogger,
  ServiceId,
  systemClock,
} from '../../src/base/index.js';
import {MeshMessage} from '../../src/mesh/index.js';
import {platformHeaders} from '../../platform/index.js';
import {noDepartures} from '../../src/sidecar/departures.js';
import {Guard} from '../../src/sidecar/guard.js';
import {buildMetrics} from '../../src/sidecar/metrics.js';
import {waitUntil} from '../platform/test_fleet.js';
import {makeChannel, makeSlotMessage} from './builders.js';

const host = '127.0.0.1';
const size = 200 * 1024;
const session = 'n1/1';
const service = asId<ServiceId>('bench');

/** Starts a server that records the sizes of the bodies it got. */
async function startServer(t: ExecutionContext, sizes: number[]) {
  const server: Server = createServer((request, response) => {
    let bytes = 0;
    request.on('data', (chunk: Buffer) => (bytes += chunk.length));
    request.on('end', () => {
      sizes.push(bytes);
      response
        .writeHead(200, {
          [platformHeaders.requestId]: String(
            request.headers[platformHeaders.requestId],
          ),
          [platformHeaders.signature]: 's',
        })
        .end('ok');
    });
  });
  await new Promise<void>(resolve => server.listen(0, host, resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

async function buildGuard(t: ExecutionContext, sizes: number[]) {
  const port = await startServer(t, sizes);
  const sent: MeshMessage[] = [];
  const channel = makeChannel(message => void sent.push(message));
  const bodies = new ByteBudget(1.5 * size);
  const guard = new Guard(
    {
      getRetryLimits: () => ({ratio: 1, windowMs: 1000, extra: 10}),
      isShuttingDown: () => false,
      countPeers: () => 0,
      isKnownService: () => true,
      saveDepartures: () => Promise.resolve(true),
      reportIdle: () => undefined,
      onStateChange: () => undefined,
    },
    {address: host, backendAddress: `${host}:${port}`, service},
    {bodies, retainedParts: new ByteBudget(size)},
    buildMetrics(new Registry()),
    systemClock,
    openSilentLogger(),
  );
  guard.presence.recordStored(noDepartures);
  await guard.presence.applyReport({
    server: asId<BackendServerId>('s1'),
    service,
    address: `${host}:${port}`,
    slots: 4,
    phase: 'ready',
    warmupMs: 0,
    startedAtMs: 1000,
    sequence: 1,
  });
  guard.openSession(session, channel);
  const request = (id: number) =>
    guard.handle(session, {
      kind: 'request',
      id,
      ...makeSlotMessage(),
      bodyBytes: size,
    });
  const send = (id: number) =>
    guard.handle(session, {
      kind: 'send',
      id,
      method: 'POST',
      target: '/x',
      headers: [],
      body: null,
      bodyBytes: size,
      caller: undefined,
      deadlineInMs: 2000,
    });
  const sendPart = (id: number, bytes: number) =>
    guard.handle(session, {kind: 'body', id, bytes: Buffer.alloc(bytes)});
  const list = (kind: MeshMessage['kind']) =>
    sent.flatMap(message =>
      message.kind === kind && 'id' in message ? [message.id] : [],
    );
  return {guard, channel, bodies, request, send, sendPart, list};
}

test('a body in parts reaches the server whole, and its memory is free again', async t => {
  const sizes: number[] = [];
  const {bodies, request, send, sendPart, list} = await buildGuard(t, sizes);
  request(1);
  t.deepEqual(list('granted'), [1]);
  t.is(bodies.getUsed(), size);
  send(1);
  sendPart(1, size / 2);
  t.deepEqual(sizes, []);
  sendPart(1, size / 2);
  await waitUntil(() => list('end').length === 1);
  t.deepEqual(sizes, [size]);
  t.is(bodies.getUsed(), 0);
});

test('a request whose body does not fit waits for its slot until it does', async t => {
  const {guard, request, list} = await buildGuard(t, []);
  request(1);
  request(2);
  t.deepEqual(list('granted'), [1]);
  t.deepEqual(list('queued'), [2]);
  guard.handle(session, {kind: 'withdraw', id: 1});
  t.deepEqual(list('granted'), [1, 2]);
});

test('a request of which parts are missing when its link is lost was not run and is dropped', async t => {
  const sizes: number[] = [];
  const {guard, channel, bodies, request, send, sendPart} = await buildGuard(
    t,
    sizes,
  );
  request(1);
  send(1);
  sendPart(1, size / 2);
  guard.recordLinkLoss(session);
  t.deepEqual(guard.openSession(session, channel), []);
  sendPart(1, size / 2);
  await systemClock.sleep(100);
  t.deepEqual(sizes, []);
  t.is(bodies.getUsed(), 0);
});

test('bytes beyond the declared size are not held', async t => {
  const sizes: number[] = [];
  const {bodies, request, send, sendPart} = await buildGuard(t, sizes);
  request(1);
  send(1);
  sendPart(1, size / 2);
  sendPart(1, size);
  t.is(bodies.getUsed(), size);
  await systemClock.sleep(100);
  t.deepEqual(sizes, []);
});

test('a large body leaves requests without one their slots', async t => {
  const {guard, bodies, request, list} = await buildGuard(t, []);
  bodies.add(2 * size);
  request(1);
  guard.handle(session, {kind: 'request', id: 2, ...makeSlotMessage()});
  t.deepEqual(list('granted'), [2]);
});
