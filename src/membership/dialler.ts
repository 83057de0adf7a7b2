import {Clock, Millis, NodeId, Random} from '../base/index.js';
import {DiscoveryLog} from './discovery_log.js';
import {closeCodes, LinkTable} from './link_table.js';
import {NodeRecord} from './node_record.js';
import {OwnRecord} from './own_record.js';
import {choosePeers} from './peer_choice.js';
import {Roster} from './roster.js';
import {findSuspectedNodes} from './suspicion.js';
import {FailureDetector} from './failure_detector.js';

const firstPauseMs: Millis = 250;
const maxPauseMs: Millis = 10_000;
const maxFirstPeers = 3;
const seedCheckMs: Millis = 30_000;
/** A dialled link that nobody chose stays for a while, so that short changes of the roster do not cut links. */
const graceMs: Millis = 5000;
// With more lost neighbours than this the cause is wide, and substitutes would fail and be suspected too.
const maxSubstituted = 2;

/** How a dial ended; `full` means that the other node is alive and takes no more links. */
export type DialOutcome = 'proven' | 'full' | 'failed';

/** What the dialler looks at, and how it opens a link. */
export interface DiallerContext {
  readonly own: OwnRecord;
  readonly roster: Roster;
  readonly discoveryLog: DiscoveryLog;
  readonly failureDetector: FailureDetector;
  readonly linkTable: LinkTable;
  readonly seeds: readonly string[];
  /** Opens a link and resolves when it has ended. */
  openLink(
    address: string,
    onProven: (node: NodeId) => void,
    signal: AbortSignal,
  ): Promise<DialOutcome>;
}

interface Dial {
  /** Incarnation of the node when the dial began; a restarted node is dialled without the pauses so far. */
  readonly incarnation: number;
  readonly stop: AbortController;
  readonly done: Promise<void>;
}

/** Chosen peers, valid for these records and lost neighbours. */
interface Choice {
  readonly records: readonly NodeRecord[];
  readonly key: string;
  readonly peers: readonly NodeRecord[];
}

/** Keeps links to chosen peers, to lost neighbours until they are reached again, and to the first peers. */
export class Dialler {
  private readonly dials = new Map<string, Dial>();
  private readonly nodeAt = new Map<string, NodeId>();
  private readonly unwantedSince = new Map<NodeId, Millis>();
  private firstPeers: readonly string[] = [];
  private choice: Choice | undefined;
  private wanted: ReadonlySet<string> = new Set();
  private stopped = false;

  constructor(
    private readonly context: DiallerContext,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    const contacts = this.context.discoveryLog.run(signal);
    await this.findFirstPeers(signal);
    this.stopped = true;
    const ending = [...this.dials.values()];
    for (const dial of ending) dial.stop.abort();
    await Promise.all([contacts, ...ending.map(dial => dial.done)]);
  }

  /** Starts and ends dials as the roster and the suspicions ask for. */
  updateDials(): void {
    if (this.stopped) return;
    const {roster, linkTable: table, failureDetector: watcher} = this.context;
    const chosen = this.listChosen();
    for (const {node} of chosen) watcher.add(node);
    this.removeWatched(chosen);
    this.closeUnwanted(chosen);
    const lost = watcher.list().filter(node => !table.has(node));
    // Nodes with a known record are dialled if they are chosen, and otherwise not needed any more.
    if (table.links.size >= 2) {
      this.firstPeers = this.pickFirst(this.firstPeers, roster.list());
    }
    const addresses = new Set(this.firstPeers);
    for (const {peerAddress} of chosen) addresses.add(peerAddress);
    for (const node of lost) {
      const record = roster.get(node);
      if (record) addresses.add(record.peerAddress);
    }
    this.wanted = addresses;
    const incarnations = new Map(
      roster.list().map(r => [r.peerAddress, r.incarnation]),
    );
    for (const [address, dial] of this.dials) {
      if (this.isLinked(address)) continue;
      const incarnation = incarnations.get(address) ?? dial.incarnation;
      const isRestarted = dial.incarnation < incarnation;
      if (isRestarted || !addresses.has(address)) dial.stop.abort();
    }
    for (const address of addresses) {
      this.addDial(address, incarnations.get(address) ?? 0);
    }
  }

  private listChosen(): readonly NodeRecord[] {
    const {own, roster, failureDetector: watcher} = this.context;
    const records = roster.list();
    const lost = watcher.list().filter(node => watcher.isSuspected(node));
    // Ranking 450 nodes takes about 1 ms, which each second would be 0.1% of a core.
    const {choice} = this;
    const key = lost.join(' ');
    if (choice?.records === records && choice.key === key) return choice.peers;
    const excluded = findSuspectedNodes(records);
    const isWide = lost.length > maxSubstituted;
    const peers = choosePeers(
      own.get(),
      records,
      node => !isWide && (excluded.has(node) || watcher.isSuspected(node)),
    );
    this.choice = {records, key, peers};
    return peers;
  }

