import {createServer, Server} from 'node:http';
import {AddressInfo} from 'node:net';
import {PassThrough, Readable} from 'node:stream';
import {text} from 'node:stream/consumers';
import test, {ExecutionContext} from 'ava';
import {
  asId,
  ManualClock,
  openSilentLogger,
  systemClock,
} from '../../src/base/index.js';
import {emptyConfiguration} from '../../src/config/index.js';
import {Guard, GuardAnswer, GuardCall} from '../../src/guard/index.js';
import {ExchangeWatch} from '../../src/guard/exchange_watch.js';

const server = asId<GuardCall['server']>('hisskalender-1');

/** A guard beside one backend server that the test controls, when the cold start of the server is over. */
async function startGuard(
  t: ExecutionContext,
  backend: Server,
): Promise<{guard: Guard; call(change?: Partial<GuardCall>): Promise<string>}> {
  await new Promise<void>(resolve => backend.listen(0, '127.0.0.1', resolve));
  const {port} = backend.address() as AddressInfo;
  let shiftMs = 0;
  const clock = {
    ...systemClock,
    getTime: () => systemClock.getTime() + shiftMs,
  };
  const guard = new Guard(
    {
      getConfiguration: () => emptyConfiguration,
      getBaseline: () => 20,
      onReportChange: () => {},
    },
    clock,
    openSilentLogger(),
  );
  const announceServer = () =>
    guard.announce({
      server,
      service: 'hisskalender',
      pool: 'hisskalender',
      address: `127.0.0.1:${port}`,
      incarnation: 1,
      slots: 5,
      phase: 'ready',
    });
  announceServer();
  guard.listReports();
  shiftMs = 100_000;
  announceServer();
  t.teardown(() => {
    backend.closeAllConnections();
    backend.close();
  });
  const call = async (change: Partial<GuardCall> = {}): Promise<string> =>
    readAnswer(
      await guard.serve({
        requestId: asId('r1'),
        server,
        partner: asId('verlag-a'),
        method: 'GET',
        path: '/',
        headers: {},
        body: null,
        deadline: clock.getTime() + 2000,
        signal: new AbortController().signal,
        ...change,
      }),
    );
  return {guard, call};
}

async function readAnswer(answer: GuardAnswer): Promise<string> {
  if (answer.kind !== 'answer') return `${answer.kind}: ${answer.reason}`;
  return text(answer.body).catch(() => 'broken');
}

async function callUntilEjected(
  guard: Guard,
  call: () => Promise<unknown>,
): Promise<unknown> {
  for (let i = 0; i < 25; i += 1) {
    await call();
    const [{health}] = guard.listReports();
    if (health.kind === 'ejected') return health.reason;
    await systemClock.sleep(50);
  }
  return 'not ejected';
}

// Guards against a truncated answer that passes for a good one, or for a caller that went away.
test('answers cut in the body count as failures', async t => {
  const backend = createServer((_request, response) => {
    response.writeHead(200, {'content-length': 100});
    response.write('half');
    setImmediate(() => response.destroy());
  });
  const {guard, call} = await startGuard(t, backend);
  t.is(await call(), 'broken');
  t.is(await callUntilEjected(guard, call), 'failing');
});

// Guards against a slow server that leaves no trace because its callers give up first.
test('a server whose callers go away before the answer is ejected as slow', async t => {
  const {guard, call} = await startGuard(
    t,
    createServer(() => {}),
  );
  const callAndLeave = () => call({signal: AbortSignal.timeout(80)});
  t.is(await callUntilEjected(guard, callAndLeave), 'slow');
});

// Guards against one refused server being taken for its node, and against calling it reachable.
test('a server that refuses connections is reported unreachable', async t => {
  const backend = createServer();
  const {guard, call} = await startGuard(t, backend);
  await new Promise(resolve => backend.close(resolve));
  t.is(await call(), 'refused: unreachable');
  t.is(await callUntilEjected(guard, call), 'unreachable');
});

function makeCall(clock: ManualClock, body: GuardCall['body'] = null) {
  return {body, deadline: clock.getTime() + 1000};
}

// Guards against a server that hangs being noticed only at the deadline, or counted twice for one request.
test('an answer under way counts at each step of the limit, then fails at the deadline', async t => {
  const clock = new ManualClock();
  const watch = new ExchangeWatch(clock, makeCall(clock));
  await clock.advance(61);
  t.like(watch.observeOverdue(60), {kind: 'unfinished', tookMs: 61});
  t.is(watch.observeOverdue(60), undefined);
  await clock.advance(200);
  t.like(watch.observeOverdue(60), {kind: 'unfinished', tookMs: 261});
  await clock.advance(739);
  t.deepEqual(watch.observeBreak(), {kind: 'answer', atMs: 1000, ok: false});
});

// Guards against blaming the server for a caller that uploads slowly.
test('time begins at the end of a streamed upload', async t => {
  const clock = new ManualClock();
  const body = new PassThrough();
  const watch = new ExchangeWatch(clock, makeCall(clock, body));
  await clock.advance(900);
  t.is(watch.observeBreak().kind, 'reached');
  t.is(watch.observeOverdue(60), undefined);
  body.resume().end();
  await new Promise(resolve => body.once('end', resolve));
  await clock.advance(30);
  watch.recordHeaders({'content-length': '2'}, Readable.from(['ok']));
  t.like(watch.observeEnd(true), {kind: 'answer', ok: true, tookMs: 30});
});

// Guards against blaming the server for a caller that reads slowly.
test('bytes that wait for the caller are no timeout of the server', async t => {
  const clock = new ManualClock();
  const watch = new ExchangeWatch(clock, makeCall(clock));
  const body = new PassThrough();
  await clock.advance(20);
  watch.recordHeaders({}, body);
  body.write('unread');
  await clock.advance(980);
  t.like(watch.observeBreak(), {kind: 'unfinished', tookMs: 20});
  body.resume();
  await new Promise(resolve => setImmediate(resolve));
  t.like(watch.observeBreak(), {kind: 'timeout', tookMs: 1000});
});
