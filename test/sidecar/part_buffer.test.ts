import test from 'ava';
import {ByteBudget} from '../../src/base/index.js';
import {PartBuffer} from '../../src/sidecar/part_buffer.js';

// Guards against a node that runs out of memory because it retains a response without end.

const maxBytes = 4 * 1024 * 1024;

test('a response without end is retained only in part, with the numbers of its parts', t => {
  const parts = new PartBuffer(new ByteBudget(maxBytes));
  const bytes = Buffer.alloc(64 * 1024);
  for (let chunk = 0; chunk < 1000; chunk += 1) {
    parts.add({kind: 'chunk', id: 1, seq: parts.claimSeq(), bytes});
  }
  const retained = parts.list();
  t.true(retained.length * bytes.length <= maxBytes);
  const last = retained.at(-1);
  t.true(last?.kind === 'chunk' && last.seq === 999);
});

test('a short response is retained whole until it is reset', t => {
  const parts = new PartBuffer(new ByteBudget(maxBytes));
  for (let chunk = 0; chunk < 3; chunk += 1) {
    const seq = parts.claimSeq();
    parts.add({kind: 'chunk', id: 1, seq, bytes: Buffer.from('x')});
  }
  t.is(parts.list().length, 3);
  parts.reset();
  t.deepEqual(parts.list(), []);
});

test('parts that have arrived are dropped, and those that all responses retain are counted', t => {
  const budget = new ByteBudget(maxBytes);
  const buffers = [new PartBuffer(budget), new PartBuffer(budget)];
  for (const parts of buffers) {
    for (let chunk = 0; chunk < 3; chunk += 1) {
      const seq = parts.claimSeq();
      parts.add({kind: 'chunk', id: 1, seq, bytes: Buffer.alloc(10)});
    }
  }
  t.is(budget.getUsed(), 60);
  buffers[0].confirm(2);
  t.is(budget.getUsed(), 40);
  t.is(buffers[0].list().length, 1);
  buffers[1].removeAllButNewest();
  t.is(budget.getUsed(), 20);
  for (const parts of buffers) parts.reset();
  t.is(budget.getUsed(), 0);
});
