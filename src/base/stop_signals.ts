/** Runs the task at the first signal that asks the process to stop, then ends the process; later signals change nothing. */
export function handleStopSignals(stop: () => Promise<void>): void {
  let isStopping = false;
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => {
      if (isStopping) return;
      isStopping = true;
      void stop().then(() => process.exit(0));
    });
  }
}
