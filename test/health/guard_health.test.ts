import {createServer, Server} from 'node:http';
import {PassThrough, Readable} from 'node:stream';
import test, {ExecutionContext} from 'ava';
import {ManualClock, systemClock} from '../../src/base/index.js';
import {GuardClient} from '../../src/entry/index.js';
import {GuardCall} from '../../src/guard/index.js';
import {ExchangeObserver} from '../../src/guard/exchange_observer.js';
import {
  makeGuardCall,
  openOnFreePort,
  startLocalGuard,
} from '../../src/testing/index.js';

async function startGuard(t: ExecutionContext, backend: Server) {
  t.teardown(() => {
    backend.closeAllConnections();
    backend.close();
  });
  return startLocalGuard(backend);
}

// Guards against counting a truncated answer as a good one, or as a caller that disconnected.
test('answers cut in the body count as failures', async t => {
  const backend = createServer((_request, response) => {
    response.writeHead(200, {'content-length': 100});
    response.write('half');
    setImmediate(() => response.destroy());
  });
  const {call, runUntilEjected} = await startGuard(t, backend);
  t.is(await call(), 'broken');
  t.is(await runUntilEjected(call), 'failing');
});

// Guards against missing a slow server because its callers give up before it answers.
test('a server whose callers disconnect before the answer is ejected as slow', async t => {
  const {call, runUntilEjected} = await startGuard(
    t,
    createServer(() => {}),
  );
  const callAndLeave = () => call({signal: AbortSignal.timeout(80)});
  t.is(await runUntilEjected(callAndLeave), 'slow');
});

// Guards against treating a backend server that refuses connections as an unreachable node, or as reachable.
test('a server that refuses connections is reported unreachable', async t => {
  const backend = createServer();
  const {call, runUntilEjected} = await startGuard(t, backend);
  await new Promise(resolve => backend.close(resolve));
  t.is(await call(), 'refused: unreachable');
  t.is(await runUntilEjected(call), 'unreachable');
});

// Guards against missing a dead server that gets no requests but still announces itself.
test('an idle server that refuses probes is reported unreachable', async t => {
  const backend = createServer();
  const {guard, runUntilEjected} = await startGuard(t, backend);
  await new Promise(resolve => backend.close(resolve));
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  void guard.run(stop.signal);
  const waitForTick = () => systemClock.sleep(100);
  t.is(await runUntilEjected(waitForTick), 'unreachable');
});

// Guards against one dead server excluding all servers of its node in spite of the floor.
test('only an entry that cannot connect to a node itself takes the node as unreachable', async t => {
  const closed = createServer();
  const address = await openOnFreePort(closed);
  await new Promise(resolve => closed.close(resolve));
  const guardClient = new GuardClient('test-cluster-key', systemClock);
  const answer = await guardClient.send(address, makeGuardCall());
  t.deepEqual(answer, {kind: 'refused', reason: 'node-unreachable'});
});

function makeCall(clock: ManualClock, body: GuardCall['body'] = null) {
  return {body, deadline: clock.getTime() + 1000};
}

// Guards against detecting a hanging server only at the deadline, or counting one request several times for the same
// multiple of the slow limit.
test('an unfinished answer counts once at each multiple of the slow limit, then fails at the deadline', async t => {
  const clock = new ManualClock();
  const observer = new ExchangeObserver(clock, makeCall(clock));
  await clock.advance(61);
  t.like(observer.observeOverdue(60), {kind: 'unfinished', tookMs: 61});
  t.is(observer.observeOverdue(60), undefined);
  await clock.advance(200);
  t.like(observer.observeOverdue(60), {kind: 'unfinished', tookMs: 261});
  await clock.advance(739);
  t.deepEqual(observer.observeAbort(), {kind: 'answer', atMs: 1000, ok: false});
});

// Guards against attributing a slow upload by the caller to the server.
test('the duration of an answer starts at the end of a streamed upload', async t => {
  const clock = new ManualClock();
  const body = new PassThrough();
  const observer = new ExchangeObserver(clock, makeCall(clock, body));
  await clock.advance(900);
  t.is(observer.observeAbort().kind, 'reached');
  t.is(observer.observeOverdue(60), undefined);
  body.resume().end();
  await new Promise(resolve => body.once('end', resolve));
  await clock.advance(30);
  observer.recordHeaders({'content-length': '2'}, Readable.from(['ok']));
  t.like(observer.observeEnd(true), {kind: 'answer', ok: true, tookMs: 30});
});

// Guards against attributing slow reading by the caller to the server.
test('an answer that the caller has not read yet is not a timeout of the server', async t => {
  const clock = new ManualClock();
  const observer = new ExchangeObserver(clock, makeCall(clock));
  const body = new PassThrough();
  await clock.advance(20);
  observer.recordHeaders({}, body);
  body.write('unread');
  await clock.advance(980);
  t.like(observer.observeAbort(), {kind: 'unfinished', tookMs: 20});
  body.resume();
  await new Promise(resolve => setImmediate(resolve));
  t.like(observer.observeAbort(), {kind: 'timeout', tookMs: 1000});
});
