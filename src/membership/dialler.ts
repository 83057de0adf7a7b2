import {Clock, Millis, NodeId, Random} from '../base/index.js';
import {DiscoveryLog} from './discovery_log.js';
import {closeCodes, LinkTable} from './link_table.js';
import {NodeRecord} from './node_record.js';
import {OwnRecord} from './own_record.js';
import {choosePeers} from './peer_choice.js';
import {Roster} from './roster.js';
import {findSuspectedNodes} from './suspicion.js';
import {FailureDetector} from './failure_detector.js';

const minRedialDelayMs: Millis = 250;
const maxRedialDelayMs: Millis = 10_000;
const maxBootstrapPeers = 3;
const seedCheckIntervalMs: Millis = 30_000;
/** A dialled link is kept this long after its peer is no longer chosen, so that brief changes do not close links. */
const unneededLinkGraceMs: Millis = 5000;
// If more neighbours than this are suspected, the failure is widespread: substitutes would fail and be suspected too.
const maxSubstitutedPeers = 2;

/** Result of a dial attempt; `full` means that the other node is alive but accepts no more links. */
export type DialOutcome = 'authenticated' | 'full' | 'failed';

/** State that the dialler reads, and the function with which it opens a link. */
export interface DiallerContext {
  readonly own: OwnRecord;
  readonly roster: Roster;
  readonly discoveryLog: DiscoveryLog;
  readonly failureDetector: FailureDetector;
  readonly linkTable: LinkTable;
  readonly seeds: readonly string[];
  /** Opens a link and resolves when it has closed. */
  openLink(
    address: string,
    onAuthenticated: (node: NodeId) => void,
    signal: AbortSignal,
  ): Promise<DialOutcome>;
}

interface Dial {
  /** Incarnation of the node when dialling began; for a restarted node the redial delay starts over. */
  readonly incarnation: number;
  readonly controller: AbortController;
  readonly done: Promise<void>;
}

/** Chosen peers, cached for the records and suspected nodes from which they were computed. */
interface PeerSelection {
  readonly records: readonly NodeRecord[];
  readonly suspectedKey: string;
  readonly peers: readonly NodeRecord[];
}

/** Dials chosen peers, lost neighbours until they are reachable again, and bootstrap peers. */
export class Dialler {
  private readonly dials = new Map<string, Dial>();
  private readonly nodesByAddress = new Map<string, NodeId>();
  private readonly unneededSince = new Map<NodeId, Millis>();
  private bootstrapPeers: readonly string[] = [];
  private selection: PeerSelection | undefined;
  private targetAddresses: ReadonlySet<string> = new Set();
  private stopped = false;

  constructor(
    private readonly context: DiallerContext,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    const logTask = this.context.discoveryLog.run(signal);
    await this.updateBootstrapPeers(signal);
    this.stopped = true;
    const dials = [...this.dials.values()];
    for (const dial of dials) dial.controller.abort();
    await Promise.all([logTask, ...dials.map(dial => dial.done)]);
  }

  /** Starts and aborts dials according to the roster and the suspicions. */
  updateDials(): void {
    if (this.stopped) return;
    const {roster, linkTable, failureDetector} = this.context;
    const chosen = this.listChosenPeers();
    for (const {node} of chosen) failureDetector.add(node);
    this.removeUnneededWatches(chosen);
    this.closeUnneededLinks(chosen);
    const lost = failureDetector.list().filter(node => !linkTable.has(node));
    // Once 2 links are up, a node whose record is known is dialled only if it is chosen, not as a bootstrap peer.
    if (linkTable.links.size >= 2) {
      this.bootstrapPeers = this.pickBootstrapPeers(
        this.bootstrapPeers,
        roster.list(),
      );
    }
    const addresses = new Set(this.bootstrapPeers);
    for (const {peerAddress} of chosen) addresses.add(peerAddress);
    for (const node of lost) {
      const record = roster.get(node);
      if (record) addresses.add(record.peerAddress);
    }
    this.targetAddresses = addresses;
    const incarnations = new Map(
      roster.list().map(r => [r.peerAddress, r.incarnation]),
    );
    for (const [address, dial] of this.dials) {
      if (this.isLinked(address)) continue;
      const incarnation = incarnations.get(address) ?? dial.incarnation;
      const isRestarted = dial.incarnation < incarnation;
      if (isRestarted || !addresses.has(address)) dial.controller.abort();
    }
    for (const address of addresses) {
      this.addDial(address, incarnations.get(address) ?? 0);
    }
  }

  private listChosenPeers(): readonly NodeRecord[] {
    const {own, roster, failureDetector} = this.context;
    const records = roster.list();
    const suspected = failureDetector
      .list()
      .filter(node => failureDetector.isSuspected(node));
    // Cached because ranking 450 nodes takes about 1 ms, which every second would be 0.1% of a core.
    const {selection} = this;
    const suspectedKey = suspected.join(' ');
    if (
      selection?.records === records &&
      selection.suspectedKey === suspectedKey
    )
      return selection.peers;
    const excluded = findSuspectedNodes(records);
    const isWidespreadFailure = suspected.length > maxSubstitutedPeers;
    const peers = choosePeers(
      own.get(),
      records,
      node =>
        !isWidespreadFailure &&
        (excluded.has(node) || failureDetector.isSuspected(node)),
    );
    this.selection = {records, suspectedKey, peers};
    return peers;
  }

