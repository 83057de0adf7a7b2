import {createServer, IncomingMessage, ServerResponse} from 'node:http';
import {AddressInfo} from 'node:net';
import test from 'ava';
import {
  asId,
  BackendServerId,
  openSilentLogger,
  PartnerId,
  RequestId,
  systemClock,
} from '../../src/base/index.js';
import {emptyConfiguration} from '../../src/config/index.js';
import {Guard, GuardResult, GuardCall} from '../../src/guard/index.js';

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

/** A guard with one backend server, by default of one slot, whose responses the handler writes. */
async function openGuard(handler: Handler, slots = 1) {
  const server = createServer(handler);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const guard = new Guard(
    {
      getConfiguration: () => emptyConfiguration,
      getBaseline: () => 0,
      onReportChange: () => undefined,
    },
    systemClock,
    openSilentLogger(),
  );
  const announce = (phase: string) =>
    guard.announce({
      server: 's1',
      service: 'bench-log',
      pool: 'p',
      address: `127.0.0.1:${port}`,
      incarnation: 1,
      slots,
      phase,
    });
  announce('ready');
  const close = async () => {
    server.closeAllConnections();
    server.close();
    await guard.close();
  };
  return {guard, announce, close};
}

function makeCall(path: string, deadlineMs = 3000): GuardCall {
  return {
    requestId: asId<RequestId>('r'),
    server: asId<BackendServerId>('s1'),
    partner: asId<PartnerId>('a'),
    method: 'GET',
    path,
    headers: {},
    body: null,
    deadline: systemClock.getTime() + deadlineMs,
    signal: new AbortController().signal,
    mayQueue: true,
  };
}

async function describeResult(result: GuardResult): Promise<string> {
  if (result.kind !== 'answer') return `${result.kind} ${result.reason}`;
  let size = 0;
  for await (const chunk of result.body) size += (chunk as Buffer).length;
  return `answer ${size}`;
}

const handleByPath: Handler = (request, response) => {
  if (request.url === '/ok') return void response.end('ok');
  if (request.url === '/silent') return undefined;
  if (request.url === '/reset') return void response.destroy();
  response.writeHead(200, {'content-length': 1_000_000});
  response.write('x'.repeat(request.url === '/big' ? 999_999 : 10));
  return undefined;
};

// Guards against a slot that is never released because an exchange ended in an unusual way.
test('every way of ending an exchange releases its slot', async t => {
  const {guard, close} = await openGuard(handleByPath);
  const expectFree = async (after: string) => {
    const result = await guard.serve(makeCall('/ok'));
    t.is(await describeResult(result), 'answer 2', after);
  };
  await expectFree('start');

  const unread = await guard.serve(makeCall('/big', 150));
  await expectFree('an unread body, until its deadline');
  if (unread.kind === 'answer') unread.body.destroy();

  const stalled = await guard.serve(makeCall('/stall', 100));
  if (stalled.kind === 'answer')
    await t.throwsAsync(describeResult(stalled), {any: true});
  await expectFree('a body that stalls');

  const earlyDisconnect = new AbortController();
  const early = guard.serve({
    ...makeCall('/silent'),
    signal: earlyDisconnect.signal,
  });
  await systemClock.sleep(20);
  earlyDisconnect.abort();
  t.is((await early).kind, 'failed');
  await expectFree('a disconnect before the headers');

  const lateDisconnect = new AbortController();
  const late = await guard.serve({
    ...makeCall('/stall'),
    signal: lateDisconnect.signal,
  });
  lateDisconnect.abort();
  if (late.kind === 'answer')
    await t.throwsAsync(describeResult(late), {any: true});
  await expectFree('a disconnect during the body');

  t.is((await guard.serve(makeCall('/reset'))).kind, 'failed');
  await expectFree('a reset');

  const wrong = {...makeCall('/ok'), headers: {'bad name': 'x'}};
  t.not((await guard.serve(wrong)).kind, 'answer');
  await expectFree('an exception while sending');
  await close();
});

// Guards against waiting requests that are still forwarded to a server seconds after it began to drain.
test('requests that wait for a slot are refused when the server drains', async t => {
  const {guard, announce, close} = await openGuard(handleByPath);
  const first = guard.serve(makeCall('/silent', 600));
  const waiting = guard.serve(makeCall('/ok'));
  await systemClock.sleep(20);
  const drainedAt = systemClock.getTime();
  announce('draining');
  t.is(await describeResult(await waiting), 'refused draining');
  const tookMs = systemClock.getTime() - drainedAt;
  t.true(
    tookMs < 300,
    `the slot was free after 580 ms, refused after ${tookMs}`,
  );
  t.is((await first).kind, 'failed');
  await close();
});

// Guards against requests of an entry that has not yet received the news of a drain; the guard must refuse them itself.
test('a draining server gets no new request, and the refused request is not run', async t => {
  let runs = 0;
  const {guard, announce, close} = await openGuard((request, response) => {
    runs += 1;
    handleByPath(request, response);
  });
  announce('draining');
  t.is(
    await describeResult(await guard.serve(makeCall('/ok'))),
    'refused draining',
  );
  t.is(runs, 0);
  await close();
});

// Guards against executing a request whose caller disconnects at the moment when it is granted a slot.
test('a request whose caller disconnects as it gets its slot is not forwarded', async t => {
  let runs = 0;
  const {guard, close} = await openGuard((request, response) => {
    runs += 1;
    handleByPath(request, response);
  });
  const holder = new AbortController();
  const waiterDisconnect = new AbortController();
  const first = await guard.serve({
    ...makeCall('/stall'),
    signal: holder.signal,
  });
  const waiting = guard.serve({
    ...makeCall('/ok'),
    signal: waiterDisconnect.signal,
  });
  await systemClock.sleep(20);
  if (first.kind === 'answer') {
    first.body.on('error', () => undefined);
  }
  // The first abort grants the slot to the waiter, which resumes in a microtask, after the second abort.
  holder.abort();
  waiterDisconnect.abort();
  t.is(await describeResult(await waiting), 'refused deadline');
  const next = await guard.serve(makeCall('/ok'));
  t.is(await describeResult(next), 'answer 2');
  t.is(runs, 2);
  await close();
});
