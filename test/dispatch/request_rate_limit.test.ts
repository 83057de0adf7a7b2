import test from 'ava';
import fc from 'fast-check';
import {RequestRateLimit, SlotQueue} from '../../src/dispatch/index.js';
import {makeSlotRequest} from './builders.js';

const runAny = () => true;
/** Span over which the users count the requests to a limited server, and what they allow it beyond the limit. */
const windowMs = 4000;
const allowedFactor = 1.5;
const allowedExtra = 5;

test('without a limit any number of requests may start', t => {
  const limit = new RequestRateLimit();
  for (let request = 0; request < 1000; request += 1) limit.recordStart(0);
  t.true(limit.canStart(0));
  t.is(limit.estimateWait(50, 0), 0);
});

test('in no window do more requests start than the users allow, whatever arrives and however long VMs freeze', t => {
  fc.assert(
    fc.property(
      fc.double({min: 0.2, max: 40, noNaN: true}),
      fc.array(fc.tuple(fc.integer({min: 0, max: 9000}), fc.boolean()), {
        minLength: 50,
        maxLength: 400,
      }),
      (perSecond, arrivals) => {
        const limit = new RequestRateLimit();
        limit.setLimit(perSecond, 0);
        const starts: number[] = [];
        let now = 0;
        for (const [gapMs, isBurst] of arrivals) {
          now += isBurst ? 0 : gapMs / 50;
          limit.setLimit(perSecond, now);
          if (!limit.canStart(now)) continue;
          limit.recordStart(now);
          starts.push(now);
        }
        const allowed =
          (allowedFactor * perSecond * windowMs) / 1000 + allowedExtra;
        return starts.every(
          from =>
            starts.filter(at => at >= from && at < from + windowMs).length <=
            allowed,
        );
      },
    ),
  );
  t.pass();
});

test('a limit that falls takes effect at once, and a part that was not used comes back', t => {
  const limit = new RequestRateLimit();
  limit.setLimit(20, 0);
  limit.setLimit(2, 5000);
  t.is(limit.countAvailable(5000), 2);
  limit.recordStart(5000);
  limit.recordStart(5000);
  t.false(limit.canStart(5000));
  limit.releaseStart(5000);
  t.true(limit.canStart(5000));
});

test('a server that names a limit of 0 still gets a request now and then', t => {
  const limit = new RequestRateLimit();
  limit.setLimit(0, 0);
  t.false(limit.canStart(1000));
  t.true(limit.canStart(4000));
});

test('the queue of a limited server counts its limit in free slots, waits and requests that cannot be served', t => {
  const queue = new SlotQueue<string>(5);
  queue.rateLimit.setLimit(1, 0);
  t.is(queue.getCounts(0).free, 0);
  t.is(queue.getCounts(1000).free, 1);
  for (const key of ['a', 'b', 'c', 'd']) {
    queue.add(key, makeSlotRequest(), 1000);
  }
  t.is(queue.claimNext(1000, runAny)?.key, 'a');
  t.is(queue.claimNext(1000, runAny), undefined);
  t.is(queue.estimateWait(makeSlotRequest(), 1000), 4000);
  t.deepEqual(queue.listUnservable(1000), ['c', 'd']);
  queue.releaseUnused('a', 1000);
  t.is(queue.claimNext(1000, runAny)?.key, 'b');
});
