import {NodeId} from '../base/index.js';
import {GuardState, HeardNotice} from '../mesh/index.js';

/**
 * What other guards have told about limits and departures of their backend servers. The process of a guard forgets them
 * when it restarts, and the store may be away at that time; every node that knows them tells the new process.
 */
export class HeardNotices {
  private readonly byNode = new Map<NodeId, HeardNotice>();

  get(node: NodeId): HeardNotice | undefined {
    return this.byNode.get(node);
  }

  /** Replaces what is known by what a guard tells of itself; one that knows of no server tells nothing. */
  update(node: NodeId, guard: GuardState): void {
    switch (guard.kind) {
      case 'open':
        if (guard.limit) this.byNode.set(node, {limit: guard.limit});
        else this.byNode.delete(node);
        return;
      case 'closed':
        if (guard.departure) {
          this.byNode.set(node, {departure: guard.departure});
        }
        return;
    }
  }
}
