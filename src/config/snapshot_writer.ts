import {Clock, describeError, Logger, Millis, runEvery} from '../base/index.js';
import {ConfigFollower} from './follower.js';
import {SnapshotManifest, SnapshotStore} from './snapshot_store.js';

const checkPeriodMs: Millis = 1000;
// A snapshot is written within a second, so the next rank sees it before its own turn.
const rankDelayMs: Millis = 5000;
const maxRank = 24;
// Bounds how many records a starting node folds.
const maxRecordsSinceSnapshot = 2000;

/** What a snapshot writer needs from the rest of the node. */
export interface SnapshotWriterOptions {
  readonly store: SnapshotStore;
  readonly follower: ConfigFollower;
  /** Rank of this node among all nodes for a key; 0 writes first. */
  readonly getRank: (key: string) => number;
  /** Age at which a snapshot is renewed even if nothing changed; less than half of the log's retention. */
  readonly intervalMs: Millis;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Renews the snapshot before it ages out of the log; usually one node of the fleet writes. */
export class SnapshotWriter {
  private newest: SnapshotManifest | undefined;
  /** When the newest snapshot was written, or its absence noticed, by this node's clock. */
  private writtenMs: Millis | undefined;

  constructor(private readonly options: SnapshotWriterOptions) {}

  async run(signal: AbortSignal): Promise<void> {
    const {clock, logger} = this.options;
    await runEvery(clock, checkPeriodMs, signal, async () => {
      try {
        await this.writeIfDue();
      } catch (error) {
        logger.warn({error: describeError(error)}, 'snapshot not written');
        // Each rank waits for its turn again, so that not all nodes write when the log comes back.
        const now = clock.getTime();
        this.writtenMs = this.newest ? now - this.options.intervalMs : now;
      }
    });
  }

  /** Writes a snapshot if one is due and this node's turn has come; tells whether it wrote. */
  async writeIfDue(): Promise<boolean> {
    const {store, follower, logger} = this.options;
    const state = follower.getState();
    if (!follower.isLoaded() || state.next === 0) return false;
    if (this.writtenMs !== undefined && !this.isDue(state.next)) return false;
    await this.updateNewest();
    if (!this.isDue(state.next)) return false;
    // A node that is behind has nothing to add.
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
    const since = next - (this.newest?.next ?? 0);
    const waitMs =
      !this.newest || since > maxRecordsSinceSnapshot ? 0 : intervalMs;
    return age >= waitMs + rank * rankDelayMs;
  }

  private async updateNewest(): Promise<void> {
    const {store, clock} = this.options;
    const found = await store.findNewestManifest();
    if (found?.offset === this.newest?.offset && this.writtenMs !== undefined) {
      return;
    }
    this.newest = found;
    const now = clock.getTime();
    // The clocks of log and node may differ: an age is never below zero.
    this.writtenMs = found ? Math.min(now, found.atMs) : now;
  }
}
