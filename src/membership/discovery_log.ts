import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {
  Clock,
  decodeWith,
  describeError,
  Logger,
  Millis,
  Random,
} from '../base/index.js';
import {LogClient} from '../logservice/index.js';

const streamName = 'contacts';
// Must be shorter than the retention of the log, which in turn is longer than the key window (2 h by default).
const rewriteIntervalMs: Millis = 3_600_000;
const retryIntervalMs: Millis = 5000;
/** Two hours of starts and rewrites at 450 nodes; older records would only add nodes that no longer run. */
const maxTailRecords = 1000;

const discoveryEntryCodec = t.type({node: t.string, peerAddress: t.string});

/** Address at which a node can be dialled, as the node wrote it to the log. */
export type DiscoveryEntry = t.TypeOf<typeof discoveryEntryCodec>;

/** Bootstrap addresses in the log stream `contacts`: writes this node's address and reads those of others. */
export class DiscoveryLog {
  constructor(
    private readonly log: LogClient,
    private readonly ownEntry: DiscoveryEntry,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {}

  /**
   * Writes the address at start and then repeatedly, well before the log removes the previous entry, because the log
   * may be unavailable for hours. Retries sooner after a failed write.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const written = await this.appendOwnEntry();
      const interval = written ? rewriteIntervalMs : retryIntervalMs;
      await this.clock.sleep(interval * (0.75 + this.random() / 2), signal);
    }
  }

  /** Returns the newest address of each other node in the tail of the stream; none while the log is unavailable. */
  async list(): Promise<readonly DiscoveryEntry[]> {
    try {
      const {firstOffset, nextOffset} = await this.log.read(streamName, 0, 1);
      const from = Math.max(firstOffset, nextOffset - maxTailRecords);
      const page = await this.log.read(streamName, from, maxTailRecords);
      const newest = new Map<string, DiscoveryEntry>();
      for (const {value} of page.records) {
        const decoded = decodeWith(discoveryEntryCodec, value);
        if (E.isRight(decoded)) newest.set(decoded.right.node, decoded.right);
      }
      newest.delete(this.ownEntry.node);
      return [...newest.values()];
    } catch (error) {
      this.logger.debug(
        {error: describeError(error)},
        'reading node addresses from the log failed',
      );
      return [];
    }
  }

  private async appendOwnEntry(): Promise<boolean> {
    try {
      await this.log.append(streamName, [this.ownEntry]);
      return true;
    } catch (error) {
      this.logger.debug(
        {error: describeError(error)},
        'writing the node address to the log failed',
      );
      return false;
    }
  }
}
