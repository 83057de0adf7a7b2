import test from 'ava';
import {asId, ManualClock, NodeId} from '../../src/base/index.js';
import {findReachability, NodeBackoff} from '../../src/entry/index.js';

const node = asId<NodeId>('n1');

// Guards against paying a whole deadline again every 2 s for a node that stays silent.
test('a silent node is left out for longer after each failure in a row', async t => {
  const clock = new ManualClock();
  const memory = new NodeBackoff(clock);
  const lengths: number[] = [];
  for (let i = 0; i < 6; i += 1) {
    memory.record(node, 'lost');
    memory.record(node, 'lost');
    const start = clock.getTime();
    while (memory.isBackedOff(node)) await clock.advance(500);
    lengths.push(clock.getTime() - start);
  }
  t.deepEqual(lengths, [2000, 4000, 8000, 16_000, 30_000, 30_000]);
  memory.record(node, 'reached');
  memory.record(node, 'lost');
  await clock.advance(2000);
  t.false(memory.isBackedOff(node));
});

// Guards against leaving out a whole node for one broken connection, and against spending the retry budget on a node
// whose process was killed: each request to it would break anew.
test('two connections broken in a row leave a node out, one does not', t => {
  const memory = new NodeBackoff(new ManualClock());
  memory.record(node, 'broken');
  memory.record(node, 'reached');
  memory.record(node, 'broken');
  t.false(memory.isBackedOff(node));
  memory.record(node, 'broken');
  t.true(memory.isBackedOff(node));
});

// Guards against taking a dead backend server, which its guard reports, for the loss of its whole node.
test('what a guard reports counts as a reply', t => {
  t.is(findReachability({kind: 'refused', reason: 'unreachable'}), 'reached');
  t.is(findReachability({kind: 'failed', reason: 'reset'}), 'reached');
  t.is(findReachability({kind: 'failed', reason: 'node-lost'}), 'broken');
});
