import {Clock, Millis, NodeId} from '../base/index.js';
import {NodeRecord} from './node_record.js';
import {Roster} from './roster.js';

/** A neighbour that was not reached for so long is suspected. */
export const suspicionTimeoutMs: Millis = 3000;

// When this node's own link fails, its neighbours fall silent up to a heartbeat after one another. Doubt begins earlier
// than suspicion by more than that, so that the first is not published before the rest are counted.
const doubtMs: Millis = 1750;
/** A data port that did not answer has this time for another probe, and the other neighbours for theirs. */
const dataPortGraceMs: Millis = 2500;

interface Watched {
  readonly incarnation: number;
  readonly contactAtMs: Millis;
  readonly dataPortLostAtMs: Millis | undefined;
}

/** What this node knows at first hand of the nodes that it is linked to or dials. */
export class FailureDetector {
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

  /** Records whether the data port of the node answered; tells whether that was the first failure. */
  recordDataPortProbe(node: NodeId, reached: boolean): boolean {
    const known = this.watched.get(node);
    if (!known) return false;
    const lostAtMs = known.dataPortLostAtMs ?? this.clock.getTime();
    const dataPortLostAtMs = reached ? undefined : lostAtMs;
    this.watched.set(node, {...known, dataPortLostAtMs});
    return !reached && known.dataPortLostAtMs === undefined;
  }

  /** Whether the last probe of the data port failed. */
  hasDataPortFailed(node: NodeId): boolean {
    return this.watched.get(node)?.dataPortLostAtMs !== undefined;
  }

  isSuspected(node: NodeId): boolean {
    const known = this.watched.get(node);
    return (
      known !== undefined &&
      this.isLost(known, suspicionTimeoutMs, dataPortGraceMs)
    );
  }

  /** Suspicions to publish; none if more than half of the watched nodes may be lost, since the cause is then here. */
  listSuspicions(): NodeRecord['suspicions'] {
    const lost = this.list().filter(node => this.isSuspected(node));
    const doubtful = [...this.watched.values()].filter(watched =>
      this.isLost(watched, doubtMs, 0),
    );
    if (doubtful.length * 2 > this.watched.size) return [];
    return lost.sort().flatMap(node => {
      const record = this.roster.get(node);
      // A leaving node closes its ports in order.
      if (record?.state !== 'serving') return [];
      return [{node, incarnation: record.incarnation}];
    });
  }

  // A new process at the other end has the time of a silence to be reached, like any other.
  private resetRestarted({node, incarnation}: NodeRecord): void {
    const known = this.watched.get(node);
    if (known && incarnation > known.incarnation) this.start(node, incarnation);
  }

  private start(node: NodeId, incarnation: number): void {
    const contactAtMs = this.clock.getTime();
    this.watched.set(node, {
      incarnation,
      contactAtMs,
      dataPortLostAtMs: undefined,
    });
  }

  private isLost(
    {contactAtMs, dataPortLostAtMs = Infinity}: Watched,
    silence: Millis,
    grace: Millis,
  ): boolean {
    const now = this.clock.getTime();
    return now - contactAtMs > silence || now - dataPortLostAtMs >= grace;
  }
}
