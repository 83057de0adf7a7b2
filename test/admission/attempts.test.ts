import test from 'ava';
import fc from 'fast-check';
import {
  asId,
  BackendServerId,
  makeRandom,
  ManualClock,
  ServiceId,
} from '../../src/base/index.js';
import {
  AttemptOutcome,
  AttemptRequest,
  AttemptRunner,
  chooseServer,
  prepareCandidates,
} from '../../src/entry/index.js';
import {GuardResult} from '../../src/guard/index.js';
import {ServerWithVerdict} from '../../src/health/index.js';
import {
  makeFailure,
  makeResponse,
  makeServer,
  makeServers,
  makeService,
  makeRefusal,
} from './builders.js';

type Reply = (server: string, call: number) => GuardResult;

function makeRunner(servers: readonly ServerWithVerdict[], reply: Reply) {
  const clock = new ManualClock();
  const runner = new AttemptRunner(() => servers, clock, makeRandom(7));
  const calls: string[] = [];
  const run = (fields: Partial<AttemptRequest> = {}): Promise<AttemptOutcome> =>
    runner.run({
      service: makeService(),
      deadline: clock.getTime() + 5000,
      signal: new AbortController().signal,
      isIdempotent: true,
      canResendBody: () => true,
      sendToServer: async ({known}) => {
        calls.push(known.report.server);
        return reply(known.report.server, calls.length);
      },
      onServerChoice: () => undefined,
      ...fields,
    });
  return {clock, runner, calls, run};
}

// Guards against reporting a request as not run although its first attempt may have been executed.
test('a refusal after a failed attempt leaves the outcome unknown', async t => {
  const {run} = makeRunner(makeServers(2), (_, call) =>
    call === 1 ? makeFailure('reset') : makeRefusal('busy'),
  );
  t.deepEqual(await run(), {
    kind: 'refused',
    error: {kind: 'server-failed', ran: 'unknown'},
  });
});

// Guards against retries that amplify an overload.
test('under overload retries add at most a tenth of the calls', async t => {
  const {run, calls} = makeRunner(makeServers(9), () => makeRefusal('busy'));
  for (let i = 0; i < 1000; i += 1) {
    t.is((await run()).kind, 'refused');
  }
  t.true(calls.length <= 1000 + 100 + 5, `${calls.length} calls`);
});

// Guards against refusing a request as busy while another backend server has a free slot.
test('a request finds the one server with a free slot', async t => {
  const {run} = makeRunner(makeServers(6), server =>
    server === 's4' ? makeResponse() : makeRefusal('busy'),
  );
  for (let i = 0; i < 300; i += 1) {
    t.is((await run()).kind, 'answered');
  }
});

// Guards against a request that waits for a slot until its deadline while other servers have free slots.
test('a request queues only where no free slot was expected', async t => {
  const queued: boolean[] = [];
  const {run, runner} = makeRunner(makeServers(6), () => makeResponse());
  const sendToServer = async (_: ServerWithVerdict, mayQueue: boolean) => {
    queued.push(mayQueue);
    return queued.length === 1 ? makeRefusal('busy') : makeResponse();
  };
  t.is((await run({sendToServer})).kind, 'answered');
  t.deepEqual(queued, [false, true]);
  for (const {known} of makeServers(6)) {
    runner.loads.record(known.report.server, {free: 0, slots: 3});
  }
  await run({sendToServer});
  t.is(queued[2], true, 'all servers are known to be full');
  await run({sendToServer, canResendBody: () => false});
  t.is(queued[3], true, 'a request whose body can be sent only once may queue');
});

// Guards against one service using up the retries of another.
test('each service has its own retry budget', async t => {
  const {run} = makeRunner(makeServers(4), () => makeFailure('reset'));
  for (let i = 0; i < 300; i += 1) await run();
  const replies = [makeFailure('reset'), makeResponse()];
  const outcome = await run({
    service: makeService({id: asId<ServiceId>('cert-office')}),
    sendToServer: async () => replies.shift() ?? makeRefusal('busy'),
  });
  t.is(outcome.kind, 'answered');
});

// Guards against sending a body again after a part of it was consumed.
test('a streamed body is sent once', async t => {
  const {run, calls} = makeRunner(makeServers(3), () => makeRefusal('busy'));
  const outcome = await run({canResendBody: () => false});
  t.deepEqual(outcome, {kind: 'refused', error: {kind: 'busy', ran: 'no'}});
  t.is(calls.length, 1);
});

const replyArbitrary = fc.array(
  fc.constantFrom<GuardResult>(
    makeRefusal('busy'),
    makeRefusal('draining'),
    makeRefusal('unreachable'),
    makeFailure('reset'),
    makeFailure('timeout'),
    makeResponse(),
  ),
  {minLength: 12, maxLength: 12},
);

// Guards against any order of failures after which a server is tried twice, a non-idempotent request is executed twice
// or the error misreports whether the request was executed.
test('attempts keep their guarantees in any order of failures', async t => {
  await fc.assert(
    fc.asyncProperty(
      replyArbitrary,
      fc.integer({min: 1, max: 8}),
      fc.boolean(),
      async (replies, serverCount, isIdempotent) => {
        const {run, calls} = makeRunner(
          makeServers(serverCount),
          (_, call) => replies[call - 1],
        );
        const outcome = await run({isIdempotent});
        const results = replies.slice(0, calls.length);
        const executions = results.filter(
          ({kind}) => kind !== 'refused',
        ).length;
        t.is(new Set(calls).size, calls.length);
        t.true(executions <= (isIdempotent ? 3 : 1));
        if (outcome.kind === 'refused') {
          t.is(outcome.error.ran, executions > 0 ? 'unknown' : 'no');
        }
      },
    ),
    {seed: 20261204, numRuns: 300},
  );
});

// Guards against evaluating all servers of a service on each request.
test('verdicts are cached until something may have changed them', async t => {
  let evaluations = 0;
  const clock = new ManualClock();
  const listServers = () => {
    evaluations += 1;
    return makeServers(45);
  };
  const {candidates} = new AttemptRunner(listServers, clock, makeRandom(1));
  for (let i = 0; i < 1000; i += 1) candidates.get(makeService());
  t.is(evaluations, 1);
  candidates.reset();
  candidates.get(makeService());
  t.is(evaluations, 2);
  await clock.advance(100);
  candidates.get(makeService());
  t.is(evaluations, 3);
});

// Guards against a choice that ignores weights, verdicts or the servers already tried.
test('the choice follows weights and skips tried and excluded servers', t => {
  const servers = [
    makeServer('full'),
    makeServer('returning', {kind: 'usable', weight: 0.1}),
    makeServer('sick', {kind: 'excluded', reason: 'failing'}),
    makeServer('tried'),
  ];
  const candidates = prepareCandidates(servers);
  const tried = new Set([asId<BackendServerId>('tried')]);
  const loads = {getLoad: () => undefined, countInFlight: () => 0};
  const random = makeRandom(3);
  const counts = new Map<string, number>();
  for (let i = 0; i < 4000; i += 1) {
    const choice = chooseServer(candidates, tried, loads, random);
    const server = choice?.server.known.report.server ?? 'none';
    counts.set(server, (counts.get(server) ?? 0) + 1);
  }
  t.deepEqual([...counts.keys()].sort(), ['full', 'returning']);
  const share = (counts.get('returning') ?? 0) / 4000;
  t.true(share > 0.06 && share < 0.12, `share ${share}`);
});
