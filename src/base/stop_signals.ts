import {Millis} from './clock.js';

/** Delay before the exit in which the last log lines are written; they are batched for 50 ms. */
const logFlushMs: Millis = 100;

/** Runs the task at the first SIGTERM or SIGINT and then exits the process; further signals have no effect. */
export function handleStopSignals(stop: () => Promise<void>): void {
  let isStopping = false;
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => {
      if (isStopping) return;
      isStopping = true;
      void stop().then(() => setTimeout(() => process.exit(0), logFlushMs));
    });
  }
}
