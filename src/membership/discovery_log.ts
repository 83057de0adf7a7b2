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

const stream = 'contacts';
// The log keeps records for longer than the key window, 2 h by default.
const rewriteMs: Millis = 3_600_000;
const retryMs: Millis = 5000;
/** Two hours of starts and rewrites at 450 nodes; a longer tail would only name more dead nodes. */
const tailLength = 1000;

const contactCodec = t.type({node: t.string, peerAddress: t.string});

/** Where a node can be dialled, as it wrote to the log when it started. */
export type DiscoveryEntry = t.TypeOf<typeof contactCodec>;

/** Keeps this node's address in the log stream `contacts`, and reads the addresses of others. */
export class DiscoveryLog {
  constructor(
    private readonly log: LogClient,
    private readonly self: DiscoveryEntry,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {}

  /** Writes the address now and again well before retention ends; the log may be down for hours. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const written = await this.append();
      const pause = written ? rewriteMs : retryMs;
      await this.clock.sleep(pause * (0.75 + this.random() / 2), signal);
    }
  }

  /** Newest address of each node in the tail of the stream; none while the log is down. */
  async list(): Promise<readonly DiscoveryEntry[]> {
    try {
      const {firstOffset, nextOffset} = await this.log.read(stream, 0, 1);
      const from = Math.max(firstOffset, nextOffset - tailLength);
      const page = await this.log.read(stream, from, tailLength);
      const newest = new Map<string, DiscoveryEntry>();
      for (const {value} of page.records) {
        const decoded = decodeWith(contactCodec, value);
        if (E.isRight(decoded)) newest.set(decoded.right.node, decoded.right);
      }
      newest.delete(this.self.node);
      return [...newest.values()];
    } catch (error) {
      this.logger.debug({error: describeError(error)}, 'contacts not read');
      return [];
    }
  }

  private async append(): Promise<boolean> {
    try {
      await this.log.append(stream, [this.self]);
      return true;
    } catch (error) {
      this.logger.debug({error: describeError(error)}, 'contact not written');
      return false;
    }
  }
}
