import {Clock, Millis, NodeId} from '../base/index.js';
import {PeerLink} from './peer_link.js';

/** Codes with which a node closes a link, in the range that WebSocket leaves to applications. */
export const closeCodes = {
  notNeeded: 4000,
  duplicate: 4001,
  stopping: 4002,
  full: 4003,
  refused: 4004,
} as const;

// An existing link silent for so long gives way to a new one to the same node.
const staleMs: Millis = 1500;

/** The proven links of this node, one to each other node. */
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

  /** Takes a link unless a better one to the node exists; an existing worse one is closed. */
  add(link: PeerLink): boolean {
    const existing = this.byNode.get(link.node);
    if (existing && this.isBetter(existing, link)) return false;
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

  // When two nodes dial each other at once, both keep the link that the lower id dialled.
  private isBetter(existing: PeerLink, link: PeerLink): boolean {
    const silence = this.clock.getTime() - existing.getLastContactTime();
    if (silence > staleMs || existing.isDialled === link.isDialled) {
      return false;
    }
    return this.getDialler(existing) < this.getDialler(link);
  }

  private getDialler(link: PeerLink): NodeId {
    return link.isDialled ? this.self : link.node;
  }
}