  private removeWatched(chosen: readonly NodeRecord[]): void {
    const {roster, linkTable: table, failureDetector: watcher} = this.context;
    for (const node of watcher.list()) {
      if (table.has(node) || chosen.some(record => record.node === node)) {
        continue;
      }
      if (roster.get(node)?.state !== 'serving') watcher.remove(node);
    }
  }

  private closeUnwanted(chosen: readonly NodeRecord[]): void {
    const {linkTable: table} = this.context;
    const now = this.clock.getTime();
    const wanted = new Set(chosen.map(record => record.node));
    for (const link of table.links) {
      if (!link.isDialled || wanted.has(link.node) || table.links.size <= 2) {
        this.unwantedSince.delete(link.node);
        continue;
      }
      const since = this.unwantedSince.get(link.node) ?? now;
      this.unwantedSince.set(link.node, since);
      if (now - since < graceMs) continue;
      this.unwantedSince.delete(link.node);
      link.socket.close(closeCodes.notNeeded);
    }
  }

  private addDial(address: string, incarnation: number): void {
    if (this.dials.has(address)) return;
    const stop = new AbortController();
    const done = this.dial(address, stop.signal).finally(() =>
      this.dials.delete(address),
    );
    this.dials.set(address, {incarnation, stop, done});
  }

  private async dial(address: string, signal: AbortSignal): Promise<void> {
    let pauseMs = firstPauseMs;
    await this.clock.sleep(this.random() * firstPauseMs, signal);
    // A link that was closed as not needed ends here, and is not dialled again at once.
    while (
      !signal.aborted &&
      (this.isLinked(address) || this.wanted.has(address))
    ) {
      if (!this.isLinked(address)) {
        const outcome = await this.context.openLink(
          address,
          node => this.nodeAt.set(address, node),
          signal,
        );
        if (outcome === 'full') this.recordFull(address);
        const isProven = outcome === 'proven';
        pauseMs = isProven ? firstPauseMs : Math.min(maxPauseMs, pauseMs * 2);
      }
      await this.clock.sleep(pauseMs * (0.5 + this.random()), signal);
    }
  }

  // A node that has too many links to take this one is alive.
  private recordFull(address: string): void {
    const {roster, failureDetector: watcher} = this.context;
    const record = roster.list().find(r => r.peerAddress === address);
    if (record) watcher.recordContact(record.node, this.clock.getTime());
  }

  private isLinked(address: string): boolean {
    const {roster, linkTable: table} = this.context;
    // A seed may be listed with another address than the one its node advertises.
    const node = this.nodeAt.get(address);
    if (node && table.has(node)) return true;
    return [...table.links].some(
      link => roster.get(link.node)?.peerAddress === address,
    );
  }

  /** Picks first peers while links are missing, and afterwards seeds that are in no known record. */
  private async findFirstPeers(signal: AbortSignal): Promise<void> {
    const {
      linkTable: table,
      discoveryLog: contacts,
      seeds,
      roster,
    } = this.context;
    let pauseMs = 1000;
    while (!signal.aborted) {
      if (table.links.size < 2) {
        const linked = roster.list().filter(record => table.has(record.node));
        this.firstPeers = this.pickFirst(seeds, linked);
        this.updateDials();
        const written = await contacts.list();
        const addresses = written.map(contact => contact.peerAddress);
        this.firstPeers = this.pickFirst([...seeds, ...addresses], linked);
        await this.clock.sleep(pauseMs * (0.5 + this.random()), signal);
        pauseMs = Math.min(seedCheckMs, pauseMs * 2);
      } else {
        pauseMs = 1000;
        this.firstPeers = this.pickFirst(seeds, roster.list());
        await this.clock.sleep(seedCheckMs * (0.5 + this.random()), signal);
      }
    }
  }

  private pickFirst(
    addresses: readonly string[],
    known: readonly NodeRecord[],
  ): readonly string[] {
    const names = new Set(known.map(record => record.node));
    const taken = new Set(known.map(record => record.peerAddress));
    taken.add(this.context.own.get().peerAddress);
    const rest = [...new Set(addresses)].filter(address => {
      const node = this.nodeAt.get(address);
      return !taken.has(address) && !(node && names.has(node));
    });
    const start = Math.floor(this.random() * rest.length);
    const rotated = [...rest.slice(start), ...rest.slice(0, start)];
    return rotated.slice(0, maxFirstPeers);
  }
}
