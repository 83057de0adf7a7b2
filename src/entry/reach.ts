import {Clock, Millis, NodeId} from '../base/index.js';

const firstPauseMs: Millis = 2000;
const maxPauseMs: Millis = 30_000;

interface Loss {
  readonly untilMs: Millis;
  readonly pauseMs: Millis;
}

/**
 * Nodes that this entry could not reach: they get no work from it for a while, which doubles with each failure in a
 * row, because each try at a silent node costs a caller the whole deadline.
 */
export class ReachMemory {
  private losses: ReadonlyMap<NodeId, Loss> = new Map();

  constructor(private readonly clock: Clock) {}

  /** Whether the node is to be left out now. */
  isUnreachable(node: NodeId): boolean {
    const loss = this.losses.get(node);
    return loss !== undefined && this.clock.getTime() < loss.untilMs;
  }

  recordLost(node: NodeId): void {
    const now = this.clock.getTime();
    const known = this.losses.get(node);
    // Requests that were under way together fail together; they count as one failure.
    if (known && now < known.untilMs) return;
    const pauseMs = known
      ? Math.min(maxPauseMs, known.pauseMs * 2)
      : firstPauseMs;
    const loss = {untilMs: now + pauseMs, pauseMs};
    this.losses = new Map(this.losses).set(node, loss);
  }

  recordReached(node: NodeId): void {
    if (!this.losses.has(node)) return;
    const losses = new Map(this.losses);
    losses.delete(node);
    this.losses = losses;
  }
}
