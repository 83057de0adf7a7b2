import {WebSocket, WebSocketServer} from 'ws';
import {
  Clock,
  DataCentreId,
  Logger,
  Millis,
  BatchingLogger,
  NodeId,
  Random,
} from '../base/index.js';
import {Channel, Link} from './link.js';
import {
  encodeMessage,
  EntryMessage,
  GuardMessage,
  GuardState,
  MeshMessage,
  NodeMessage,
} from './messages.js';

const dialTimeoutMs: Millis = 1000;
const firstPauseMs: Millis = 150;
const maxPauseMs: Millis = 1500;
/** A node that could not be reached for this long is forgotten; it introduces itself when it comes back. */
const forgetMs: Millis = 120_000;
/** Links that both sides dial at the same moment come up within this time. */
const twinMs: Millis = 1000;
/** Lead of the node with the lower id, so that most pairs of nodes open one link and not two. */
const yieldMs: Millis = 400;
/** An idle link is tested this often, so that a dead connection is found before it is needed. */
const idlePingMs: Millis = 4000;
/** A link with a question open is tested this often. */
const busyPingMs: Millis = 400;
/** Silence after a test that ends a link. */
const deadMs: Millis = 1600;
const checkMs: Millis = 200;
/** Largest frame: a request body of 64 MiB and its headers. */
const maxFrameBytes = 65 * 1024 * 1024;

type Hello = Extract<NodeMessage, {kind: 'hello'}>;

/** Another node, reachable or not. */
export interface Peer {
  readonly node: NodeId;
  /** host:port at which it takes links. */
  readonly address: string;
  readonly dataCentre: DataCentreId;
  readonly incarnation: number;
  /** Whether it had read the directory of nodes when it greeted. */
  readonly isJoined: boolean;
  readonly guard: GuardState;
  readonly routingVersion: number;
  readonly channel: Channel | undefined;
}

/** What the node does with news of its peers. */
export interface MeshHandlers {
  makeHello(): Hello;
  onEntryMessage(peer: Peer, message: EntryMessage): void;
  onGuardMessage(peer: Peer, message: GuardMessage): void;
  /** A link to a peer is up; `isRestarted` if the peer is another process than before. */
  onPeerUp(peer: Peer, isRestarted: boolean): void;
  onPeerDown(peer: Peer): void;
  onGuardChange(peer: Peer): void;
  onActiveExchanges(peer: Peer, ids: readonly number[]): void;
  onRoutingVersion(peer: Peer, version: number): void;
  onRoutingRequest(peer: Peer, above: number): void;
  onRoutingDocument(peer: Peer, document: Uint8Array): void;
}

interface KnownNode {
  readonly node: NodeId;
  address: string;
  lostAt: Millis;
  isDialling: boolean;
  /** When the present link came up, and whether this node dialled it. */
  linkedAt: Millis;
  isDialled: boolean;
  peer: Peer | undefined;
  link: Link | undefined;
}

function makeKnownNode(
  node: NodeId,
  address: string,
  lostAt: Millis,
): KnownNode {
  return {
    node,
    address,
    lostAt,
    isDialling: false,
    linkedAt: 0,
    isDialled: false,
    peer: undefined,
    link: undefined,
  };
}

/** Links to all other nodes: one task for each node dials it until a link is up. */
export class Mesh {
  private readonly nodes = new Map<NodeId, KnownNode>();
  private readonly links = new Set<Link>();
  private readonly busyNodes = new Set<NodeId>();
  private server: WebSocketServer | undefined;

  constructor(
    private readonly own: {
      readonly node: NodeId;
      readonly address: string;
      readonly port: number;
    },
    private readonly handlers: MeshHandlers,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
    private readonly news: BatchingLogger,
  ) {}

  /** Opens the port for links and keeps links alive until the signal aborts. */
  async start(signal: AbortSignal): Promise<void> {
    const server = new WebSocketServer({
      host: this.own.address,
      port: this.own.port,
      perMessageDeflate: false,
      maxPayload: maxFrameBytes,
    });
    this.server = server;
    server.on('connection', socket => void this.runLink(socket, false));
    await new Promise<void>((resolve, reject) => {
      server.once('listening', resolve);
      server.once('error', reject);
    });
    void this.runChecks(signal);
    signal.addEventListener('abort', () => this.stop());
  }

