import {createServer} from 'node:http';
import test from 'ava';
import {asId, systemClock} from '../../src/base/index.js';
import {GuardClient} from '../../src/entry/index.js';
import {createLogClient} from '../../src/logservice/index.js';
import {NodeCallClient} from '../../src/nodecalls/index.js';

const ownAddress = '127.0.9.9';

async function startRecordingServer() {
  const sources: string[] = [];
  const server = createServer((request, response) => {
    sources.push(request.socket.remoteAddress ?? '');
    response.statusCode = 500;
    response.end();
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as {port: number};
  return {address: `127.0.0.1:${port}`, sources, close: () => server.close()};
}

// Guards against outgoing connections from an address other than the node's own; on a VM with several addresses,
// firewalls and partitions by address would then apply to the wrong one. undici accepts the local address as an option
// of its client, and silently ignores it among the options of its connector.
test('a node connects from its own address', async t => {
  const recorder = await startRecordingServer();
  const nodeCalls = new NodeCallClient('cluster-key', ownAddress);
  const guardClient = new GuardClient('cluster-key', systemClock, ownAddress);
  const log = createLogClient({
    url: `http://${recorder.address}`,
    timeoutMs: 1000,
    localAddress: ownAddress,
  });
  await t.throwsAsync(nodeCalls.call(recorder.address, 'any', {}, 1000));
  await guardClient.send(recorder.address, {
    requestId: asId('r1'),
    server: asId('b1'),
    partner: asId('p1'),
    method: 'GET',
    path: '/',
    headers: {},
    body: null,
    deadline: systemClock.getTime() + 1000,
    signal: new AbortController().signal,
    mayQueue: true,
  });
  await t.throwsAsync(log.read('config', 0, 1));
  t.deepEqual(recorder.sources, [ownAddress, ownAddress, ownAddress]);
  await Promise.all([nodeCalls.close(), log.close()]);
  recorder.close();
});
