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
const proofTimeoutMs: Millis = 2000;
// A pause of the other side, such as a collection of garbage, does not cost the link.
const linkTimeoutMs: Millis = 6000;
// With 10 neighbours, a probe of about 0.45 KB each way costs 2.2 KB/s at this period.
const probePeriodMs: Millis = 4000;
const reprobePeriodMs: Millis = 1000;
// Strangers can hold no more connections than this; each may buffer one frame of 1 MiB.
const maxUnproven = 16;
// The links that a seed has while all nodes start at once; in the long run a node has about 10.
const maxLinks = 128;

/** Where this node listens for peers, whom it dials first, and what it tells the rest of the node. */
export interface PeerLinkManagerOptions {
  /** host:port to listen on. */
  readonly listenAddress: string;
  /** IP address that outgoing connections come from. */
  readonly localAddress: string;
  /** Addresses, host:port, of nodes to dial at start. */
  readonly seeds: readonly string[];
  readonly clusterKey: string;
  /** Version of the configuration in force here. */
  getConfigVersion(): number;
  /** Called when a neighbour has a newer configuration in force than this node. */
  onNewerConfigVersion(record: NodeRecord, version: number): void;
  /** Called when `listSuspicions` gives something else than before. */
  onSuspicionsChange(): void;
}

/** Links to other nodes: spreads node records over them and watches the nodes at their other ends. */
export class PeerLinkManager {
  private readonly table: LinkTable;
  private readonly watcher: FailureDetector;
  private readonly gossip: Gossip;
  private readonly dialler: Dialler;
  private readonly probeAt = new Map<NodeId, Millis>();
  private suspicions = '[]';
  private unproven = 0;
  private ticks = 0;
  private closedTraffic = noTraffic;
  private stopped = false;

