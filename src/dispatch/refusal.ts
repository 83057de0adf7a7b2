import {Millis, Random} from '../base/index.js';

const minRetryMs: Millis = 100;
const maxRetryMs: Millis = 5000;
/** Relative jitter, so that refused callers do not all retry at the same time. */
const jitter = 0.5;

/** Whether a request with this estimated wait is likely to miss its deadline. */
export function isWaitTooLong(
  waitMs: Millis,
  expectedMs: Millis,
  remainingMs: Millis,
): boolean {
  return waitMs + expectedMs > remainingMs;
}

/** When a refused caller should retry: after the estimated wait, with jitter. */
export function computeRetryAfter(waitMs: Millis, random: Random): Millis {
  const base = Math.min(maxRetryMs, Math.max(minRetryMs, waitMs));
  return Math.round(base * (1 + jitter * (random() - 0.5) * 2));
}
