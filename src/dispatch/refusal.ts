import {Millis, Random} from '../base/index.js';

const minRetryMs: Millis = 100;
const maxRetryMs: Millis = 5000;
/** Spread of the return times around the forecast, so that refused callers do not come back together. */
const spread = 0.5;

/** Whether a request that has to wait this long is likely to miss its deadline. */
export function isWaitTooLong(
  waitMs: Millis,
  expectedMs: Millis,
  remainingMs: Millis,
): boolean {
  return waitMs + expectedMs > remainingMs;
}

/** When a refused caller should come back: when the queue ahead is expected to have run, with jitter. */
export function computeRetryAfter(waitMs: Millis, random: Random): Millis {
  const base = Math.min(maxRetryMs, Math.max(minRetryMs, waitMs));
  return Math.round(base * (1 + spread * (random() - 0.5) * 2));
}
