import test from 'ava';
import {AccountId, asId, ManualClock, PartnerId} from '../../src/base/index.js';
import {Account} from '../../src/config/index.js';
import {AccountLimits} from '../../src/entry/index.js';

function makeAccount(
  id: string,
  ratePerSecond: number,
  concurrency: number,
): Account {
  return {
    id: asId<AccountId>(id),
    partner: asId<PartnerId>('verlag-a'),
    tokenHash: '',
    ratePerSecond,
    concurrency,
  };
}

// Guards against an account that exceeds its rate, and against a limit of zero, which means unlimited, that admits
// nothing.
test('an account is admitted up to its rate', async t => {
  const clock = new ManualClock();
  const limits = new AccountLimits(clock);
  const account = makeAccount('crew', 10, 0);
  let admitted = 0;
  for (let ms = 0; ms < 5000; ms += 10) {
    if (limits.admit(account).kind === 'admitted') admitted += 1;
    await clock.advance(10);
  }
  t.true(admitted >= 58 && admitted <= 60, `${admitted} of 10 + 50`);
  const free = makeAccount('free', 0, 0);
  for (let i = 0; i < 500; i += 1) {
    t.is(limits.admit(free).kind, 'admitted');
  }
  t.is(limits.size, 1);
});

// Guards against a double release that lowers the concurrency count twice.
test('a request is counted and released once', t => {
  const limits = new AccountLimits(new ManualClock());
  const account = makeAccount('crew', 0, 2);
  const first = limits.admit(account);
  limits.admit(account);
  t.deepEqual(limits.admit(account), {kind: 'refused', reason: 'concurrency'});
  if (first.kind === 'admitted') {
    first.release();
    first.release();
  }
  t.is(limits.admit(account).kind, 'admitted');
  t.is(limits.admit(account).kind, 'refused');
});

// Guards against a table that keeps an entry for every account it has ever seen.
test('idle accounts are removed from the table', async t => {
  const clock = new ManualClock();
  const limits = new AccountLimits(clock);
  for (let i = 0; i < 21_000; i += 1) {
    const outcome = limits.admit(makeAccount(`a${i}`, 5, 1));
    if (outcome.kind === 'admitted') outcome.release();
  }
  t.is(limits.size, 21_000);
  await clock.advance(1000);
  for (let i = 0; i < 21_000; i += 1) {
    limits.admit(makeAccount(`b${i}`, 5, 1));
    await clock.advance(1);
  }
  t.true(limits.size <= 21_000, `${limits.size}`);
});
