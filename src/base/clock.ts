/** A duration or a point in time, in milliseconds. */
export type Millis = number;

/** A scheduled task. */
export interface Timer {
  cancel(): void;
}

/** Source of time for all modules, replaced by `ManualClock` in tests. */
export interface Clock {
  /** Milliseconds since the Unix epoch; never goes backwards within a process. */
  getTime(): Millis;
  /** Runs the task once after the duration unless the timer is cancelled; cheaper than aborting a `sleep`. */
  startTimer(duration: Millis, task: () => void): Timer;
  /** Resolves after the duration, or as soon as the signal aborts. */
  sleep(duration: Millis, signal?: AbortSignal): Promise<void>;
}

/** Clock of the process; monotonic, so that steps of the wall clock do not affect durations. */
export const systemClock: Clock = {
  getTime: () => performance.timeOrigin + performance.now(),
  startTimer: (duration, task) => {
    const timer = setTimeout(task, duration);
    return {cancel: () => clearTimeout(timer)};
  },
  sleep: (duration, signal) =>
    new Promise(resolve => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const onAbort = () => {
        clearTimeout(timer);
        resolve();
      };
      const timer = setTimeout(() => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      }, duration);
      signal?.addEventListener('abort', onAbort, {once: true});
    }),
};

interface PendingTimer {
  readonly at: Millis;
  readonly resolve: () => void;
}

/** A clock for tests, which moves only by `advance`. */
export class ManualClock implements Clock {
  private time: Millis;
  private pendingTimers: readonly PendingTimer[] = [];

  constructor(start: Millis = 0) {
    this.time = start;
  }

  getTime(): Millis {
    return this.time;
  }

  /** Number of pending timers and sleeps. */
  countPendingTimers(): number {
    return this.pendingTimers.length;
  }

  startTimer(duration: Millis, task: () => void): Timer {
    const entry = {
      at: this.time + duration,
      resolve: () => {
        timer.cancel();
        task();
      },
    };
    const timer = {
      cancel: () => {
        this.pendingTimers = this.pendingTimers.filter(
          other => other !== entry,
        );
      },
    };
    this.pendingTimers = [...this.pendingTimers, entry];
    return timer;
  }

  sleep(duration: Millis, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const end = () => {
        signal?.removeEventListener('abort', end);
        this.pendingTimers = this.pendingTimers.filter(
          other => other !== entry,
        );
        resolve();
      };
      const entry = {at: this.time + duration, resolve: end};
      this.pendingTimers = [...this.pendingTimers, entry];
      signal?.addEventListener('abort', end);
    });
  }

  /** Moves time forward and runs the timers and sleeps that are due, earliest first. */
  async advance(duration: Millis): Promise<void> {
    const end = this.time + duration;
    for (;;) {
      const due = this.pendingTimers
        .filter(entry => entry.at <= end)
        .sort((a, b) => a.at - b.at)[0];
      if (!due) break;
      this.time = due.at;
      due.resolve();
      await new Promise(resolve => setImmediate(resolve));
    }
    this.time = end;
  }
}

/** Runs the task periodically until the signal aborts; the period starts when the previous run has ended. */
export async function runEvery(
  clock: Clock,
  period: Millis,
  signal: AbortSignal,
  task: () => void | Promise<void>,
): Promise<void> {
  while (!signal.aborted) {
    await clock.sleep(period, signal);
    if (!signal.aborted) await task();
  }
}
