import test from 'ava';
import {ManualClock} from '../../src/base/index.js';
import {initialCreditBytes} from '../../src/mesh/index.js';
import {SendWindow} from '../../src/sidecar/send_window.js';

// Guards against callers that take their answers slowly and let a sound server look slow.

test('a response waits for credit, and the time counts as that of its caller', async t => {
  const clock = new ManualClock();
  const window = new SendWindow(clock);
  const {signal} = new AbortController();
  window.recordSent(initialCreditBytes);
  const wait = window.waitUntilFree(signal);
  await clock.advance(700);
  t.is(window.getPausedTime(), 700);
  window.setCredit(initialCreditBytes + 10);
  await wait;
  t.is(window.getFree(), 10);
  await clock.advance(300);
  t.is(window.getPausedTime(), 700);
});

test('an older credit does not lower a newer one, and an aborted run waits no longer', async t => {
  const window = new SendWindow(new ManualClock());
  window.setCredit(2 * initialCreditBytes);
  window.setCredit(initialCreditBytes);
  t.is(window.getFree(), 2 * initialCreditBytes);
  window.recordSent(2 * initialCreditBytes);
  const controller = new AbortController();
  const wait = window.waitUntilFree(controller.signal);
  controller.abort();
  await t.notThrowsAsync(wait);
});
