// Guards against a backend server that sends bytes which are no answer, without end, until the connection is closed: the
// request must end by its deadline, the connection must be closed, and memory must stay bounded.

import {AddressInfo, createServer, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {ExecutionContext} from 'ava';
import {
  asId,
  BackendServerId,
  RequestId,
  systemClock,
} from '../../src/base/index.js';
import {BackendClient} from '../../src/sidecar/backend_client.js';

const deadlineMs = 1000;
/** Time within which the connection is closed after the deadline. */
const closeMs = 500;
const maxMemoryGrowth = 64 * 1024 * 1024;
const signed = 'x-request-id: r1\r\nx-response-signature: s\r\n';
const head = `HTTP/1.1 200 OK\r\n${signed}`;

/** Writes the start and then the filler until the connection is closed. */
async function sendWithoutEnd(
  socket: Socket,
  start: string,
  filler: string,
): Promise<void> {
  const block = filler.repeat(Math.ceil(16_384 / filler.length));
  socket.write(start);
  while (!socket.destroyed) {
    if (!socket.write(block)) {
      await Promise.race([
        new Promise(resolve => socket.once('drain', resolve)),
        new Promise(resolve => socket.once('close', resolve)),
      ]);
    }
    await new Promise(setImmediate);
  }
}

/** Runs one request, cancelled at its deadline as entries do; reports the outcome and whether the connection closed. */
async function runAgainst(t: ExecutionContext, start: string, filler: string) {
  const sockets: Socket[] = [];
  const server = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => void sendWithoutEnd(socket, start, filler));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const {port} = server.address() as AddressInfo;
  const controller = new AbortController();
  const timer = setTimeout(() => controller.abort(), deadlineMs);
  const startedAt = systemClock.getTime();
  const before = process.memoryUsage().rss;
  let body = '';
  const outcome = await new BackendClient(systemClock, '127.0.0.1').run(
    {
      requestId: asId<RequestId>('r1'),
      server: asId<BackendServerId>('s1'),
      address: `127.0.0.1:${port}`,
      method: 'GET',
      target: '/x',
      headers: [],
      body: [],
      caller: undefined,
      deadlineAt: startedAt + deadlineMs,
      signal: controller.signal,
    },
    {
      onNotice: () => undefined,
      onHead: () => undefined,
      onChunk: bytes => {
        if (body.length < 100) body += bytes.toString();
      },
    },
  );
  clearTimeout(timer);
  const tookMs = systemClock.getTime() - startedAt;
  await sleep(closeMs);
  return {
    outcome,
    body,
    tookMs,
    isClosed: sockets.length === 1 && sockets[0].destroyed,
    memoryGrowth: process.memoryUsage().rss - before,
  };
}

const withoutAnswer = {
  'header lines': [head, 'x-filler: 1234567890\r\n'],
  'one header line': [`${head}x-filler: `, '1234567890'],
  'informational responses': ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
  'bytes before the status line': ['', 'no status line '],
  'chunk extensions': [
    `${head}transfer-encoding: chunked\r\n\r\n1;`,
    'extension=1;',
  ],
  trailers: [
    `${head}transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n`,
    'x-trailer: 1\r\n',
  ],
  chunks: [`${head}transfer-encoding: chunked\r\n\r\n`, '4\r\nmore\r\n'],
  'a body without a length': [`${head}\r\n`, 'more'],
} as const;

for (const [name, [start, filler]] of Object.entries(withoutAnswer)) {
  test.serial(
    `${name} without end: the request fails by its deadline and the connection is closed`,
    async t => {
      const result = await runAgainst(t, start, filler);
      t.is(result.outcome.kind, 'failed');
      t.true(result.outcome.kind === 'failed' && result.outcome.mayHaveRun);
      t.true(result.tookMs < deadlineMs + closeMs, `${result.tookMs} ms`);
      t.true(result.isClosed);
      t.true(result.memoryGrowth < maxMemoryGrowth, `${result.memoryGrowth}`);
    },
  );
}

test.serial(
  'bytes without end after a whole body: the body is passed on alone and the connection is closed',
  async t => {
    const start = `${head}content-length: 5\r\n\r\nwhole`;
    const result = await runAgainst(t, start, 'more');
    t.is(result.body, 'whole');
    t.true(result.isClosed);
    t.true(result.memoryGrowth < maxMemoryGrowth, `${result.memoryGrowth}`);
  },
);
