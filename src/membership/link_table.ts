import {Clock, Millis, NodeId} from '../base/index.js';
import {PeerLink} from './peer_link.js';

/** Close codes of a link, in the range that WebSocket reserves for applications. */
export const closeCodes = {
  notNeeded: 4000,
  duplicate: 4001,
  stopping: 4002,
  full: 4003,
  refused: 4004,
} as const;

// A link without contact for this long is replaced by any new link to the same node.
const staleAfterMs: Millis = 1500;

/** Authenticated links of this node, at most one to each other node. */
export class LinkTable {
  readonly links = new Set<PeerLink>();
  private readonly byNode = new Map<NodeId, PeerLink>();

  constructor(
    private readonly self: NodeId,
    private readonly clock: Clock,
  ) {}

  get(node: NodeId): PeerLink | undefined {
    return this.byNode.get(node);
  }

  has(node: NodeId): boolean {
    return this.byNode.has(node);
  }

  /** Adds a link and closes an existing one to the node, unless that one is preferred; returns whether it was added. */
  add(link: PeerLink): boolean {
    const existing = this.byNode.get(link.node);
    if (existing && this.isPreferred(existing, link)) return false;
    this.links.add(link);
    this.byNode.set(link.node, link);
    if (existing) {
      this.links.delete(existing);
      existing.socket.close(closeCodes.duplicate);
    }
    return true;
  }

  remove(link: PeerLink): void {
    this.links.delete(link);
    if (this.byNode.get(link.node) === link) this.byNode.delete(link.node);
  }

  // If two nodes dial each other at the same time, both keep the link dialled by the lower id.
  private isPreferred(existing: PeerLink, link: PeerLink): boolean {
    const silence = this.clock.getTime() - existing.getLastContactTime();
    if (silence > staleAfterMs || existing.isDialled === link.isDialled) {
      return false;
    }
    return this.getDialler(existing) < this.getDialler(link);
  }

  private getDialler(link: PeerLink): NodeId {
    return link.isDialled ? this.self : link.node;
  }
}
