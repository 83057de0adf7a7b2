import {createServer} from 'node:net';
import test from 'ava';
import {
  asId,
  ManualClock,
  BatchingLogger,
  NodeId,
  openSilentLogger,
} from '../../src/base/index.js';
import {Mesh, MeshHandlers} from '../../src/mesh/index.js';
import {waitUntil} from '../platform/test_fleet.js';

function handleNothing(): void {}

function makeHandlers(): MeshHandlers {
  return {
    makeHello: () => {
      throw new Error('no link was expected');
    },
    onEntryMessage: handleNothing,
    onGuardMessage: handleNothing,
    onPeerUp: handleNothing,
    onPeerDown: handleNothing,
    onGuardChange: handleNothing,
    onIdleReport: () => undefined,
    onHeard: () => undefined,
    onActiveExchanges: handleNothing,
    onRoutingVersion: handleNothing,
    onRoutingRequest: handleNothing,
    onRoutingDocument: handleNothing,
  };
}

/** Listens on a loopback address, closes each connection at once and counts them. */
async function startClosingPeer(address: string) {
  let dials = 0;
  const server = createServer(socket => {
    dials += 1;
    socket.destroy();
  });
  await new Promise<void>(resolve => server.listen(0, address, resolve));
  const bound = server.address();
  if (bound === null || typeof bound === 'string') throw new Error('no port');
  return {
    port: bound.port,
    countDials: () => dials,
    stop: () => server.close(),
  };
}

// Guards against dialling tasks that continue after the mesh was stopped and keep the process from exiting.
test('a stopped mesh does not redial peers', async t => {
  const peer = await startClosingPeer('127.0.0.2');
  const clock = new ManualClock();
  const stop = new AbortController();
  const mesh = new Mesh(
    {node: asId<NodeId>('a'), address: '127.0.0.1', port: peer.port},
    makeHandlers(),
    clock,
    () => 0.5,
    openSilentLogger(),
    new BatchingLogger(clock, openSilentLogger()),
  );
  await mesh.start(stop.signal);
  mesh.addNode(asId<NodeId>('b'), `127.0.0.2:${peer.port}`);
  await waitUntil(() => peer.countDials() === 1);
  await waitUntil(() => clock.countPendingTimers() > 1);
  stop.abort();
  for (let i = 0; i < 10; i++) {
    await clock.advance(2000);
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  t.is(peer.countDials(), 1);
  peer.stop();
});
