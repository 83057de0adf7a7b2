import test from 'ava';
import {SlotQueue} from '../../src/dispatch/index.js';
import {makeSlotRequest} from './builders.js';

const runAny = () => true;

test('no more requests run than there are slots', t => {
  const queue = new SlotQueue<string>(2);
  for (const key of ['a', 'b', 'c']) queue.add(key, makeSlotRequest(), 0);
  t.truthy(queue.claimNext(0, runAny));
  t.truthy(queue.claimNext(0, runAny));
  t.is(queue.claimNext(0, runAny), undefined);
  queue.release('a');
  t.is(queue.claimNext(0, runAny)?.key, 'c');
});

test('a request that can still meet its target goes before a late one of higher priority', t => {
  const queue = new SlotQueue<string>(1);
  queue.add('late', makeSlotRequest({priority: 0, targetAt: 50}), 0);
  queue.add('in time', makeSlotRequest({priority: 2}), 0);
  t.is(queue.claimNext(0, runAny)?.key, 'in time');
});

test('among requests in time, priority and then the latest start decide', t => {
  const queue = new SlotQueue<string>(3);
  queue.add('long slack', makeSlotRequest({targetAt: 2000}), 0);
  queue.add('short slack', makeSlotRequest({targetAt: 500}), 0);
  queue.add('urgent', makeSlotRequest({priority: 0, targetAt: 2500}), 0);
  const order = [1, 2, 3].map(() => queue.claimNext(0, runAny)?.key);
  t.deepEqual(order, ['urgent', 'short slack', 'long slack']);
});

test('a request that must not run now does not hold back the next one', t => {
  const queue = new SlotQueue<string>(1);
  queue.add('unsafe', makeSlotRequest({isIdempotent: false, priority: 0}), 0);
  queue.add('safe', makeSlotRequest(), 0);
  t.is(queue.claimNext(0, ({isIdempotent}) => isIdempotent)?.key, 'safe');
});

test('requests whose deadline cannot be met are listed', t => {
  const queue = new SlotQueue<string>(1);
  queue.add('hopeless', makeSlotRequest({deadlineAt: 50}), 0);
  queue.add('possible', makeSlotRequest(), 0);
  t.deepEqual(queue.listTooLateToStart(0), ['hopeless']);
});

test('the estimated wait counts what runs and what goes first, by share', t => {
  const queue = new SlotQueue<string>(2);
  t.is(queue.estimateWait(makeSlotRequest(), 0), 0);
  queue.add('a', makeSlotRequest({expectedMs: 400}), 0);
  queue.add('b', makeSlotRequest({expectedMs: 400}), 0);
  queue.claimNext(0, runAny);
  queue.claimNext(0, runAny);
  t.is(queue.estimateWait(makeSlotRequest(), 0), 400);
  queue.add('c', makeSlotRequest({expectedMs: 400, share: 0.5}), 0);
  const later = makeSlotRequest({priority: 2});
  t.is(queue.estimateWait(later, 0), 500);
});
