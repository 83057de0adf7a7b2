import {NodeId} from '../base/index.js';
import {GuardState, HeardNotice} from '../mesh/index.js';
import {addDeparture, Departure} from './departures.js';

interface HeardState {
  readonly limit?: HeardNotice['limit'];
  readonly departure?: Departure;
  readonly departures: readonly Departure[];
}

/**
 * What other guards have told about limits and departures of their backend servers. The process of a guard forgets them
 * when it restarts, and the store may be away at that time; every node that knows them tells the new process.
 */
export class HeardNotices {
  private readonly byNode = new Map<NodeId, HeardState>();

  get(node: NodeId): HeardNotice | undefined {
    return this.byNode.get(node);
  }

  /**
   * Replaces the limit by what a guard tells of itself, and adds its departure; one that knows of no server tells nothing.
   */
  update(node: NodeId, guard: GuardState): void {
    const heard = this.byNode.get(node) ?? {departures: []};
    switch (guard.kind) {
      case 'open':
        this.set(node, {limit: guard.limit, departures: heard.departures});
        return;
      case 'closed':
        if (!guard.departure) return;
        this.set(node, {
          departure: guard.departure,
          departures: addDeparture(heard.departures, guard.departure),
        });
        return;
    }
  }

  private set(node: NodeId, state: HeardState): void {
    if (state.limit || state.departures.length > 0) {
      this.byNode.set(node, state);
    } else {
      this.byNode.delete(node);
    }
  }
}
