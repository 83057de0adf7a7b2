import test from 'ava';
import {ByteBudget} from '../../src/base/index.js';
import {initialCreditBytes} from '../../src/mesh/index.js';
import {ResponseCredit} from '../../src/sidecar/response_credit.js';

// Guards against a node that runs out of memory because its callers take responses more slowly than servers send them.

const maxOpenBytes = 512 * 1024;

function claimCredit(budget: ByteBudget): ResponseCredit {
  const credit = ResponseCredit.claim(budget);
  if (!credit) throw new Error('no credit');
  return credit;
}

test('a short response is announced no credit, and its memory returns to the budget', t => {
  const budget = new ByteBudget(1024 * 1024);
  const credit = claimCredit(budget);
  credit.recordReceived(initialCreditBytes / 2 - 1);
  t.is(credit.grantMore(), undefined);
  credit.release();
  credit.release();
  t.is(budget.getUsed(), 0);
});

test('credit grows only by what the caller has taken', t => {
  const budget = new ByteBudget(8 * 1024 * 1024);
  const credit = claimCredit(budget);
  credit.recordReceived(initialCreditBytes);
  t.is(credit.grantMore(), maxOpenBytes);
  credit.recordReceived(maxOpenBytes - initialCreditBytes);
  t.true(credit.isUsedUp());
  t.is(credit.grantMore(), undefined);
  t.is(budget.getUsed(), maxOpenBytes);
  credit.recordTaken(200 * 1024);
  t.is(credit.grantMore(), maxOpenBytes + 200 * 1024);
  t.is(budget.getUsed(), maxOpenBytes);
});

test('responses that nobody takes never exceed the budget, and further ones are refused', t => {
  const budget = new ByteBudget(2.5 * maxOpenBytes);
  const credits: ResponseCredit[] = [];
  for (;;) {
    const credit = ResponseCredit.claim(budget);
    if (!credit) break;
    credits.push(credit);
    credit.recordReceived(initialCreditBytes);
    credit.grantMore();
  }
  t.true(budget.getUsed() <= budget.limit);
  for (const credit of credits) credit.release();
  t.is(budget.getUsed(), 0);
});

test('a response goes on at a lower pace while others use up the budget', t => {
  const budget = new ByteBudget(2 * initialCreditBytes);
  const slow = claimCredit(budget);
  const other = claimCredit(budget);
  slow.recordReceived(initialCreditBytes);
  t.is(slow.grantMore(), undefined);
  other.recordReceived(initialCreditBytes);
  t.is(other.grantMore(), undefined);
  t.true(other.isUsedUp());
  other.recordTaken(initialCreditBytes);
  t.is(other.grantMore(), 2 * initialCreditBytes);
  t.is(budget.getUsed(), 2 * initialCreditBytes);
});
