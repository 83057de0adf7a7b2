import {Millis} from './clock.js';

/** Time for the last lines of the log, which are written in batches of 50 ms. */
const lastLinesMs: Millis = 100;

/** Runs the task at the first signal that asks the process to stop, then ends the process; later signals change nothing. */
export function handleStopSignals(stop: () => Promise<void>): void {
  let isStopping = false;
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => {
      if (isStopping) return;
      isStopping = true;
      void stop().then(() => setTimeout(() => process.exit(0), lastLinesMs));
    });
  }
}
