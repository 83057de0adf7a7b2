import {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import test from 'ava';
import {ByteBudget, systemClock} from '../../src/base/index.js';
import {readRequestBody} from '../../src/sidecar/request_body.js';

// Guards against request bodies that arrive together and are counted only when they are complete.

/** Larger than the bodies that are sent with their requests. */
const unit = 100 * 1024;

function makeRequest(length?: number): IncomingMessage & PassThrough {
  const headers =
    length === undefined ? {} : {'content-length': String(length)};
  return Object.assign(new PassThrough(), {
    headers,
  }) as unknown as IncomingMessage & PassThrough;
}

function read(
  request: IncomingMessage,
  budget: ByteBudget,
  smallBodies = new ByteBudget(unit),
) {
  const limits = {
    maxBytes: 1000 * unit,
    timeoutMs: 1000,
    budgets: {bodies: budget, smallBodies},
  };
  return readRequestBody(request, limits, systemClock);
}

test('a body is counted when it is declared: another one that does not fit is refused at once', async t => {
  const budget = new ByteBudget(100 * unit);
  const first = makeRequest(60 * unit);
  const firstResult = read(first, budget);
  t.is(budget.getUsed(), 60 * unit);
  t.is((await read(makeRequest(60 * unit), budget)).kind, 'busy');
  first.end(Buffer.alloc(60 * unit));
  const result = await firstResult;
  t.is(result.kind, 'complete');
  if (result.kind === 'complete') result.release();
  t.is(budget.getUsed(), 0);
});

test('a body without a length is counted as it arrives', async t => {
  const budget = new ByteBudget(100 * unit);
  budget.claim(50 * unit);
  const request = makeRequest();
  const result = read(request, budget);
  request.write(Buffer.alloc(40 * unit));
  request.write(Buffer.alloc(40 * unit));
  t.is((await result).kind, 'busy');
  t.is(budget.getUsed(), 50 * unit);
});

test('a body over the limit of the configuration, or broken off, is not held', async t => {
  const budget = new ByteBudget(2000 * unit);
  t.is((await read(makeRequest(1001 * unit), budget)).kind, 'too-large');
  const request = makeRequest(50 * unit);
  const result = read(request, budget);
  request.write(Buffer.alloc(10 * unit));
  request.destroy();
  t.is((await result).kind, 'aborted');
  t.is(budget.getUsed(), 0);
});

test('a large body that takes all the memory leaves small requests, and those without a body, room', async t => {
  const budget = new ByteBudget(unit);
  const smallBodies = new ByteBudget(unit);
  void read(makeRequest(500 * unit), budget, smallBodies);
  t.true(budget.getUsed() > budget.limit);
  for (const size of [0, 2000]) {
    const request = makeRequest(size);
    const result = read(request, budget, smallBodies);
    request.end(Buffer.alloc(size));
    t.is((await result).kind, 'complete');
  }
  t.is(smallBodies.getUsed(), 2000);
});

test('a body without a length that turns out large moves to the budget of large ones', async t => {
  const budget = new ByteBudget(10 * unit);
  const smallBodies = new ByteBudget(unit);
  const request = makeRequest();
  const result = read(request, budget, smallBodies);
  request.write(Buffer.alloc(1000));
  request.end(Buffer.alloc(unit));
  t.is((await result).kind, 'complete');
  t.is(smallBodies.getUsed(), 0);
  t.is(budget.getUsed(), unit + 1000);
});