  private removeUnneededWatches(chosen: readonly NodeRecord[]): void {
    const {roster, linkTable, failureDetector} = this.context;
    for (const node of failureDetector.list()) {
      if (linkTable.has(node) || chosen.some(record => record.node === node)) {
        continue;
      }
      if (roster.get(node)?.state !== 'serving') failureDetector.remove(node);
    }
  }

  private closeUnneededLinks(chosen: readonly NodeRecord[]): void {
    const {linkTable} = this.context;
    const now = this.clock.getTime();
    const needed = new Set(chosen.map(record => record.node));
    for (const link of linkTable.links) {
      if (
        !link.isDialled ||
        needed.has(link.node) ||
        linkTable.links.size <= 2
      ) {
        this.unneededSince.delete(link.node);
        continue;
      }
      const since = this.unneededSince.get(link.node) ?? now;
      this.unneededSince.set(link.node, since);
      if (now - since < unneededLinkGraceMs) continue;
      this.unneededSince.delete(link.node);
      link.socket.close(closeCodes.notNeeded);
    }
  }

  private addDial(address: string, incarnation: number): void {
    if (this.dials.has(address)) return;
    const controller = new AbortController();
    const done = this.dial(address, controller.signal).finally(() =>
      this.dials.delete(address),
    );
    this.dials.set(address, {incarnation, controller, done});
  }

  private async dial(address: string, signal: AbortSignal): Promise<void> {
    let delayMs = minRedialDelayMs;
    await this.clock.sleep(this.random() * minRedialDelayMs, signal);
    // The loop ends if the link was closed as not needed, so that it is not redialled at once.
    while (
      !signal.aborted &&
      (this.isLinked(address) || this.targetAddresses.has(address))
    ) {
      if (!this.isLinked(address)) {
        const outcome = await this.context.openLink(
          address,
          node => this.nodesByAddress.set(address, node),
          signal,
        );
        if (outcome === 'full') this.recordFullPeer(address);
        const isAuthenticated = outcome === 'authenticated';
        delayMs = isAuthenticated
          ? minRedialDelayMs
          : Math.min(maxRedialDelayMs, delayMs * 2);
      }
      await this.clock.sleep(delayMs * (0.5 + this.random()), signal);
    }
  }

  // A node that refuses a link because it has too many is alive.
  private recordFullPeer(address: string): void {
    const {roster, failureDetector} = this.context;
    const record = roster.list().find(r => r.peerAddress === address);
    if (record)
      failureDetector.recordContact(record.node, this.clock.getTime());
  }

  private isLinked(address: string): boolean {
    const {roster, linkTable} = this.context;
    // The address of a seed may differ from the one that its node advertises.
    const node = this.nodesByAddress.get(address);
    if (node && linkTable.has(node)) return true;
    return [...linkTable.links].some(
      link => roster.get(link.node)?.peerAddress === address,
    );
  }

  /** Picks bootstrap peers while fewer than 2 links are up, and afterwards seeds that are in no known record. */
  private async updateBootstrapPeers(signal: AbortSignal): Promise<void> {
    const {linkTable, discoveryLog, seeds, roster} = this.context;
    let delayMs = 1000;
    while (!signal.aborted) {
      if (linkTable.links.size < 2) {
        const linked = roster
          .list()
          .filter(record => linkTable.has(record.node));
        this.bootstrapPeers = this.pickBootstrapPeers(seeds, linked);
        this.updateDials();
        const entries = await discoveryLog.list();
        const addresses = entries.map(entry => entry.peerAddress);
        this.bootstrapPeers = this.pickBootstrapPeers(
          [...seeds, ...addresses],
          linked,
        );
        await this.clock.sleep(delayMs * (0.5 + this.random()), signal);
        delayMs = Math.min(seedCheckIntervalMs, delayMs * 2);
      } else {
        delayMs = 1000;
        this.bootstrapPeers = this.pickBootstrapPeers(seeds, roster.list());
        await this.clock.sleep(
          seedCheckIntervalMs * (0.5 + this.random()),
          signal,
        );
      }
    }
  }

  private pickBootstrapPeers(
    addresses: readonly string[],
    known: readonly NodeRecord[],
  ): readonly string[] {
    const knownNodes = new Set(known.map(record => record.node));
    const knownAddresses = new Set(known.map(record => record.peerAddress));
    knownAddresses.add(this.context.own.get().peerAddress);
    const rest = [...new Set(addresses)].filter(address => {
      const node = this.nodesByAddress.get(address);
      return !knownAddresses.has(address) && !(node && knownNodes.has(node));
    });
    const start = Math.floor(this.random() * rest.length);
    const rotated = [...rest.slice(start), ...rest.slice(0, start)];
    return rotated.slice(0, maxBootstrapPeers);
  }
}