  constructor(
    private readonly options: PeerLinkManagerOptions,
    private readonly own: OwnRecord,
    private readonly roster: Roster,
    contacts: DiscoveryLog,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {
    this.table = new LinkTable(own.get().node, clock);
    this.watcher = new FailureDetector(roster, clock);
    this.gossip = new Gossip(own, roster, this.table.links, clock, random);
    this.dialler = new Dialler(
      {
        own,
        roster,
        discoveryLog: contacts,
        failureDetector: this.watcher,
        linkTable: this.table,
        seeds: options.seeds,
        openLink: (address, onProven, signal) =>
          this.open(address, onProven, signal),
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
        'peer port not open; check ports.peers',
      ),
    );
    server.on('connection', socket => {
      const frames = new FrameSocket(socket);
      const full =
        this.unproven >= maxUnproven || this.table.links.size >= maxLinks;
      if (full) frames.close(closeCodes.full);
      else void this.runLink(frames, 'acceptor');
    });
    const dials = this.dialler.run(signal);
    await runEvery(this.clock, tickMs, signal, () => this.runTick());
    this.stopped = true;
    for (const link of this.table.links) link.socket.close(closeCodes.stopping);
    server.close();
    await dials;
    for (const socket of server.clients) socket.terminate();
  }

  /** Nodes that this node cannot reach, for its record; at most as old as a tick. */
  listSuspicions(): NodeRecord['suspicions'] {
    return this.watcher.listSuspicions();
  }

  /** Whether a neighbour was seen to know the same records as this node. */
  isSynced(): boolean {
    return this.gossip.isSynced();
  }

  /** Nodes linked now. */
  listLinkedNodes(): readonly NodeId[] {
    return [...this.table.links].map(link => link.node);
  }

  /** What went over the links since the start. */
  getTraffic(): Traffic {
    const open = [...this.table.links].map(link => link.socket.getTraffic());
    return open.reduce(addTraffic, this.closedTraffic);
  }

  private async open(
    address: string,
    onProven: (node: NodeId) => void,
    signal: AbortSignal,
  ): Promise<DialOutcome> {
    const socket = new WebSocket(`ws://${address}`, {
      localAddress: this.options.localAddress,
      maxPayload: maxFrameBytes,
      perMessageDeflate: false,
      handshakeTimeout: proofTimeoutMs,
    });
    const frames = new FrameSocket(socket);
    let outcome: DialOutcome = 'failed';
    frames.onClose(code => {
      if (code === closeCodes.full) outcome = 'full';
    });
    const abort = () => frames.abort();
    signal.addEventListener('abort', abort, {once: true});
    await this.runLink(frames, 'dialler', node => {
      onProven(node);
      outcome = 'proven';
    });
    signal.removeEventListener('abort', abort);
    return outcome;
  }

  /** The whole life of one link. */
  private async runLink(
    socket: FrameSocket,
    side: LinkSide,
    onProven?: (node: NodeId) => void,
  ): Promise<void> {
    const node = await this.checkSocket(socket, side);
    if (!node || this.stopped) return socket.close(closeCodes.refused);
    onProven?.(node);
    const link = new PeerLink(node, side === 'dialler', socket, this.clock);
    if (!this.table.add(link)) return socket.close(closeCodes.duplicate);
    this.watcher.add(node);
    socket.onClose(code => {
      if (code === closeCodes.notNeeded) this.watcher.remove(node);
    });
    this.sendHeartbeat(link);
    for (;;) {
      const raw = await socket.receive();
      if (!raw) break;
      const decoded = decodeFrame(raw.bytes);
      if (E.isLeft(decoded)) {
        const error = decoded.left.message;
        this.logger.warn({node, error}, 'frame of a peer refused');
        socket.close(closeCodes.refused);
        break;
      }
      this.handleFrame(link, decoded.right);
      // Requests of callers go on between two batches of records.
      if (decoded.right.kind === 'records') await this.clock.sleep(0);
    }
    this.table.remove(link);
    this.closedTraffic = addTraffic(this.closedTraffic, socket.getTraffic());
  }

  private async checkSocket(
    socket: FrameSocket,
    side: LinkSide,
  ): Promise<NodeId | undefined> {
    const timer = new AbortController();
    void this.clock.sleep(proofTimeoutMs, timer.signal).then(() => {
      if (!timer.signal.aborted) socket.abort();
    });
    this.unproven += side === 'acceptor' ? 1 : 0;
    try {
      if (!(await socket.waitForOpen())) return undefined;
      const {clusterKey} = this.options;
      return await verifyPeer(socket, side, this.own.get().node, clusterKey);
    } catch (error) {
      this.logger.debug({error: describeError(error)}, 'peer not proven');
      return undefined;
    } finally {
      this.unproven -= side === 'acceptor' ? 1 : 0;
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
    for (const link of this.table.links) {
      const contactAtMs = link.getLastContactTime();
      this.watcher.recordContact(link.node, contactAtMs);
      if (now - contactAtMs > linkTimeoutMs) link.socket.abort();
      else if (this.ticks % ticksPerHeartbeat === 0) this.sendHeartbeat(link);
    }
    this.gossip.requestRecords();
    if (this.ticks % ticksPerHeartbeat === 0) this.dialler.updateDials();
    if (this.ticks % ticksPerExpiry === 0) this.roster.removeExpired();
    this.checkDataPorts(now);
    this.reportSuspicions();
  }

  private checkDataPorts(now: Millis): void {
    for (const node of this.watcher.list()) {
      const dueMs = this.probeAt.get(node) ?? 0;
      const record = this.roster.get(node);
      if (now < dueMs || record?.state !== 'serving') continue;
      const period = this.watcher.hasDataPortFailed(node)
        ? reprobePeriodMs
        : probePeriodMs;
      const pause = period * (0.8 + this.random() * 0.4);
      this.probeAt.set(node, now + pause);
      void this.checkDataPortOf(node, record.dataAddress);
    }
    for (const node of this.probeAt.keys()) {
      if (!this.watcher.has(node)) this.probeAt.delete(node);
    }
  }

  private async checkDataPortOf(node: NodeId, address: string): Promise<void> {
    const {localAddress} = this.options;
    const reached = await checkDataPort(address, localAddress);
    // The others tell at once whether the cause is here.
    if (this.watcher.recordDataPortProbe(node, reached)) this.probeAt.clear();
  }

  private reportSuspicions(): void {
    const suspicions = JSON.stringify(this.listSuspicions());
    if (suspicions === this.suspicions) return;
    this.suspicions = suspicions;
    this.logger.warn({suspicions}, 'suspicions of this node changed');
    this.options.onSuspicionsChange();
  }
}
