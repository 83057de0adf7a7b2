// Guards against answers of faulty servers that other operators have seen: a refusal written once more on a connection that
// is in use again, and heads that end before they are complete.

import test, {ExecutionContext} from 'ava';
import {systemClock} from '../../src/base/index.js';
import {platformHeaders} from '../../platform/index.js';
import {
  encodeHead,
  encodeSuccess,
  RawBackend,
  RawRequest,
} from './raw_backend.js';
import {TestFleet} from './test_fleet.js';

const runMs = 300;
const post = {method: 'POST'};

/** Starts a fleet of one VM whose backend server is replaced by one that writes raw bytes. */
async function startFleet(
  t: ExecutionContext,
  answer: (request: RawRequest) => void,
) {
  const fleet = new TestFleet();
  await fleet.start(t, 1);
  const [{backend: standIn}] = fleet.vms;
  standIn.stop();
  const backend = new RawBackend(answer);
  await backend.start(standIn.host, standIn.port);
  t.teardown(() => backend.stop());
  return {fleet, backend, vm: fleet.vms[0]};
}

function encodeRefusal(id: string | undefined): string {
  const head = encodeHead(503, {
    ...(id !== undefined && {[platformHeaders.requestId]: id}),
    [platformHeaders.notRun]: '1',
    'content-length': 0,
  });
  return `${head}\r\n\r\n`;
}

for (const [name, getId] of [
  ['with the id of an earlier request', () => 'r0'],
  ['without an id', () => undefined],
] as const) {
  test(`a caller is not told 'not run' by a refusal that was written once more ${name}`, async t => {
    const {fleet, backend, vm} = await startFleet(t, ({id, socket, before}) => {
      if (before > 0) socket.write(encodeRefusal(getId()));
      setTimeout(
        () => socket.writable && socket.write(encodeSuccess(id)),
        before > 0 ? runMs : 0,
      );
    });
    const first = await fleet.send(vm, '/unsafe/x', post);
    t.is(first.status, 200);
    const second = await fleet.send(vm, '/unsafe/x', post);
    t.is(second.status, 502);
    await systemClock.sleep(runMs);
    t.deepEqual(
      backend.requests.map(({before}) => before),
      [0, 1],
    );
  });
}

test('a connection is not used again after a refusal, so that its second copy reaches no request', async t => {
  const {fleet, backend, vm} = await startFleet(t, ({id, socket}) => {
    const refuses = backend.requests.length === 1;
    socket.write(refuses ? encodeRefusal(id) : encodeSuccess(id));
    if (refuses) setTimeout(() => socket.write(encodeRefusal(id)), 20);
  });
  t.is((await fleet.send(vm, '/unsafe/x', post)).status, 503);
  t.is((await fleet.send(vm, '/unsafe/x', post)).status, 200);
  t.deepEqual(
    backend.requests.map(({before}) => before),
    [0, 0],
  );
});

const wholeHead = encodeHead(200, {
  [platformHeaders.requestId]: 'ID',
  [platformHeaders.signature]: 's',
  'content-length': 5,
  connection: 'close',
});

for (const [name, part] of [
  ['in its status line', wholeHead.slice(0, 12)],
  ['in a header name', wholeHead.slice(0, wholeHead.indexOf('content-l') + 9)],
  ['in a header value', wholeHead.slice(0, -3)],
  ['before its empty line', `${wholeHead}\r\n`],
] as const) {
  for (const end of ['close', 'reset'] as const) {
    for (const isKept of [false, true]) {
      const connection = isKept ? 'kept' : 'new';
      test(`a head that ends ${name} by ${end} of a ${connection} connection is no answer`, async t => {
        const {fleet, backend, vm} = await startFleet(
          t,
          ({id, socket, before}) => {
            if (before < Number(isKept)) {
              socket.write(encodeSuccess(id));
              return;
            }
            socket.write(part.replace('ID', id));
            if (end === 'close') socket.end();
            else setTimeout(() => socket.resetAndDestroy(), 20);
          },
        );
        if (isKept) t.is((await fleet.send(vm, '/unsafe/x', post)).status, 200);
        const {status} = await fleet.send(vm, '/unsafe/x', post);
        t.is(status, 502);
        t.is(backend.requests.at(-1)?.before, Number(isKept));
      });
    }
  }
}

for (const [name, body] of [
  ['in a chunk', '5\r\nwh'],
  ['after a chunk', '5\r\nwhole\r\n'],
  ['in the last chunk', '5\r\nwhole\r\n0\r\n'],
  ['in its trailers', '5\r\nwhole\r\n0\r\nx-trailer: 1\r\n'],
] as const) {
  test(`a chunked answer that ends ${name} and says that it closes is not complete`, async t => {
    const {fleet, vm} = await startFleet(t, ({id, socket}) => {
      const head = encodeHead(200, {
        [platformHeaders.requestId]: id,
        [platformHeaders.signature]: 's',
        'transfer-encoding': 'chunked',
        connection: 'close',
      });
      socket.end(`${head}\r\n\r\n${body}`);
    });
    const {status} = await fleet.send(vm, '/unsafe/x', post);
    t.is(status, 502);
  });
}
