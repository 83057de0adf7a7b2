import {WebSocket, WebSocketServer} from 'ws';
import {
  BatchingLogger,
  Clock,
  isIpAddress,
  Logger,
  Millis,
  NodeId,
  Random,
} from '../base/index.js';
import {KnownNode, makeKnownNode, Peer} from './known_node.js';
import {Link} from './link.js';
import {isLinkFor, makeLinkUrl} from './link_url.js';
import {
  encodeMessage,
  EntryMessage,
  GuardMessage,
  HeardNotice,
  MeshMessage,
  NodeMessage,
} from './messages.js';

const dialTimeoutMs: Millis = 1000;
const minRedialDelayMs: Millis = 150;
const maxRedialDelayMs: Millis = 1500;
/** A node unreachable for this long is removed; it dials this node when it comes back. */
const unreachableExpiryMs: Millis = 120_000;
/** If links dialled by both sides are established within this time of each other, one of the two is a duplicate. */
const dialRaceMs: Millis = 1000;
/** Delay before the node with the higher id dials, so that most pairs of nodes open one link instead of two. */
const higherIdDelayMs: Millis = 400;
/** Ping interval on an idle link, so that most dead connections are detected before they are needed. */
const idlePingMs: Millis = 15_000;
/** Ping interval on a link to a node whose replies are awaited. */
const busyPingMs: Millis = 400;
/** A link is closed if nothing is received for this long after a request or ping. */
const replyTimeoutMs: Millis = 1600;
const checkIntervalMs: Millis = 200;
/** Largest frame: a request body of 64 MiB and its headers. */
const maxFrameBytes = 65 * 1024 * 1024;

type Hello = Extract<NodeMessage, {kind: 'hello'}>;

/** Report of a guard that its server is idle. */
export type IdleReportMessage = Extract<NodeMessage, {kind: 'idle'}>;

/** Callbacks for messages from peers and changes of their links. */
export interface MeshHandlers {
  makeHello(): Hello;
  onEntryMessage(peer: Peer, message: EntryMessage): void;
  onGuardMessage(peer: Peer, message: GuardMessage): void;
  /** A link to a peer is up; `isRestarted` if the peer is a different process from before. */
  onPeerUp(peer: Peer, isRestarted: boolean): void;
  onPeerDown(peer: Peer): void;
  onGuardChange(peer: Peer): void;
  onIdleReport(peer: Peer, report: IdleReportMessage): void;
  onHeard(peer: Peer, notice: HeardNotice): void;
  onActiveExchanges(peer: Peer, ids: readonly number[]): void;
  onRoutingVersion(peer: Peer, version: number): void;
  onRoutingRequest(peer: Peer, above: number): void;
  onRoutingDocument(peer: Peer, document: Uint8Array): void;
}

/** Maintains a link to every other node; a task per node dials it until the link is up. */
export class Mesh {
  private readonly nodes = new Map<NodeId, KnownNode>();
  private readonly links = new Set<Link>();
  private readonly busyNodes = new Set<NodeId>();
  private server: WebSocketServer | undefined;

  constructor(
    private readonly self: {
      readonly node: NodeId;
      readonly address: string;
      readonly port: number;
    },
    private readonly handlers: MeshHandlers,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
    private readonly batchingLogger: BatchingLogger,
  ) {}

  /** Listens for links and checks them until the signal aborts. */
  async start(signal: AbortSignal): Promise<void> {
    const server = new WebSocketServer({
      host: this.self.address,
      port: this.self.port,
      perMessageDeflate: false,
      maxPayload: maxFrameBytes,
    });
    this.server = server;
    server.on('connection', (socket, {url}) => {
      if (isLinkFor(this.self.node, url)) void this.runLink(socket);
      else this.refuseLink(socket);
    });
    await new Promise<void>((resolve, reject) => {
      server.once('listening', resolve);
      server.once('error', reject);
    });
    void this.checkLinks(signal);
    signal.addEventListener('abort', () => this.stop());
  }

