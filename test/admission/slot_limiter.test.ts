import {setMaxListeners} from 'node:events';
import test from 'ava';
import fc from 'fast-check';
import * as E from 'fp-ts/lib/Either.js';
import {
  asId,
  makeRandom,
  ManualClock,
  PartnerId,
} from '../../src/base/index.js';
import {SlotPolicy, SlotLimiter, SlotLease} from '../../src/guard/index.js';

const neverAborted = new AbortController().signal;
setMaxListeners(0, neverAborted);
const a = asId<PartnerId>('verlag-a');
const b = asId<PartnerId>('verlag-b');

function makePolicy(maxQueue: number, weights = {}): SlotPolicy {
  const weightsByPartner: Readonly<Record<string, number>> = weights;
  return {maxQueue, getWeight: partner => weightsByPartner[partner] ?? 1};
}

/** A limiter that records the order of its grants; a granted request holds its slot until `end`. */
function makeLimiter(slots: number, policy: SlotPolicy) {
  const clock = new ManualClock();
  const limiter = new SlotLimiter(slots, () => policy, clock);
  const granted: {partner: PartnerId; lease: SlotLease}[] = [];
  const refused: string[] = [];
  const servedOrder: PartnerId[] = [];
  const send = (partner: PartnerId, deadline = 60_000, signal = neverAborted) =>
    limiter.admit(partner, deadline, signal).then(outcome => {
      if (E.isLeft(outcome)) return refused.push(outcome.left);
      servedOrder.push(partner);
      return granted.push({partner, lease: outcome.right});
    });
  const end = async (count = 1) => {
    for (const {lease} of granted.splice(0, count)) lease.release();
    await waitForEventLoop();
  };
  return {
    clock,
    limiter,
    granted,
    refused,
    servedOrder,
    send,
    end,
  };
}

