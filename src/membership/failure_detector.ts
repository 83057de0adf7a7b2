import {Clock, Millis, NodeId} from '../base/index.js';
import {NodeRecord} from './node_record.js';
import {Roster} from './roster.js';

/** A neighbour without contact for this long is suspected. */
export const suspicionTimeoutMs: Millis = 3000;

// A neighbour without contact for this long counts as possibly unreachable when the node checks for a fault of its own.
// If its own network fails, it loses contact with its neighbours at times up to one heartbeat interval apart. The value
// is below the suspicion timeout by more than an interval, so that no suspicion is published before all are counted.
const localFaultCheckMs: Millis = 1750;
/**
 * A node is suspected this long after the first failed probe of its data port, unless a later probe succeeds. In
 * between, all neighbours are probed again.
 */
const dataPortTimeoutMs: Millis = 2500;

interface WatchedNode {
  readonly incarnation: number;
  readonly contactAtMs: Millis;
  readonly dataPortFailedAtMs: Millis | undefined;
}

/** Detects failures of the nodes that this node is linked to or dials, from its own contacts and probes alone. */
export class FailureDetector {
  private readonly watched = new Map<NodeId, WatchedNode>();

  constructor(
    private readonly roster: Roster,
    private readonly clock: Clock,
  ) {
    roster.onMerge(record => this.resetRestarted(record));
  }

  /** Starts to watch a node; without any contact it is suspected after the suspicion timeout. */
  add(node: NodeId): void {
    if (this.watched.has(node)) return;
    const incarnation = this.roster.get(node)?.incarnation ?? 0;
    this.resetWatch(node, incarnation);
  }

  remove(node: NodeId): void {
    this.watched.delete(node);
  }

  has(node: NodeId): boolean {
    return this.watched.has(node);
  }

  list(): readonly NodeId[] {
    return [...this.watched.keys()];
  }

  /** Records when a link to the node last worked in both directions. */
  recordContact(node: NodeId, contactAtMs: Millis): void {
    const known = this.watched.get(node);
    if (!known || known.contactAtMs >= contactAtMs) return;
    this.watched.set(node, {...known, contactAtMs});
  }

  /** Records the result of a data port probe; returns whether it is the first failure since the port last responded. */
  recordDataPortProbe(node: NodeId, reached: boolean): boolean {
    const known = this.watched.get(node);
    if (!known) return false;
    const failedAtMs = known.dataPortFailedAtMs ?? this.clock.getTime();
    const dataPortFailedAtMs = reached ? undefined : failedAtMs;
    this.watched.set(node, {...known, dataPortFailedAtMs});
    return !reached && known.dataPortFailedAtMs === undefined;
  }

  /** Returns whether the last probe of the data port failed. */
  hasDataPortFailed(node: NodeId): boolean {
    return this.watched.get(node)?.dataPortFailedAtMs !== undefined;
  }

  isSuspected(node: NodeId): boolean {
    const known = this.watched.get(node);
    return (
      known !== undefined &&
      this.isUnreachable(known, suspicionTimeoutMs, dataPortTimeoutMs)
    );
  }

  /**
   * Returns the suspicions to publish; none if more than half of the watched nodes may be unreachable, because the
   * fault is then taken to be on this node.
   */
  listSuspicions(): NodeRecord['suspicions'] {
    const suspected = this.list().filter(node => this.isSuspected(node));
    const unreachable = [...this.watched.values()].filter(watched =>
      this.isUnreachable(watched, localFaultCheckMs, 0),
    );
    if (unreachable.length * 2 > this.watched.size) return [];
    return suspected.sort().flatMap(node => {
      const record = this.roster.get(node);
      // A node that shuts down gracefully closes its ports; that is not a failure.
      if (record?.state !== 'serving') return [];
      return [{node, incarnation: record.incarnation}];
    });
  }

  // A restarted node is suspected only after a new suspicion timeout, like a node that was just added.
  private resetRestarted({node, incarnation}: NodeRecord): void {
    const known = this.watched.get(node);
    if (known && incarnation > known.incarnation)
      this.resetWatch(node, incarnation);
  }

  private resetWatch(node: NodeId, incarnation: number): void {
    const contactAtMs = this.clock.getTime();
    this.watched.set(node, {
      incarnation,
      contactAtMs,
      dataPortFailedAtMs: undefined,
    });
  }

  private isUnreachable(
    {contactAtMs, dataPortFailedAtMs = Infinity}: WatchedNode,
    timeout: Millis,
    grace: Millis,
  ): boolean {
    const now = this.clock.getTime();
    return now - contactAtMs > timeout || now - dataPortFailedAtMs >= grace;
  }
}
