import {Clock, describeError, Logger, Millis} from '../base/index.js';
import {LogClient} from '../logservice/index.js';
import {Configuration} from './configuration.js';
import {
  ConfigRecord,
  ConfigState,
  ConfirmOutcome,
  emptyConfigState,
  foldRecord,
} from './fold.js';

const configStream = 'config';
const pageSize = 1000;
const longPollMs = 10_000;
const retryMs = 500;

/** Keeps the fold of the configuration stream in step with the log. */
export class ConfigFollower {
  private state: ConfigState = emptyConfigState;
  private listeners: readonly ((config: Configuration) => void)[] = [];

  constructor(
    private readonly log: LogClient,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** The configuration in force at this node. */
  getConfiguration(): Configuration {
    return this.state.config;
  }

  /** The whole fold, with plans and the outcomes of confirmations. */
  getState(): ConfigState {
    return this.state;
  }

  /** Calls the listener with each configuration that comes into force. */
  onChange(listener: (config: Configuration) => void): void {
    this.listeners = [...this.listeners, listener];
  }

  /** Follows the log until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.readOnce(longPollMs, signal);
      } catch (error) {
        if (signal.aborted) return;
        this.logger.warn({error: describeError(error)}, 'config log not read');
        await this.clock.sleep(retryMs, signal);
      }
    }
  }

  /** Reads and folds one page. */
  async readOnce(waitMs: Millis, signal?: AbortSignal): Promise<void> {
    const page = await this.log.read(
      configStream,
      this.state.next,
      pageSize,
      waitMs,
      signal,
    );
    const before = this.state.config;
    for (const record of page.records) {
      if (record.offset < this.state.next) continue;
      this.state = foldRecord(this.state, record.offset, record.value);
    }
    if (this.state.config !== before) {
      this.logger.info(
        {version: this.state.config.version},
        'configuration in force',
      );
      for (const listener of this.listeners) listener(this.state.config);
    }
  }

  /** Appends a record; a lost reply leaves open whether it took effect. */
  async append(record: ConfigRecord): Promise<void> {
    await this.log.append(configStream, [record]);
  }

  /** Waits until the outcome of a confirmation was read back from the log. */
  async waitForOutcome(
    confirmation: string,
    timeoutMs: Millis,
  ): Promise<ConfirmOutcome | undefined> {
    const end = this.clock.getTime() + timeoutMs;
    while (this.clock.getTime() < end) {
      const outcome = this.state.confirmations[confirmation];
      if (outcome) return outcome;
      await this.clock.sleep(20);
    }
    return undefined;
  }
}