function waitForEventLoop(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

// Guards against first-in-first-out service, where one partner's burst delays the requests of all others.
test('a request of another partner is served next during a burst', async t => {
  const {send, end, servedOrder} = makeLimiter(3, makePolicy(40));
  for (let i = 0; i < 25; i += 1) void send(a);
  await waitForEventLoop();
  await end();
  void send(b);
  await waitForEventLoop();
  await end();
  t.deepEqual(servedOrder, [a, a, a, a, b]);
});

// Guards against fair queuing that ignores the weights of the configuration.
test('contended slots are shared by weight', async t => {
  const policy = makePolicy(40, {'verlag-a': 3, 'verlag-b': 1});
  const {send, end, servedOrder} = makeLimiter(1, policy);
  for (let i = 0; i < 20; i += 1) {
    void send(a);
    void send(b);
  }
  await waitForEventLoop();
  for (let i = 0; i < 16; i += 1) await end();
  const served = servedOrder
    .slice(1, 17)
    .filter(partner => partner === a).length;
  t.is(served, 12);
});

// Guards against one partner filling the whole queue, and against an evicted request that is never refused.
test('a full queue evicts a request of the partner that holds more of it', async t => {
  const {send, limiter, refused} = makeLimiter(1, makePolicy(8));
  for (let i = 0; i < 8; i += 1) void send(a);
  await waitForEventLoop();
  t.deepEqual(refused, ['busy']); // one holds the slot, six wait: one partner may fill 6 of 8 queue entries
  for (let i = 0; i < 4; i += 1) void send(b);
  await waitForEventLoop();
  t.deepEqual(refused, ['busy', 'busy', 'busy']);
  void send(b);
  await waitForEventLoop();
  t.is(refused.length, 4, 'with equal numbers of entries none is evicted');
  t.is(limiter.getLoad().free, 0);
});

// Guards against starvation in the smallest queue, where a burst fills the only entry again after each release.
test('a queue of one entry starves no partner', async t => {
  const {send, end, servedOrder} = makeLimiter(1, makePolicy(1));
  for (let i = 0; i < 40; i += 1) {
    for (let k = 0; k < 5; k += 1) void send(a);
    void send(b);
    await waitForEventLoop();
    await end();
  }
  const served = servedOrder.filter(partner => partner === b).length;
  t.true(served >= 15, `served ${served} of 40`);
});

// Guards against queueing a request that cannot meet its deadline.
test('a request that cannot meet its deadline is refused immediately', async t => {
  const {clock, send, end, refused, granted} = makeLimiter(2, makePolicy(40));
  for (let i = 0; i < 12; i += 1) void send(a);
  await waitForEventLoop();
  await clock.advance(100);
  await end(2);
  void send(b, clock.getTime() + 120); // estimated: waits 50 ms, runs 100 ms
  await waitForEventLoop();
  t.deepEqual(refused, ['busy']);
  void send(b, clock.getTime() + 200);
  await waitForEventLoop();
  t.deepEqual(refused, ['busy']);
  t.is(granted.length, 2);
});

// Guards against granting a slot to a request that has waited too long to meet its deadline, while others still can.
test('a slot goes to a waiter that can still meet its deadline', async t => {
  const {clock, send, end, refused, servedOrder} = makeLimiter(
    1,
    makePolicy(40),
  );
  void send(a);
  await waitForEventLoop();
  await clock.advance(100);
  await end();
  void send(a);
  await waitForEventLoop();
  void send(a, clock.getTime() + 210);
  void send(b, clock.getTime() + 400);
  await waitForEventLoop();
  await clock.advance(120);
  await end();
  t.deepEqual(refused, ['busy']);
  t.deepEqual(servedOrder, [a, a, b]);
});

// Guards against a burst that delays a request of a partner with none waiting by more than the longest response time.
test('a burst delays other partners by at most the longest response time', async t => {
  const seeds = fc.integer({min: 1, max: 1_000_000});
  await fc.assert(
    fc.asyncProperty(seeds, fc.integer({min: 2, max: 5}), async (seed, c) => {
      const clock = new ManualClock();
      const limiter = new SlotLimiter(c, () => makePolicy(16), clock);
      const random = makeRandom(seed);
      const run = async (partner: PartnerId) => {
        const start = clock.getTime();
        const outcome = await limiter.admit(
          partner,
          start + 5000,
          neverAborted,
        );
        if (E.isLeft(outcome)) return Infinity;
        const waited = clock.getTime() - start;
        void clock.sleep(10 + 20 * random()).then(outcome.right.release);
        return waited;
      };
      const waits: Promise<number>[] = [];
      for (let ms = 0; ms < 400; ms += 1) {
        void run(a);
        if (ms % 80 === 79) waits.push(run(b));
        await clock.advance(1);
      }
      await clock.advance(100);
      t.true(Math.max(...(await Promise.all(waits))) <= 30);
    }),
    {seed: 20261204, numRuns: 20},
  );
});

// Guards against an estimate that is updated only by completed responses: a hanging server completes none.
test('a server that stops responding raises the estimate', async t => {
  const {clock, send, end, limiter} = makeLimiter(2, makePolicy(40));
  for (let i = 0; i < 4; i += 1) void send(a);
  await waitForEventLoop();
  await clock.advance(10);
  await end(2);
  t.is(limiter.estimateWait(b, 1), 5);
  await clock.advance(4000);
  t.is(limiter.estimateWait(b, 1), 2000);
});

// Guards against an aborted request that stays in the queue, and against granting a slot to it.
test('a request whose caller disconnects leaves the queue', async t => {
  const {send, end, refused, limiter, servedOrder} = makeLimiter(
    1,
    makePolicy(4),
  );
  const disconnect = new AbortController();
  void send(a);
  void send(a, 60_000, disconnect.signal);
  void send(b);
  disconnect.abort();
  await waitForEventLoop();
  t.deepEqual(refused, ['deadline']);
  await end();
  await end();
  t.deepEqual(servedOrder, [a, b]);
  t.deepEqual(limiter.getLoad(), {free: 1, slots: 1});
});

// Guards against a new queue length or weight that takes effect only for new limiters.
test('a new policy applies to the next request', async t => {
  let policy = makePolicy(0);
  const limiter = new SlotLimiter(1, () => policy, new ManualClock());
  await limiter.admit(a, 1000, neverAborted);
  t.deepEqual(await limiter.admit(a, 1000, neverAborted), E.left('busy'));
  policy = makePolicy(1);
  const waiting = limiter.admit(a, 1000, neverAborted);
  limiter.setSlots(2);
  t.true(E.isRight(await waiting), 'an added slot is granted to a waiter');
});

type Step = readonly ['send' | 'end' | 'leave' | 'time' | 'slots', number];

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.tuple(fc.constant('send' as const), fc.nat(3)),
  fc.tuple(fc.constant('end' as const), fc.nat(9)),
  fc.tuple(fc.constant('leave' as const), fc.nat(20)),
  fc.tuple(fc.constant('time' as const), fc.integer({min: 1, max: 40})),
  fc.tuple(fc.constant('slots' as const), fc.integer({min: 1, max: 6})),
);

