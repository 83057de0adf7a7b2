import {Clock, Millis, NodeId} from '../base/index.js';
import {NodeRecord} from './node_record.js';
import {Roster} from './roster.js';

/** A neighbour that was not reached for so long is suspected. */
export const silenceMs: Millis = 3000;

interface Watched {
  readonly incarnation: number;
  readonly contactAtMs: Millis;
  readonly dataPortLost: boolean;
}

/** What this node knows at first hand of the nodes that it is linked to or dials. */
export class Watcher {
  private readonly watched = new Map<NodeId, Watched>();

  constructor(
    private readonly roster: Roster,
    private readonly clock: Clock,
  ) {
    roster.onMerge(record => this.resetRestarted(record));
  }

  /** Starts to watch; the node has the time of a silence to be reached first. */
  add(node: NodeId): void {
    if (this.watched.has(node)) return;
    const incarnation = this.roster.get(node)?.incarnation ?? 0;
    this.start(node, incarnation);
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

  /** Records whether the data port of the node answered. */
  recordDataPort(node: NodeId, reached: boolean): void {
    const known = this.watched.get(node);
    if (known) this.watched.set(node, {...known, dataPortLost: !reached});
  }

  isSuspected(node: NodeId): boolean {
    const known = this.watched.get(node);
    return known !== undefined && this.isLost(known);
  }

  /** Suspicions to publish; none if more than half of the watched nodes seem lost, since the cause is then here. */
  listSuspicions(): NodeRecord['suspicions'] {
    const lost = this.list().filter(node => this.isSuspected(node));
    if (lost.length * 2 > this.watched.size) return [];
    return lost.sort().flatMap(node => {
      const record = this.roster.get(node);
      return record ? [{node, incarnation: record.incarnation}] : [];
    });
  }

  // A new process at the other end has the time of a silence to be reached, like any other.
  private resetRestarted({node, incarnation}: NodeRecord): void {
    const known = this.watched.get(node);
    if (known && incarnation > known.incarnation) this.start(node, incarnation);
  }

  private start(node: NodeId, incarnation: number): void {
    const contactAtMs = this.clock.getTime();
    this.watched.set(node, {incarnation, contactAtMs, dataPortLost: false});
  }

  private isLost({contactAtMs, dataPortLost}: Watched): boolean {
    return dataPortLost || this.clock.getTime() - contactAtMs > silenceMs;
  }
}
