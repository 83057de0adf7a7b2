import test from 'ava';
import {asId, NodeId} from '../../src/base/index.js';
import {
  MembershipNode,
  makeMemoryLog,
  planMembershipFleet,
  waitFor,
} from '../../src/bench/index.js';
import {LogClient} from '../../src/logservice/index.js';

// Guards against a fleet that cannot form after all its VMs were replaced, because no seed answers. Fails for nodes
// that dial only seeds.
test('nodes without a reachable seed find each other through the log, even if it comes up late', async t => {
  const memory = makeMemoryLog();
  let isDown = true;
  const useLog = <A>(run: () => Promise<A>) =>
    isDown ? Promise.reject(new Error('log is down')) : run();
  const log: LogClient = {
    ...memory,
    append: (stream, values) => useLog(() => memory.append(stream, values)),
    read: (...args) => useLog(() => memory.read(...args)),
  };
  const seeds = ['127.63.0.251:9401'];
  const nodes = planMembershipFleet(4, 63, 1).map(
    plan => new MembershipNode({...plan, seeds}, log),
  );
  t.teardown(() =>
    Promise.all(nodes.map(node => node.stop())).then(() => undefined),
  );
  await Promise.all(nodes.map(node => node.start()));
  t.deepEqual(
    nodes[0].roster.list().map(record => record.node),
    [asId<NodeId>('n0')],
  );
  isDown = false;
  await waitFor('whole fleet', 20_000, () =>
    nodes.every(node => node.roster.list().length === nodes.length),
  );
});