  /** Makes a node known; a task dials it until it is reached. */
  addNode(node: NodeId, address: string): void {
    if (node === this.own.node) return;
    const known = this.nodes.get(node);
    if (known) {
      if (!known.link) known.address = address;
    } else {
      this.nodes.set(node, makeKnownNode(node, address, this.clock.getTime()));
    }
    this.startDialling(node);
  }

  getPeer(node: NodeId): Peer | undefined {
    return this.nodes.get(node)?.peer;
  }

  /** Peers that were reached at least once. */
  listPeers(): readonly Peer[] {
    const peers: Peer[] = [];
    for (const {peer} of this.nodes.values()) if (peer) peers.push(peer);
    return peers;
  }

  countNodes(): number {
    return this.nodes.size;
  }

  countLinkedNodes(): number {
    return [...this.nodes.values()].filter(({link}) => link).length;
  }

  /** Sends to every peer that has a link; encoded once, as there are hundreds of links. */
  publish(message: Extract<NodeMessage, {kind: 'guard' | 'version'}>): void {
    const bytes = encodeMessage(message);
    for (const {link} of this.nodes.values()) link?.sendEncoded(bytes);
  }

  private stop(): void {
    for (const link of this.links) link.abort();
    this.server?.close();
    // The dialling tasks end when they see that there is no server.
    this.server = undefined;
  }

  private startDialling(node: NodeId): void {
    const known = this.nodes.get(node);
    if (!known || known.link || known.isDialling) return;
    known.isDialling = true;
    void this.dialInTurn(known).finally(() => (known.isDialling = false));
  }

  /** Of two nodes that learn of each other at once, the one with the higher id leaves the other the time to dial. */
  private async dialInTurn(known: KnownNode): Promise<void> {
    if (this.own.node > known.node) await this.clock.sleep(yieldMs);
    await this.dialUntilLinked(known);
  }

  private async dialUntilLinked(known: KnownNode): Promise<void> {
    let pause = firstPauseMs;
    while (!known.link && this.server) {
      const socket = new WebSocket(`ws://${known.address}/link`, {
        perMessageDeflate: false,
        handshakeTimeout: dialTimeoutMs,
        localAddress: this.own.address,
        maxPayload: maxFrameBytes,
      });
      await this.runLink(socket, true);
      if (known.link) return;
      if (this.clock.getTime() - known.lostAt > forgetMs) {
        this.nodes.delete(known.node);
        this.logger.warn({peer: known.node}, 'peer forgotten');
        return;
      }
      await this.clock.sleep(pause * (0.75 + 0.5 * this.random()));
      pause = Math.min(maxPauseMs, pause * 1.6);
    }
  }

  /** Opens a link in either direction; resolves when the peer's greeting came or the link failed. */
  private runLink(socket: WebSocket, isDialled: boolean): Promise<void> {
    return new Promise(resolve => {
      let known: KnownNode | undefined;
      const link = new Link(socket, this.clock, {
        onMessage: message => {
          if (message.kind === 'hello') {
            known ??= this.useLink(link, message, isDialled);
            resolve();
          } else if (known?.link === link && known.peer) {
            this.handle(known, known.peer, message);
          }
        },
        onMalformed: () =>
          this.logger.warn({peer: known?.node}, 'malformed frame; link ended'),
        onClose: () => {
          this.links.delete(link);
          if (known?.link === link) this.recordLoss(known);
          resolve();
        },
      });
      this.links.add(link);
      const sendHello = () => link.send(this.handlers.makeHello());
      if (socket.readyState === WebSocket.OPEN) sendHello();
      else socket.once('open', sendHello);
      // A peer that accepts and never greets must not hold the dialling task.
      this.clock.startTimer(2 * dialTimeoutMs, () => {
        if (!known) link.abort();
      });
    });
  }

