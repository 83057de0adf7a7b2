import {createServer} from 'node:http';
import test from 'ava';
import {NodeCallClient, NodeCallServer} from '../../src/nodecalls/index.js';

async function startCallee(clusterKey: string) {
  const calls = new NodeCallServer(clusterKey);
  calls.register('double', async body => Number(body) * 2);
  const server = createServer(
    (request, response) => void calls.handle(request, response),
  );
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as {port: number};
  return {address: `127.0.0.1:${port}`, close: () => server.close()};
}

// Guards against a process without the cluster key making calls to a node.
test('a call needs the cluster key', async t => {
  const callee = await startCallee('right-key');
  const member = new NodeCallClient('right-key');
  const outsider = new NodeCallClient('wrong-key');
  t.is(await member.call(callee.address, 'double', 21, 1000.5), 42);
  await t.throwsAsync(outsider.call(callee.address, 'double', 21, 1000), {
    message: /cluster key/,
  });
  await t.throwsAsync(member.call(callee.address, 'halve', 1, 1000), {
    message: /unknown call halve/,
  });
  await Promise.all([member.close(), outsider.close()]);
  callee.close();
});
