import {createServer} from 'node:net';
import test from 'ava';
import {
  asId,
  ManualClock,
  BatchingLogger,
  DataCentreId,
  NodeId,
  openSilentLogger,
  systemClock,
} from '../../src/base/index.js';
import {Mesh, MeshHandlers} from '../../src/mesh/index.js';
import {waitUntil} from '../platform/test_fleet.js';

/** Free on the addresses of this file. */
const linkPort = 21_900 + (process.pid % 90);

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

function startMesh(
  name: string,
  address: string,
  onPeerUp: MeshHandlers['onPeerUp'],
  signal: AbortSignal,
): Promise<Mesh> {
  const node = asId<NodeId>(name);
  const mesh = new Mesh(
    {node, address, port: linkPort},
    {
      ...makeHandlers(),
      onPeerUp,
      makeHello: () => ({
        kind: 'hello',
        node,
        incarnation: 1,
        address: `${address}:${linkPort}`,
        dataCentre: asId<DataCentreId>('z'),
        isJoined: true,
        routingVersion: 0,
        guard: {kind: 'closed', reason: 'no-server'},
      }),
    },
    systemClock,
    () => 0.5,
    openSilentLogger(),
    new BatchingLogger(systemClock, openSilentLogger()),
  );
  return mesh.start(signal).then(() => mesh);
}

// Guards against an odd record, under another node id, that makes a node replace a good link again and again.
test('a record that names the address of another node does not disturb the link to that node', async t => {
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  let links = 0;
  const {signal} = stop;
  const countLink = () => (links += 1);
  const a = await startMesh('a', '127.0.0.3', countLink, signal);
  await startMesh('b', '127.0.0.4', handleNothing, signal);
  a.addNode(asId<NodeId>('b'), `127.0.0.4:${linkPort}`);
  await waitUntil(() => links === 1);
  a.addNode(asId<NodeId>('odd'), `127.0.0.4:${linkPort}`);
  a.addNode(asId<NodeId>('self'), `127.0.0.3:${linkPort}`);
  a.addNode(asId<NodeId>('far'), '127.0.0.4:99999');
  await systemClock.sleep(3000);
  t.is(links, 1);
  t.is(a.countNodes(), 1);
});
