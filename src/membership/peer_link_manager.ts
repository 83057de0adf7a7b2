import * as E from 'fp-ts/lib/Either.js';
import {WebSocket, WebSocketServer} from 'ws';
import {
  Clock,
  describeError,
  Logger,
  Millis,
  NodeId,
  Random,
  runEvery,
} from '../base/index.js';
import {DiscoveryLog} from './discovery_log.js';
import {Dialler, DialOutcome} from './dialler.js';
import {checkDataPort} from './data_port_probe.js';
import {addTraffic, FrameSocket, noTraffic, Traffic} from './frame_socket.js';
import {decodeFrame, Frame, Heartbeat, maxFrameBytes} from './frames.js';
import {Gossip} from './gossip.js';
import {verifyPeer, LinkSide} from './link_authentication.js';
import {closeCodes, LinkTable} from './link_table.js';
import {NodeRecord} from './node_record.js';
import {OwnRecord} from './own_record.js';
import {PeerLink} from './peer_link.js';
import {Roster} from './roster.js';
import {FailureDetector} from './failure_detector.js';

const tickMs: Millis = 250;
const ticksPerHeartbeat = 4;
const ticksPerExpiry = 240;
const authenticationTimeoutMs: Millis = 2000;
// Long enough for a pause of the other side, such as a garbage collection.
const linkTimeoutMs: Millis = 6000;
// With 10 neighbours, a probe of about 0.45 KB each way costs 2.2 KB/s at this interval.
const probeIntervalMs: Millis = 4000;
const reprobeIntervalMs: Millis = 1000;
// Limits the connections that processes without the cluster key can hold; each may buffer one frame of 1 MiB.
const maxUnauthenticated = 16;
// Allows for the links of a seed while all nodes start at once; in steady state a node has about 10.
const maxLinks = 128;

/** Addresses, cluster key and callbacks of a PeerLinkManager. */
export interface PeerLinkManagerOptions {
  /** host:port to listen on. */
  readonly listenAddress: string;
  /** Source IP address of outgoing connections. */
  readonly localAddress: string;
  /** Addresses, host:port, of nodes to dial at start. */
  readonly seeds: readonly string[];
  readonly clusterKey: string;
  /** Returns the version of the configuration in force on this node. */
  getConfigVersion(): number;
  /** Called when a neighbour reports a newer configuration version than this node's. */
  onNewerConfigVersion(record: NodeRecord, version: number): void;
  /** Called when the result of `listSuspicions` has changed. */
  onSuspicionsChange(): void;
}

/** Maintains links to other nodes, distributes node records over them and detects failures of the linked nodes. */
export class PeerLinkManager {
  private readonly linkTable: LinkTable;
  private readonly failureDetector: FailureDetector;
  private readonly gossip: Gossip;
  private readonly dialler: Dialler;
  private readonly nextProbeAtMs = new Map<NodeId, Millis>();
  private reportedSuspicions = '[]';
  private unauthenticatedCount = 0;
  private ticks = 0;
  private closedTraffic = noTraffic;
  private stopped = false;

