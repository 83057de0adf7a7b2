import {DataCentreId, Millis, NodeId} from '../base/index.js';
import {Channel, Link} from './link.js';
import {GuardState} from './messages.js';

/** Another node, reachable or not. */
export interface Peer {
  readonly node: NodeId;
  /** host:port at which the node accepts links. */
  readonly address: string;
  readonly dataCentre: DataCentreId;
  readonly incarnation: number;
  /** Whether the node had read the node directory when it sent its hello. */
  readonly isJoined: boolean;
  readonly guard: GuardState;
  readonly routingVersion: number;
  readonly acceptsIdleReports: boolean;
  readonly channel: Channel | undefined;
}

/** Another node and the state of dialling it. */
export interface KnownNode {
  readonly node: NodeId;
  address: string;
  unreachableSince: Millis;
  hasDialTask: boolean;
  /** When the current link was established, and whether this node dialled it. */
  linkedAt: Millis;
  isDialled: boolean;
  peer: Peer | undefined;
  link: Link | undefined;
}

/** Makes a node that was never linked. */
export function makeKnownNode(
  node: NodeId,
  address: string,
  unreachableSince: Millis,
): KnownNode {
  return {
    node,
    address,
    unreachableSince,
    hasDialTask: false,
    linkedAt: 0,
    isDialled: false,
    peer: undefined,
    link: undefined,
  };
}
