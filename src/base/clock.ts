/** A duration or a point in time, in milliseconds. */
export type Millis = number;

/** A task that waits for its time. */
export interface Timer {
  cancel(): void;
}

/** The only source of time. */
export interface Clock {
  /** Milliseconds since the Unix epoch; never goes backwards within a process. */
  getTime(): Millis;
  /** Runs the task once after the duration, unless the timer is cancelled before; cheaper than an aborted sleep. */
  startTimer(duration: Millis, task: () => void): Timer;
  /** Resolves after the duration, or as soon as the signal aborts. */
  sleep(duration: Millis, signal?: AbortSignal): Promise<void>;
}

/** The clock of the machine; monotonic, so that wall clock steps change no duration. */
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

interface Sleeper {
  readonly at: Millis;
  readonly resolve: () => void;
}

/** A clock for tests; time passes only by `advance`. */
export class ManualClock implements Clock {
  private time: Millis;
  private sleepers: readonly Sleeper[] = [];

  constructor(start: Millis = 0) {
    this.time = start;
  }

  getTime(): Millis {
    return this.time;
  }

  /** Tasks that wait for their time. */
  countPendingTimers(): number {
    return this.sleepers.length;
  }

  startTimer(duration: Millis, task: () => void): Timer {
    const sleeper = {
      at: this.time + duration,
      resolve: () => {
        timer.cancel();
        task();
      },
    };
    const timer = {
      cancel: () => {
        this.sleepers = this.sleepers.filter(other => other !== sleeper);
      },
    };
    this.sleepers = [...this.sleepers, sleeper];
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
        this.sleepers = this.sleepers.filter(other => other !== sleeper);
        resolve();
      };
      const sleeper = {at: this.time + duration, resolve: end};
      this.sleepers = [...this.sleepers, sleeper];
      signal?.addEventListener('abort', end);
    });
  }

  /** Moves time on and wakes the sleepers that are due, earliest first. */
  async advance(duration: Millis): Promise<void> {
    const end = this.time + duration;
    for (;;) {
      const due = this.sleepers
        .filter(sleeper => sleeper.at <= end)
        .sort((a, b) => a.at - b.at)[0];
      if (!due) break;
      this.time = due.at;
      due.resolve();
      await new Promise(resolve => setImmediate(resolve));
    }
    this.time = end;
  }
}

/** Runs the task each period until the signal aborts; a slow task delays the next run. */
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
