import test from 'ava';
import {asId, ManualClock, NodeId} from '../../src/base/index.js';
import {findReachability, NodeBackoff} from '../../src/entry/index.js';

const node = asId<NodeId>('n1');

// Guards against attempts every 2 s at a node that stays unresponsive, each of which costs a caller its whole deadline.
test('the backoff of an unresponsive node doubles with each consecutive failure', async t => {
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

// Guards against backing off from a whole node for one broken connection, and against spending the retry budget on a
// node whose process was killed, where the connection of each new request breaks.
test('two consecutive broken connections start a backoff, one does not', t => {
  const backoff = new NodeBackoff(new ManualClock());
  backoff.record(node, 'broken');
  backoff.record(node, 'reached');
  backoff.record(node, 'broken');
  t.false(backoff.isBackedOff(node));
  backoff.record(node, 'broken');
  t.true(backoff.isBackedOff(node));
});

// Guards against treating the failure of a backend server, as reported by its guard, as the loss of the whole node.
test('an error reported by a guard shows that its node was reached', t => {
  t.is(findReachability({kind: 'refused', reason: 'unreachable'}), 'reached');
  t.is(findReachability({kind: 'failed', reason: 'reset'}), 'reached');
  t.is(findReachability({kind: 'failed', reason: 'node-lost'}), 'broken');
});
