import test from 'ava';
import {systemClock} from '../../src/base/index.js';
import {CallerAnswer, TestFleet, waitUntil} from './test_fleet.js';

/** Time after its first naming from which a limit binds, at the first users. */
const stableMs = 3000;
/** Span over which the users count the requests to a limited server. */
const windowMs = 4000;

/** Requests that the users allow a limited server to get in a window. */
function countAllowed(limitPerSecond: number): number {
  return (1.5 * limitPerSecond * windowMs) / 1000 + 5;
}

/** Largest number of arrivals in any window that begins after `from`. */
function countBusiestWindow(arrivals: readonly number[], from: number): number {
  const counted = arrivals.filter(at => at >= from);
  return Math.max(
    0,
    ...counted.map(
      start =>
        counted.filter(at => at >= start && at < start + windowMs).length,
    ),
  );
}

/** Sends requests to all VMs in turn at a constant rate, without waiting for their answers. */
async function sendSteadily(
  fleet: TestFleet,
  intervalMs: number,
  durationMs: number,
): Promise<readonly CallerAnswer[]> {
  const answers: Promise<CallerAnswer>[] = [];
  const end = Date.now() + durationMs;
  for (let sent = 0; Date.now() < end; sent += 1) {
    answers.push(fleet.send(fleet.vms[sent % fleet.vms.length], '/safe/x'));
    await systemClock.sleep(intervalMs);
  }
  return Promise.all(answers);
}

test.serial(
  'a server does not get more requests than the limit that it named allows',
  async t => {
    const fleet = new TestFleet();
    await fleet.start(t, 2);
    const [{backend}, other] = fleet.vms;
    backend.limit = '2.0';
    // The other server takes 20 of 33 requests a second.
    other.backend.workMs = 100;
    const start = Date.now();
    const answers = await sendSteadily(fleet, 30, stableMs + windowMs + 1000);
    const most = countBusiestWindow(backend.arrivals, start + stableMs);
    t.true(most <= countAllowed(2), `${most} requests`);
    t.true(most >= 4, `${most} requests: the limit is not used`);
    t.deepEqual(
      answers.filter(({status}) => status !== 200 && status !== 503),
      [],
    );
  },
);

test.serial('what exceeds a limit goes to the other servers', async t => {
  const fleet = new TestFleet();
  await fleet.start(t, 2);
  fleet.vms[0].backend.limit = '2.0';
  const answers = await sendSteadily(fleet, 30, 3000);
  t.true(answers.every(({status}) => status === 200));
});

test.serial(
  'a server gets all requests again once it names no limit any more',
  async t => {
    const fleet = new TestFleet();
    await fleet.start(t, 1);
    const [{backend}] = fleet.vms;
    backend.limit = '4';
    await sendSteadily(fleet, 50, 1000);
    backend.limit = undefined;
    await waitUntil(
      async () => (await fleet.send(fleet.vms[0], '/safe/x')).status === 200,
    );
    const answers = await sendSteadily(fleet, 30, 1000);
    t.true(answers.every(({status}) => status === 200));
  },
);

test.serial(
  'a request is rejected at once when no server can take it within its limit',
  async t => {
    const fleet = new TestFleet();
    await fleet.start(t, 1);
    const [{backend}] = fleet.vms;
    backend.limit = '0.5';
    await fleet.send(fleet.vms[0], '/safe/x');
    const start = Date.now();
    const durations: number[] = [];
    const answers = await Promise.all(
      Array.from({length: 12}, async () => {
        const answer = await fleet.send(fleet.vms[0], '/safe/x');
        if (answer.status === 503) durations.push(Date.now() - start);
        return answer;
      }),
    );
    t.true(answers.some(({status}) => status === 200));
    t.true(durations.length >= 9, `${durations.length} of 12 rejected`);
    t.true(
      Math.max(...durations) < 500,
      `rejected after ${String(durations)} ms`,
    );
  },
);

test.serial(
  'a restarted node knows the limit that its server named before',
  async t => {
    const fleet = new TestFleet();
    await fleet.start(t, 2);
    const [{backend}] = fleet.vms;
    backend.limit = '1';
    await sendSteadily(fleet, 5, 200);
    await fleet.restartNode(t, 0);
    await backend.announce();
    await fleet.waitForGuards(2);
    backend.mode = 'shed';
    const start = Date.now();
    await sendSteadily(fleet, 10, windowMs);
    const most = countBusiestWindow(backend.arrivals, start);
    t.true(most <= countAllowed(1), `${most} requests`);
  },
);

test.serial(
  'a server that says in an answer that it leaves gets no more requests',
  async t => {
    const fleet = new TestFleet();
    await fleet.start(t, 2);
    const [{backend}] = fleet.vms;
    backend.isLeaving = true;
    await sendSteadily(fleet, 2, 50);
    t.true(backend.runs.length > 0);
    await backend.announce();
    const before = backend.arrivals.length;
    const answers = await sendSteadily(fleet, 30, 1000);
    t.is(backend.arrivals.length, before);
    t.true(answers.every(({status}) => status === 200));
  },
);

test.serial(
  'a server that said it leaves gets no requests after a restart of its node while the store is away',
  async t => {
    const fleet = new TestFleet();
    await fleet.start(t, 2);
    const [{backend}] = fleet.vms;
    fleet.store.mode = 'busy';
    backend.isLeaving = true;
    await sendSteadily(fleet, 2, 50);
    t.true(backend.runs.length > 0);
    const restarted = fleet.restartNode(t, 0);
    await systemClock.sleep(2500);
    await backend.announce();
    const before = backend.arrivals.length;
    const answers = await Promise.all(
      Array.from({length: 20}, () => fleet.send(fleet.vms[1], '/safe/x')),
    );
    t.is(backend.arrivals.length, before);
    t.true(answers.some(({status}) => status === 200));
    fleet.store.mode = 'ok';
    await restarted;
  },
);