  /** Takes a greeted link as the way to its node. An older link of the node ends, and with it all it still carries. */
  private useLink(
    link: Link,
    hello: Hello,
    isDialled: boolean,
  ): KnownNode | undefined {
    if (hello.node === this.own.node) {
      link.close();
      return undefined;
    }
    const known =
      this.nodes.get(hello.node) ?? makeKnownNode(hello.node, hello.address, 0);
    this.nodes.set(hello.node, known);
    const before = known.peer;
    const old = known.link;
    if (old && before && this.isTwin(known, hello, isDialled)) {
      link.close();
      return undefined;
    }
    known.link = link;
    known.linkedAt = this.clock.getTime();
    known.isDialled = isDialled;
    known.address = hello.address;
    const isRestarted =
      before !== undefined && before.incarnation !== hello.incarnation;
    known.peer = {
      node: hello.node,
      address: hello.address,
      dataCentre: hello.dataCentre,
      incarnation: hello.incarnation,
      isJoined: hello.isJoined,
      guard: hello.guard,
      routingVersion: hello.routingVersion,
      channel: link,
    };
    old?.abort();
    this.news.record('peer linked', {
      peer: hello.node,
      isRestarted,
      isReplaced: old !== undefined,
    });
    this.handlers.onPeerUp(known.peer, isRestarted);
    this.handlers.onRoutingVersion(known.peer, hello.routingVersion);
    return known;
  }

  /**
   * Whether a new link only doubles one that both sides opened at the same moment. The one that the lower id dialled
   * stays, so that both sides keep the same. A later link replaces an older one, which its dialler has given up.
   */
  private isTwin(known: KnownNode, hello: Hello, isDialled: boolean): boolean {
    if (known.peer?.incarnation !== hello.incarnation) return false;
    if (this.clock.getTime() - known.linkedAt > twinMs) return false;
    if (known.isDialled === isDialled) return false;
    const isOwnLower = this.own.node < known.node;
    return known.isDialled === isOwnLower;
  }

  private recordLoss(known: KnownNode): void {
    known.link = undefined;
    known.lostAt = this.clock.getTime();
    if (known.peer) {
      known.peer = {...known.peer, channel: undefined};
      this.logger.warn({peer: known.node}, 'peer link lost');
      this.handlers.onPeerDown(known.peer);
    }
    this.startDialling(known.node);
  }

  private handle(known: KnownNode, peer: Peer, message: MeshMessage): void {
    switch (message.kind) {
      case 'request':
      case 'withdraw':
      case 'send':
      case 'cancel':
        return this.handlers.onEntryMessage(peer, message);
      case 'granted':
      case 'queued':
      case 'refused':
      case 'head':
      case 'chunk':
      case 'end':
      case 'failed':
        return this.handlers.onGuardMessage(peer, message);
      case 'guard':
        known.peer = {...peer, guard: message.guard};
        return this.handlers.onGuardChange(known.peer);
      case 'holding':
        return this.handlers.onActiveExchanges(peer, message.ids);
      case 'version':
        known.peer = {...peer, routingVersion: message.version};
        return this.handlers.onRoutingVersion(known.peer, message.version);
      case 'want-routing':
        return this.handlers.onRoutingRequest(peer, message.above);
      case 'routing':
        return this.handlers.onRoutingDocument(peer, message.document);
      case 'nodes':
        for (const [node, address] of message.nodes) {
          this.addNode(node, address);
        }
        return;
      case 'ping':
        known.link?.send({kind: 'pong'});
        return;
      case 'pong':
      case 'hello':
        return;
    }
  }

  private async runChecks(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(checkMs, signal);
      for (const known of this.nodes.values()) {
        const {link} = known;
        if (!link) continue;
        const silence = link.getPendingReplyTime();
        if (silence > deadMs) {
          this.logger.warn(
            {peer: known.node, silenceMs: Math.round(silence)},
            'peer silent; link ended',
          );
          link.abort();
        } else if (silence === 0 && this.needsTest(known, link)) {
          link.send({kind: 'ping'});
        }
      }
    }
  }

  private needsTest(known: KnownNode, link: Link): boolean {
    const isBusy = this.busyNodes.has(known.node);
    return link.getIdleTime() > (isBusy ? busyPingMs : idlePingMs);
  }

  /** Notes whether answers of a node are awaited, so that a dead link to it is found soon. */
  markBusy(node: NodeId, isBusy: boolean): void {
    if (isBusy) this.busyNodes.add(node);
    else this.busyNodes.delete(node);
  }
}