  constructor(
    private readonly options: PeerLinkManagerOptions,
    private readonly own: OwnRecord,
    private readonly roster: Roster,
    discoveryLog: DiscoveryLog,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {
    this.linkTable = new LinkTable(own.get().node, clock);
    this.failureDetector = new FailureDetector(roster, clock);
    this.gossip = new Gossip(own, roster, this.linkTable.links, clock, random);
    this.dialler = new Dialler(
      {
        own,
        roster,
        discoveryLog,
        failureDetector: this.failureDetector,
        linkTable: this.linkTable,
        seeds: options.seeds,
        openLink: (address, onAuthenticated, signal) =>
          this.openLink(address, onAuthenticated, signal),
      },
      clock,
      random,
    );
  }

  /** Listens, dials peers and exchanges records until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const separator = this.options.listenAddress.lastIndexOf(':');
    const server = new WebSocketServer({
      host: this.options.listenAddress.slice(0, separator),
      port: Number(this.options.listenAddress.slice(separator + 1)),
      maxPayload: maxFrameBytes,
      perMessageDeflate: false,
    });
    server.on('error', error =>
      this.logger.error(
        {error: describeError(error)},
        'cannot listen on peer port; check ports.peers',
      ),
    );
    server.on('connection', socket => {
      const frames = new FrameSocket(socket);
      const full =
        this.unauthenticatedCount >= maxUnauthenticated ||
        this.linkTable.links.size >= maxLinks;
      if (full) frames.close(closeCodes.full);
      else void this.runLink(frames, 'acceptor');
    });
    const dials = this.dialler.run(signal);
    await runEvery(this.clock, tickMs, signal, () => this.runTick());
    this.stopped = true;
    for (const link of this.linkTable.links)
      link.socket.close(closeCodes.stopping);
    server.close();
    await dials;
    for (const socket of server.clients) socket.terminate();
  }

  /** Returns the nodes that this node cannot reach, for its record; at most one tick old. */
  listSuspicions(): NodeRecord['suspicions'] {
    return this.failureDetector.listSuspicions();
  }

  /** Returns whether the digest of a neighbour has matched that of this node at least once. */
  isSynced(): boolean {
    return this.gossip.isSynced();
  }

  /** Returns the nodes linked at present. */
  listLinkedNodes(): readonly NodeId[] {
    return [...this.linkTable.links].map(link => link.node);
  }

  /** Returns the traffic over all links since the start. */
  getTraffic(): Traffic {
    const open = [...this.linkTable.links].map(link =>
      link.socket.getTraffic(),
    );
    return open.reduce(addTraffic, this.closedTraffic);
  }

  private async openLink(
    address: string,
    onAuthenticated: (node: NodeId) => void,
    signal: AbortSignal,
  ): Promise<DialOutcome> {
    const socket = new WebSocket(`ws://${address}`, {
      localAddress: this.options.localAddress,
      maxPayload: maxFrameBytes,
      perMessageDeflate: false,
      handshakeTimeout: authenticationTimeoutMs,
    });
    const frames = new FrameSocket(socket);
    let outcome: DialOutcome = 'failed';
    frames.onClose(code => {
      if (code === closeCodes.full) outcome = 'full';
    });
    const abort = () => frames.abort();
    signal.addEventListener('abort', abort, {once: true});
    await this.runLink(frames, 'dialler', node => {
      onAuthenticated(node);
      outcome = 'authenticated';
    });
    signal.removeEventListener('abort', abort);
    return outcome;
  }

  /** Authenticates a link and handles its frames until it closes. */
  private async runLink(
    socket: FrameSocket,
    side: LinkSide,
    onAuthenticated?: (node: NodeId) => void,
  ): Promise<void> {
    const node = await this.verifySocket(socket, side);
    if (!node || this.stopped) return socket.close(closeCodes.refused);
    onAuthenticated?.(node);
    const link = new PeerLink(node, side === 'dialler', socket, this.clock);
    if (!this.linkTable.add(link)) return socket.close(closeCodes.duplicate);
    this.failureDetector.add(node);
    socket.onClose(code => {
      if (code === closeCodes.notNeeded) this.failureDetector.remove(node);
    });
    this.sendHeartbeat(link);
    for (;;) {
      const raw = await socket.receive();
      if (!raw) break;
      const decoded = decodeFrame(raw.bytes);
      if (E.isLeft(decoded)) {
        const error = decoded.left.message;
        this.logger.warn({node, error}, 'invalid frame from peer; link closed');
        socket.close(closeCodes.refused);
        break;
      }
      this.handleFrame(link, decoded.right);
      // Yields to the event loop, so that requests of callers proceed between two batches of records.
      if (decoded.right.kind === 'records') await this.clock.sleep(0);
    }
    this.linkTable.remove(link);
    this.closedTraffic = addTraffic(this.closedTraffic, socket.getTraffic());
  }

  /** Runs the mutual authentication within its timeout; returns undefined if it fails. */
  private async verifySocket(
    socket: FrameSocket,
    side: LinkSide,
  ): Promise<NodeId | undefined> {
    const timer = new AbortController();
    void this.clock.sleep(authenticationTimeoutMs, timer.signal).then(() => {
      if (!timer.signal.aborted) socket.abort();
    });
    this.unauthenticatedCount += side === 'acceptor' ? 1 : 0;
    try {
      if (!(await socket.waitForOpen())) return undefined;
      const {clusterKey} = this.options;
      return await verifyPeer(socket, side, this.own.get().node, clusterKey);
    } catch (error) {
      this.logger.debug(
        {error: describeError(error)},
        'peer authentication failed',
      );
      return undefined;
    } finally {
      this.unauthenticatedCount -= side === 'acceptor' ? 1 : 0;
      timer.abort();
    }
  }

  private handleFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind === 'heartbeat') this.handleHeartbeat(link, frame);
    else this.gossip.handleFrame(link, frame);
  }

  private handleHeartbeat(link: PeerLink, heartbeat: Heartbeat): void {
    link.recordHeartbeat(heartbeat);
    this.gossip.compareDigest(link, heartbeat.digest);
    const record = this.roster.get(link.node);
    if (record && heartbeat.configVersion > this.options.getConfigVersion()) {
      this.options.onNewerConfigVersion(record, heartbeat.configVersion);
    }
  }

  private sendHeartbeat(link: PeerLink): void {
    link.sendHeartbeat({
      incarnation: this.own.get().incarnation,
      configVersion: this.options.getConfigVersion(),
      digest: this.roster.getDigest(),
    });
  }

  private runTick(): void {
    this.ticks += 1;
    const now = this.clock.getTime();
    for (const link of this.linkTable.links) {
      const contactAtMs = link.getLastContactTime();
      this.failureDetector.recordContact(link.node, contactAtMs);
      if (now - contactAtMs > linkTimeoutMs) link.socket.abort();
      else if (this.ticks % ticksPerHeartbeat === 0) this.sendHeartbeat(link);
    }
    this.gossip.requestRecords();
    if (this.ticks % ticksPerHeartbeat === 0) this.dialler.updateDials();
    if (this.ticks % ticksPerExpiry === 0) this.roster.removeExpired();
    this.startDataPortChecks(now);
    this.reportSuspicions();
  }

  private startDataPortChecks(now: Millis): void {
    for (const node of this.failureDetector.list()) {
      const dueAtMs = this.nextProbeAtMs.get(node) ?? 0;
      const record = this.roster.get(node);
      if (now < dueAtMs || record?.state !== 'serving') continue;
      const interval = this.failureDetector.hasDataPortFailed(node)
        ? reprobeIntervalMs
        : probeIntervalMs;
      const delay = interval * (0.8 + this.random() * 0.4);
      this.nextProbeAtMs.set(node, now + delay);
      void this.checkDataPortOfNode(node, record.dataAddress);
    }
    for (const node of this.nextProbeAtMs.keys()) {
      if (!this.failureDetector.has(node)) this.nextProbeAtMs.delete(node);
    }
  }

  private async checkDataPortOfNode(
    node: NodeId,
    address: string,
  ): Promise<void> {
    const {localAddress} = this.options;
    const reached = await checkDataPort(address, localAddress);
    // Probes all other nodes at once; if most of them fail too, the fault is on this node.
    if (this.failureDetector.recordDataPortProbe(node, reached))
      this.nextProbeAtMs.clear();
  }

  private reportSuspicions(): void {
    const suspicions = JSON.stringify(this.listSuspicions());
    if (suspicions === this.reportedSuspicions) return;
    this.reportedSuspicions = suspicions;
    this.logger.warn({suspicions}, 'suspicions of this node changed');
    this.options.onSuspicionsChange();
  }
}