  /** Adds a node; a task dials it until it is linked. */
  addNode(node: NodeId, address: string): void {
    if (node === this.self.node) return;
    if (!isIpAddress(address)) {
      return this.logger.warn({node, address}, 'peer with odd address');
    }
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

  /** Peers that have been linked at least once. */
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

  /** Sends a message to every linked peer; encodes it once, as there are hundreds of links. */
  publish(message: Extract<NodeMessage, {kind: 'guard' | 'version'}>): void {
    const bytes = encodeMessage(message);
    for (const {link} of this.nodes.values()) link?.sendEncoded(bytes);
  }

  private stop(): void {
    for (const link of this.links) link.abort();
    this.server?.close();
    // The dialling tasks end when the server is undefined.
    this.server = undefined;
  }

  private startDialling(node: NodeId): void {
    const known = this.nodes.get(node);
    if (!known || known.link || known.hasDialTask) return;
    known.hasDialTask = true;
    void this.dialInIdOrder(known).finally(() => (known.hasDialTask = false));
  }

  /** Delays dialling if this node has the higher id, so that two nodes that discover each other do not both dial. */
  private async dialInIdOrder(known: KnownNode): Promise<void> {
    if (this.self.node > known.node) await this.clock.sleep(higherIdDelayMs);
    await this.dialUntilLinked(known);
  }

  private async dialUntilLinked(known: KnownNode): Promise<void> {
    let delayMs = minRedialDelayMs;
    while (!known.link && this.server) {
      const socket = new WebSocket(makeLinkUrl(known.address, known.node), {
        perMessageDeflate: false,
        handshakeTimeout: dialTimeoutMs,
        localAddress: this.self.address,
        maxPayload: maxFrameBytes,
      });
      await this.runLink(socket, known.node);
      if (known.link || this.nodes.get(known.node) !== known) return;
      if (this.clock.getTime() - known.unreachableSince > unreachableExpiryMs) {
        this.nodes.delete(known.node);
        this.logger.warn({peer: known.node}, 'unreachable peer removed');
        return;
      }
      await this.clock.sleep(delayMs * (0.75 + 0.5 * this.random()));
      delayMs = Math.min(maxRedialDelayMs, delayMs * 1.6);
    }
  }

  /**
   * Runs a link opened by either side; resolves when the peer's hello has arrived or the link has failed. `dialled` is the
   * node that this one has dialled.
   */
  private runLink(socket: WebSocket, dialled?: NodeId): Promise<void> {
    return new Promise(resolve => {
      let known: KnownNode | undefined;
      const link = new Link(socket, this.clock, {
        onMessage: message => {
          if (message.kind === 'hello') {
            const isOther = dialled !== undefined && message.node !== dialled;
            if (isOther) this.removeMisaddressed(dialled, message, link);
            else
              known ??= this.registerLink(link, message, dialled !== undefined);
            resolve();
          } else if (known?.link === link && known.peer) {
            this.handleMessage(known, known.peer, message);
          }
        },
        onMalformed: error =>
          this.logger.warn(
            {peer: known?.node, error},
            'malformed frame; link closed',
          ),
        onClose: () => {
          this.links.delete(link);
          if (known?.link === link) this.recordLinkLoss(known);
          resolve();
        },
      });
      this.links.add(link);
      const sendHello = () => link.send(this.handlers.makeHello());
      if (socket.readyState === WebSocket.OPEN) sendHello();
      else socket.once('open', sendHello);
      // A peer that accepts the connection but never sends a hello must not block the dialling task.
      this.clock.startTimer(2 * dialTimeoutMs, () => {
        if (!known) link.abort();
      });
    });
  }

  /** Ends a link that is meant for another node; the hello tells its dialler. */
  private refuseLink(socket: WebSocket): void {
    socket.on('error', () => socket.terminate());
    socket.send(encodeMessage(this.handlers.makeHello()));
    socket.close();
  }

  /** Removes a node whose record names the address of another one, which has its own record and link. */
  private removeMisaddressed(node: NodeId, {node: other}: Hello, link: Link) {
    this.logger.warn({peer: node, other}, 'peer removed: other node there');
    this.nodes.delete(node);
    link.close();
  }

  /**
   * Registers a link as the current one to its node; an older link is aborted, and messages in transit on it are lost.
   * Returns undefined if the link is closed instead, because it is a duplicate or leads to this node itself.
   */
  private registerLink(
    link: Link,
    hello: Hello,
    isDialled: boolean,
  ): KnownNode | undefined {
    if (hello.node === this.self.node) {
      link.close();
      return undefined;
    }
    const known =
      this.nodes.get(hello.node) ?? makeKnownNode(hello.node, hello.address, 0);
    this.nodes.set(hello.node, known);
    const oldPeer = known.peer;
    const oldLink = known.link;
    if (oldLink && oldPeer && this.isDuplicate(known, hello, isDialled)) {
      link.close();
      return undefined;
    }
    link.setFlowControl(hello.hasFlowControl === true);
    known.link = link;
    known.linkedAt = this.clock.getTime();
    known.isDialled = isDialled;
    known.address = hello.address;
    const isRestarted =
      oldPeer !== undefined && oldPeer.incarnation !== hello.incarnation;
    known.peer = {
      node: hello.node,
      address: hello.address,
      dataCentre: hello.dataCentre,
      incarnation: hello.incarnation,
      isJoined: hello.isJoined,
      guard: hello.guard,
      routingVersion: hello.routingVersion,
      acceptsIdleReports: hello.acceptsIdleReports === true,
      channel: link,
    };
    oldLink?.abort();
    this.batchingLogger.record('peer linked', {
      peer: hello.node,
      isRestarted,
      isReplaced: oldLink !== undefined,
    });
    this.handlers.onPeerUp(known.peer, isRestarted);
    this.handlers.onRoutingVersion(known.peer, hello.routingVersion);
    return known;
  }

  /**
   * Whether a new link duplicates one that was dialled by the other side at the same time and is to be kept. The link
   * dialled by the lower id is kept, so that both sides keep the same one. A link that comes later replaces the older
   * one, because its dialler has given up the older one.
   */
  private isDuplicate(
    known: KnownNode,
    hello: Hello,
    isDialled: boolean,
  ): boolean {
    if (known.peer?.incarnation !== hello.incarnation) return false;
    if (this.clock.getTime() - known.linkedAt > dialRaceMs) return false;
    if (known.isDialled === isDialled) return false;
    const isOwnLower = this.self.node < known.node;
    return known.isDialled === isOwnLower;
  }

  private recordLinkLoss(known: KnownNode): void {
    known.link = undefined;
    known.unreachableSince = this.clock.getTime();
    if (known.peer) {
      known.peer = {...known.peer, channel: undefined};
      this.logger.warn({peer: known.node}, 'peer link lost');
      this.handlers.onPeerDown(known.peer);
    }
    this.startDialling(known.node);
  }

  private handleMessage(
    known: KnownNode,
    peer: Peer,
    message: MeshMessage,
  ): void {
    switch (message.kind) {
      case 'request':
      case 'withdraw':
      case 'send':
      case 'body':
      case 'cancel':
      case 'credit':
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
      case 'idle':
        return this.handlers.onIdleReport(peer, message);
      case 'heard':
        return this.handlers.onHeard(peer, message.notice);
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
        for (const entry of message.nodes) this.addNode(...entry);
        return;
      case 'ping':
        known.link?.send({kind: 'pong'});
        return;
      case 'pong':
      case 'hello':
        return;
    }
  }

  private async checkLinks(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(checkIntervalMs, signal);
      for (const known of this.nodes.values()) {
        const {link} = known;
        if (!link) continue;
        const pendingMs = link.getPendingReplyTime();
        if (pendingMs > replyTimeoutMs) {
          this.logger.warn(
            {peer: known.node, silenceMs: Math.round(pendingMs)},
            'peer silent; link ended',
          );
          link.abort();
        } else if (pendingMs === 0 && this.needsPing(known, link)) {
          link.send({kind: 'ping'});
        }
      }
    }
  }

  private needsPing(known: KnownNode, link: Link): boolean {
    const isBusy = this.busyNodes.has(known.node);
    return link.getIdleTime() > (isBusy ? busyPingMs : idlePingMs);
  }

  /** Records whether replies of a node are awaited, so that a dead link to it is detected sooner. */
  markBusy(node: NodeId, isBusy: boolean): void {
    if (isBusy) this.busyNodes.add(node);
    else this.busyNodes.delete(node);
  }
}
