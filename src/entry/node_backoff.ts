import {Clock, Millis, NodeId} from '../base/index.js';
import {GuardResult} from '../guard/index.js';

const firstPauseMs: Millis = 2000;
const maxPauseMs: Millis = 30_000;

/** What an exchange shows of the way to a node. `broken`: the connection ended before any reply. */
export type Reachability = 'reached' | 'lost' | 'broken' | 'unknown';

/** Tells from the outcome of a call whether the node was reached; what a guard reports was itself a reply. */
export function findReachability(answer: GuardResult): Reachability {
  if (answer.kind === 'answer') return 'reached';
  switch (answer.reason) {
    case 'node-unreachable':
    case 'no-reply':
      return 'lost';
    case 'node-lost':
      return 'broken';
    default:
      return 'reached';
  }
}

// One connection may break for reasons of its own, such as a restart of the node.
const brokenInRow = 2;

interface Loss {
  readonly untilMs: Millis;
  readonly pauseMs: Millis;
}

/**
 * Nodes that this entry could not reach: they get no work from it for a while, which doubles with each failure in a
 * row, because each try at a silent node costs a caller the whole deadline.
 */
export class NodeBackoff {
  private losses: ReadonlyMap<NodeId, Loss> = new Map();
  private broken: ReadonlyMap<NodeId, number> = new Map();

  constructor(private readonly clock: Clock) {}

  /** Whether the node is to be left out now. */
  isBackedOff(node: NodeId): boolean {
    const loss = this.losses.get(node);
    return loss !== undefined && this.clock.getTime() < loss.untilMs;
  }

  /** Takes what an exchange with the node showed. */
  record(node: NodeId, reach: Reachability): void {
    switch (reach) {
      case 'reached':
        return this.recordReached(node);
      case 'lost':
        return this.recordLost(node);
      case 'broken':
        return this.recordBroken(node);
      case 'unknown':
        return undefined;
    }
  }

  private recordBroken(node: NodeId): void {
    const count = (this.broken.get(node) ?? 0) + 1;
    this.broken = new Map(this.broken).set(node, count);
    if (count >= brokenInRow) this.recordLost(node);
  }

  private recordLost(node: NodeId): void {
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

  private recordReached(node: NodeId): void {
    if (!this.losses.has(node) && !this.broken.has(node)) return;
    this.losses = removeKey(this.losses, node);
    this.broken = removeKey(this.broken, node);
  }
}

function removeKey<V>(map: ReadonlyMap<NodeId, V>, node: NodeId) {
  const rest = new Map(map);
  rest.delete(node);
  return rest;
}
