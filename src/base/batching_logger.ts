import {Clock, Millis} from './clock.js';
import {Logger} from './logger.js';

/** Events within this interval share one log line. */
const batchMs: Millis = 500;
/** Number of events after which a line is written early, to bound its length. */
const maxBatchSize = 200;

interface LogEvent {
  readonly atMs: Millis;
  readonly msg: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Logger for frequent events about many subjects. It writes the events of half a second in one line, with the age,
 * message and fields of each; readers of the log split the line again.
 */
export class BatchingLogger {
  private pending: LogEvent[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  record(msg: string, fields: Readonly<Record<string, unknown>>): void {
    this.pending.push({atMs: this.clock.getTime(), msg, fields});
    if (this.pending.length >= maxBatchSize) this.writePending();
    else if (this.pending.length === 1) {
      this.clock.startTimer(batchMs, () => this.writePending());
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