// Guards against any order of events that grants more slots than there are or leaks one.
test('slots in use never exceed their number and none is leaked', async t => {
  await fc.assert(
    fc.asyncProperty(fc.array(stepArbitrary, {maxLength: 80}), async steps => {
      const clock = new ManualClock();
      const policy = makePolicy(5, {p0: 4, p1: 0.5});
      const limiter = new SlotLimiter(3, () => policy, clock);
      const callers: AbortController[] = [];
      const leases: SlotLease[] = [];
      let slots = 3;
      let inUse = 0;
      let open = 0;
      for (const [kind, value] of steps) {
        if (kind === 'send') {
          const caller = new AbortController();
          callers.push(caller);
          open += 1;
          const partner = asId<PartnerId>(`p${value}`);
          const deadline = clock.getTime() + 30 * (value + 1);
          void limiter.admit(partner, deadline, caller.signal).then(outcome => {
            open -= 1;
            if (E.isLeft(outcome)) return;
            inUse += 1;
            if (inUse > slots)
              throw new Error(`${inUse} of ${slots} slots in use`);
            leases.push(outcome.right);
          });
        } else if (kind === 'end') {
          const [lease] = leases.splice(value % Math.max(1, leases.length), 1);
          if (lease) inUse -= 1;
          lease?.release();
          lease?.release();
        } else if (kind === 'leave') {
          callers[value % Math.max(1, callers.length)]?.abort();
        } else if (kind === 'time') {
          await clock.advance(value);
        } else {
          slots = value;
          limiter.setSlots(slots);
        }
        await waitForEventLoop();
      }
      while (leases.length > 0) {
        inUse -= 1;
        leases.pop()?.release();
        await waitForEventLoop();
      }
      t.is(open, 0, 'every request was granted or refused');
      t.deepEqual(limiter.getLoad(), {free: slots, slots});
    }),
    {seed: 20261204, numRuns: 150},
  );
});

// Guards against a weight or an order of arrival that makes one partner wait without bound.
test("a partner's first waiting request is served within one round", async t => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.integer({min: 1, max: 5}), {minLength: 2, maxLength: 5}),
      fc.integer({min: 0, max: 30}),
      async (weights, before) => {
        const byName = Object.fromEntries(weights.map((w, i) => [`p${i}`, w]));
        const {send, end, servedOrder} = makeLimiter(
          1,
          makePolicy(200, byName),
        );
        for (let k = 0; k < 30; k += 1) {
          weights.forEach((_, i) => void send(asId<PartnerId>(`p${i}`)));
        }
        await waitForEventLoop();
        await end(1);
        for (let k = 0; k < before; k += 1) await end(1);
        const from = servedOrder.length;
        const lightPartner = asId<PartnerId>('light');
        void send(lightPartner);
        await waitForEventLoop();
        for (let k = 0; k <= weights.length; k += 1) await end(1);
        t.true(servedOrder.slice(from).includes(lightPartner));
      },
    ),
    {seed: 20261204, numRuns: 60},
  );
});

// Guards against queueing a request that its entry can still send to another server.
test('a request that may not queue is refused while all slots are in use', async t => {
  const {limiter} = makeLimiter(1, makePolicy(10));
  t.true(E.isRight(await limiter.admit(a, 1000, neverAborted, false)));
  t.deepEqual(
    await limiter.admit(a, 1000, neverAborted, false),
    E.left('busy'),
  );
});
