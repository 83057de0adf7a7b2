import {Clock, describeError, Logger, Millis, runEvery} from '../base/index.js';
import {ConfigFollower} from './follower.js';
import {SnapshotManifest, SnapshotStore} from './snapshot_store.js';

const checkPeriodMs: Millis = 1000;
// Writing a snapshot takes less than a second, so the node of the next rank sees it before its own turn.
const rankDelayMs: Millis = 5000;
const maxRank = 24;
// Bounds the number of records that a starting node replays.
const maxRecordsSinceSnapshot = 2000;

/** Dependencies of a snapshot writer. */
export interface SnapshotWriterOptions {
  readonly store: SnapshotStore;
  readonly follower: ConfigFollower;
  /** Rank of this node among all nodes for a key; the node of rank 0 writes first. */
  readonly getRank: (key: string) => number;
  /** Age at which a snapshot is renewed even if nothing changed; less than half of the log's retention time. */
  readonly intervalMs: Millis;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Renews the snapshot before the retention of the log removes it; usually a single node of the fleet writes it. */
export class SnapshotWriter {
  private newest: SnapshotManifest | undefined;
  /** When the newest snapshot was written, or found missing, by this node's clock. */
  private writtenMs: Millis | undefined;

  constructor(private readonly options: SnapshotWriterOptions) {}

  async run(signal: AbortSignal): Promise<void> {
    const {clock, logger} = this.options;
    await runEvery(clock, checkPeriodMs, signal, async () => {
      try {
        await this.writeIfDue();
      } catch (error) {
        logger.warn(
          {error: describeError(error)},
          'failed to write a snapshot',
        );
        // Restart the delay by rank, so that not all nodes write at once when the log recovers.
        const now = clock.getTime();
        this.writtenMs = this.newest ? now - this.options.intervalMs : now;
      }
    });
  }

  /** Writes a snapshot if one is due and it is this node's turn; returns whether it was written. */
  async writeIfDue(): Promise<boolean> {
    const {store, follower, logger} = this.options;
    const state = follower.getState();
    if (!follower.isLoaded() || state.next === 0) return false;
    if (this.writtenMs !== undefined && !this.isDue(state.next)) return false;
    await this.updateNewest();
    if (!this.isDue(state.next)) return false;
    // The newest snapshot is further ahead than this node.
    if (this.newest && this.newest.next > state.next) return false;
    const bytes = await store.write(state);
    await this.updateNewest();
    logger.info({version: state.config.version, bytes}, 'snapshot written');
    return true;
  }

  private isDue(next: number): boolean {
    const {clock, intervalMs, getRank} = this.options;
    const rank = Math.min(maxRank, getRank(this.newest?.snapshot ?? 'first'));
    const age = clock.getTime() - (this.writtenMs ?? clock.getTime());
    const recordsSinceSnapshot = next - (this.newest?.next ?? 0);
    const waitMs =
      !this.newest || recordsSinceSnapshot > maxRecordsSinceSnapshot
        ? 0
        : intervalMs;
    return age >= waitMs + rank * rankDelayMs;
  }

  private async updateNewest(): Promise<void> {
    const {store, clock} = this.options;
    const newest = await store.findNewestManifest();
    if (
      newest?.offset === this.newest?.offset &&
      this.writtenMs !== undefined
    ) {
      return;
    }
    this.newest = newest;
    const now = clock.getTime();
    // The clocks of the log and of this node may differ; clamp so that the age is never negative.
    this.writtenMs = newest ? Math.min(now, newest.atMs) : now;
  }
}
