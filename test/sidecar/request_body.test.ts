import {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import test from 'ava';
import {ByteBudget, systemClock} from '../../src/base/index.js';
import {readRequestBody} from '../../src/sidecar/request_body.js';

// Guards against request bodies that arrive together and are counted only when they are complete.

function makeRequest(length?: number): IncomingMessage & PassThrough {
  const headers =
    length === undefined ? {} : {'content-length': String(length)};
  return Object.assign(new PassThrough(), {
    headers,
  }) as unknown as IncomingMessage & PassThrough;
}

function read(request: IncomingMessage, budget: ByteBudget) {
  const limits = {maxBytes: 100, timeoutMs: 1000, budget};
  return readRequestBody(request, limits, systemClock);
}

test('a body is counted when it is declared: another one that does not fit is refused at once', async t => {
  const budget = new ByteBudget(100);
  const first = makeRequest(60);
  const firstResult = read(first, budget);
  t.is(budget.getUsed(), 60);
  t.is((await read(makeRequest(60), budget)).kind, 'busy');
  first.end(Buffer.alloc(60));
  const result = await firstResult;
  t.is(result.kind, 'complete');
  if (result.kind === 'complete') result.release();
  t.is(budget.getUsed(), 0);
});

test('a body without a length is counted as it arrives', async t => {
  const budget = new ByteBudget(100);
  budget.claim(50);
  const request = makeRequest();
  const result = read(request, budget);
  request.write(Buffer.alloc(40));
  request.write(Buffer.alloc(40));
  t.is((await result).kind, 'busy');
  t.is(budget.getUsed(), 50);
});

test('a body over the limit of the configuration, or broken off, is not held', async t => {
  const budget = new ByteBudget(1000);
  t.is((await read(makeRequest(101), budget)).kind, 'too-large');
  const request = makeRequest(50);
  const result = read(request, budget);
  request.write(Buffer.alloc(10));
  request.destroy();
  t.is((await result).kind, 'aborted');
  t.is(budget.getUsed(), 0);
});
