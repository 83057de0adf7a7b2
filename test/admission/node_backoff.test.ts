import test from 'ava';
import {asId, ManualClock, NodeId} from '../../src/base/index.js';
import {findReachability, NodeBackoff} from '../../src/entry/index.js';

const node = asId<NodeId>('n1');

// Guards against paying a whole deadline again every 2 s for a node that stays silent.
test('a silent node is left out for longer after each failure in a row', async t => {
  const clock = new ManualClock();
  const backoff = new NodeBackoff(clock);
  const lengths: number[] = [];
  for (let i = 0; i < 6; i += 1) {
    backoff.record(node, 'lost');
    backoff.record(node, 'lost');
    const start = clock.getTime();
    while (backoff.isBackedOff(node)) await clock.advance(500);
    lengths.push(clock.getTime() - start);
  }
  t.deepEqual(lengths, [2000, 4000, 8000, 16_000, 30_000, 30_000]);
  backoff.record(node, 'reached');
  backoff.record(node, 'lost');
  await clock.advance(2000);
  t.false(backoff.isBackedOff(node));
});

// Guards against leaving out a whole node for one broken connection, and against spending the retry budget on a node
// whose process was killed: each request to it would break anew.
test('two connections broken in a row leave a node out, one does not', t => {
  const backoff = new NodeBackoff(new ManualClock());
  backoff.record(node, 'broken');
  backoff.record(node, 'reached');
  backoff.record(node, 'broken');
  t.false(backoff.isBackedOff(node));
  backoff.record(node, 'broken');
  t.true(backoff.isBackedOff(node));
});

// Guards against taking a dead backend server, which its guard reports, for the loss of its whole node.
test('what a guard reports counts as a reply', t => {
  t.is(findReachability({kind: 'refused', reason: 'unreachable'}), 'reached');
  t.is(findReachability({kind: 'failed', reason: 'reset'}), 'reached');
  t.is(findReachability({kind: 'failed', reason: 'node-lost'}), 'broken');
});
