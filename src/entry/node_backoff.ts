import {Clock, Millis, NodeId} from '../base/index.js';
import {GuardResult} from '../guard/index.js';

const initialBackoffMs: Millis = 2000;
const maxBackoffMs: Millis = 30_000;

/**
 * Reachability of a node as shown by one exchange. `lost`: no connection or no reply in time. `broken`: the connection
 * ended before any reply.
 */
export type Reachability = 'reached' | 'lost' | 'broken' | 'unknown';

/** Derives from the result of a call whether the node was reached; an error reported by its guard is a reply too. */
export function findReachability(result: GuardResult): Reachability {
  if (result.kind === 'answer') return 'reached';
  switch (result.reason) {
    case 'node-unreachable':
    case 'no-reply':
      return 'lost';
    case 'node-lost':
      return 'broken';
    default:
      return 'reached';
  }
}

// Consecutive broken connections that start a backoff. A single one may have a harmless cause, such as a restart.
const brokenConnectionLimit = 2;

interface Backoff {
  readonly untilMs: Millis;
  readonly backoffMs: Millis;
}

/**
 * Exponential backoff for nodes that this entry could not reach. During the backoff, which doubles with each
 * consecutive failure, a node gets no requests from this entry: each attempt at an unresponsive node costs a caller
 * its whole deadline.
 */
export class NodeBackoff {
  private backoffs: ReadonlyMap<NodeId, Backoff> = new Map();
  private brokenCounts: ReadonlyMap<NodeId, number> = new Map();

  constructor(private readonly clock: Clock) {}

  /** Whether the node must get no requests at present. */
  isBackedOff(node: NodeId): boolean {
    const backoff = this.backoffs.get(node);
    return backoff !== undefined && this.clock.getTime() < backoff.untilMs;
  }

  /** Records the reachability that one exchange with the node showed. */
  record(node: NodeId, reachability: Reachability): void {
    switch (reachability) {
      case 'reached':
        return this.recordReached(node);
      case 'lost':
        return this.startBackoff(node);
      case 'broken':
        return this.recordBroken(node);
      case 'unknown':
        return undefined;
    }
  }

  private recordBroken(node: NodeId): void {
    const count = (this.brokenCounts.get(node) ?? 0) + 1;
    this.brokenCounts = new Map(this.brokenCounts).set(node, count);
    if (count >= brokenConnectionLimit) this.startBackoff(node);
  }

  private startBackoff(node: NodeId): void {
    const now = this.clock.getTime();
    const previous = this.backoffs.get(node);
    // Requests that were in flight together fail together; they count as one failure.
    if (previous && now < previous.untilMs) return;
    const backoffMs = previous
      ? Math.min(maxBackoffMs, previous.backoffMs * 2)
      : initialBackoffMs;
    const backoff = {untilMs: now + backoffMs, backoffMs};
    this.backoffs = new Map(this.backoffs).set(node, backoff);
  }

  private recordReached(node: NodeId): void {
    if (!this.backoffs.has(node) && !this.brokenCounts.has(node)) return;
    this.backoffs = removeKey(this.backoffs, node);
    this.brokenCounts = removeKey(this.brokenCounts, node);
  }
}

function removeKey<V>(map: ReadonlyMap<NodeId, V>, node: NodeId) {
  const rest = new Map(map);
  rest.delete(node);
  return rest;
}
