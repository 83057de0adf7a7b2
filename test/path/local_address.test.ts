import {createServer} from 'node:http';
import test from 'ava';
import {asId, systemClock} from '../../src/base/index.js';
import {GuardClient} from '../../src/entry/index.js';
import {createLogClient} from '../../src/logservice/index.js';
import {NodeCallClient} from '../../src/nodecalls/index.js';

const own = '127.0.9.9';

async function openWitness() {
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

// Guards against outgoing connections from another address than the node's own: on a VM with several addresses,
// partitions and firewalls by address would then apply to the wrong one. It happened: undici takes the local
// address as an option of its client and silently drops it from the options of its connector.
test('a node connects from its own address', async t => {
  const witness = await openWitness();
  const calls = new NodeCallClient('cluster-key', own);
  const guards = new GuardClient('cluster-key', systemClock, own);
  const log = createLogClient({
    url: `http://${witness.address}`,
    timeoutMs: 1000,
    localAddress: own,
  });
  await t.throwsAsync(calls.call(witness.address, 'any', {}, 1000));
  await guards.send(witness.address, {
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
  t.deepEqual(witness.sources, [own, own, own]);
  await Promise.all([calls.close(), log.close()]);
  witness.close();
});
