import {Clock, Millis} from './clock.js';
import {Logger} from './logger.js';

/** News of this span share a line. */
const foldMs: Millis = 500;
/** News that fill a line early, so that no line grows without bound. */
const maxNews = 200;

interface News {
  readonly atMs: Millis;
  readonly msg: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Writes frequent news about many subjects, one line for those of half a second. Each keeps its age, its message and
 * its fields; readers of the log unfold them.
 */
export class BatchingLogger {
  private pending: News[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  record(msg: string, fields: Readonly<Record<string, unknown>>): void {
    this.pending.push({atMs: this.clock.getTime(), msg, fields});
    if (this.pending.length >= maxNews) this.writePending();
    else if (this.pending.length === 1) {
      this.clock.startTimer(foldMs, () => this.writePending());
    }
  }

  private writePending(): void {
    if (this.pending.length === 0) return;
    const now = this.clock.getTime();
    const news = this.pending.map(({atMs, msg, fields}) => ({
      agoMs: Math.round(now - atMs),
      msg,
      ...fields,
    }));
    this.pending = [];
    this.logger.info({news}, 'news');
  }
}
