import {Clock, Millis, NodeId, Random} from '../base/index.js';
import {hashText} from '../hash/index.js';
import {encodeRecords, Heartbeat, VersionEntry, Frame} from './frames.js';
import {isNewer, NodeRecord, RecordVersion} from './node_record.js';
import {OwnRecord} from './own_record.js';
import {PeerLink} from './peer_link.js';
import {Roster} from './roster.js';

/** Adverts are delayed by this time, so that several are sent in one frame. */
const advertDelayMs: Millis = 30;
/** A record that has not arrived after this time is requested from another peer. */
const requestTimeoutMs: Millis = 400;
const maxOpenRequests = 64;
// Bounded because an advertised record may expire before it is requested. A record that still exists after the last
// attempt is found again by the comparison of digests.
const maxRequestAttempts = 20;
/** Digests that differ for longer than this are not converging. */
const digestConvergenceMs: Millis = 3000;
const versionListIntervalMs: Millis = 10_000;
// Limits what a seed sends when all nodes start at once; nodes that receive no reply request the records elsewhere.
const maxSentBytesPerSecond = 1024 * 1024;

interface PendingRecord extends RecordVersion {
  readonly sources: readonly PeerLink[];
  readonly requestedAtMs: Millis | undefined;
  readonly attempts: number;
}

/** Distributes node records over links: new versions are advertised, and each node fetches a record once. */
export class Gossip {
  private readonly pendingRecords = new Map<NodeId, PendingRecord>();
  private readonly pendingAdverts = new Map<NodeId, PeerLink | undefined>();
  private mergingFrom: PeerLink | undefined;
  private advertScheduled = false;
  private synced = false;
  private sendCreditBytes = maxSentBytesPerSecond;
  private creditedAtMs: Millis;

  constructor(
    private readonly own: OwnRecord,
    private readonly roster: Roster,
    private readonly links: ReadonlySet<PeerLink>,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.creditedAtMs = clock.getTime();
    roster.onMerge(record => this.addAdvert(record));
  }

  /** Handles a frame other than a heartbeat. */
  handleFrame(link: PeerLink, frame: Exclude<Frame, Heartbeat>): void {
    switch (frame.kind) {
      case 'advert':
        return this.handleAdvert(link, frame.entries, frame.full);
      case 'want':
        return this.sendRecords(link, frame.nodes);
      case 'records':
        for (const {record, ageMs} of frame.items) {
          this.merge(link, record, ageMs);
        }
        return this.requestRecords();
    }
  }

  /** Returns whether the digest of a neighbour has matched that of this node at least once. */
  isSynced(): boolean {
    return this.synced;
  }

  /** Compares a neighbour's digest with this node's; sends the list of all versions if they remain different. */
  compareDigest(link: PeerLink, digest: number): void {
    const now = this.clock.getTime();
    if (digest === this.roster.getDigest()) {
      this.synced = true;
      link.digestsDifferSinceMs = undefined;
      return;
    }
    link.digestsDifferSinceMs ??= now;
    // Normally the dialler sends the list; the acceptor sends its own only if the difference persists.
    const isFirst = link.versionsSentAtMs === -Infinity && link.isDialled;
    const delay = isFirst ? 0 : digestConvergenceMs * (link.isDialled ? 1 : 3);
    const interval =
      versionListIntervalMs * (0.8 + (hashText(link.node) % 40) / 100);
    if (now - link.digestsDifferSinceMs < delay) return;
    if (now - link.versionsSentAtMs < interval) return;
    link.versionsSentAtMs = now;
    const entries = this.roster.list().map(makeVersionEntry);
    link.send({kind: 'advert', entries, full: true});
  }

  /** Requests pending records up to the limit on open requests; a request that timed out goes to another peer. */
  requestRecords(): void {
    const now = this.clock.getTime();
    const due = [...this.pendingRecords.values()].filter(
      ({requestedAtMs = -Infinity}) => now - requestedAtMs >= requestTimeoutMs,
    );
    if (due.length === 0) return;
    const free = Math.max(
      0,
      maxOpenRequests - (this.pendingRecords.size - due.length),
    );
    // Nodes that start together request different records first, so that they can send them to each other.
    const start = Math.floor(this.random() * due.length);
    const rotated = [...due.slice(start), ...due.slice(0, start)];
    const batches = new Map<PeerLink, NodeId[]>();
    for (const pending of rotated.slice(0, free))
      this.addToRequest(pending, batches, now);
    for (const [link, nodes] of batches) link.send({kind: 'want', nodes});
  }

  private addToRequest(
    pending: PendingRecord,
    batches: Map<PeerLink, NodeId[]>,
    now: Millis,
  ): void {
    const openSources = pending.sources.filter(link => this.links.has(link));
    if (openSources.length === 0 || pending.attempts >= maxRequestAttempts) {
      this.pendingRecords.delete(pending.node);
      return;
    }
    const [source, ...others] = openSources;
    const sources = [...others, source];
    this.pendingRecords.delete(pending.node);
    const attempts = pending.attempts + 1;
    this.pendingRecords.set(pending.node, {
      ...pending,
      sources,
      attempts,
      requestedAtMs: now,
    });
    batches.set(source, [...(batches.get(source) ?? []), pending.node]);
  }

  private handleAdvert(
    link: PeerLink,
    entries: readonly VersionEntry[],
    full: boolean,
  ): void {
    const advertisedNodes = new Set<NodeId>();
    const newerHere: NodeRecord[] = [];
    for (const [node, incarnation, version] of entries) {
      advertisedNodes.add(node);
      const advertised = {node, incarnation, version};
      this.own.observeCopy(advertised);
      if (node === this.own.get().node) continue;
      if (this.roster.needs(advertised))
        this.addPendingRecord(link, advertised);
      const known = this.roster.get(node);
      if (full && known && isNewer(known, advertised)) newerHere.push(known);
    }
    if (full) {
      const unadvertised = this.roster
        .list()
        .filter(r => !advertisedNodes.has(r.node));
      const newer = [...newerHere, ...unadvertised].map(makeVersionEntry);
      if (newer.length > 0) {
        link.send({kind: 'advert', entries: newer, full: false});
      }
    }
    this.requestRecords();
  }

  private addPendingRecord(link: PeerLink, advertised: RecordVersion): void {
    const pending = this.pendingRecords.get(advertised.node);
    if (!pending || isNewer(advertised, pending)) {
      this.pendingRecords.set(advertised.node, {
        ...advertised,
        sources: [link],
        requestedAtMs: undefined,
        attempts: 0,
      });
      return;
    }
    const isSame = !isNewer(pending, advertised);
    if (!isSame || pending.sources.includes(link)) return;
    this.pendingRecords.set(advertised.node, {
      ...pending,
      sources: [...pending.sources, link],
    });
  }

  private merge(link: PeerLink, record: NodeRecord, ageMs: Millis): void {
    const pending = this.pendingRecords.get(record.node);
    if (pending && !isNewer(pending, record))
      this.pendingRecords.delete(record.node);
    this.own.observeCopy(record);
    if (record.node === this.own.get().node) return;
    this.mergingFrom = link;
    this.roster.merge(record, ageMs);
    this.mergingFrom = undefined;
  }

  private sendRecords(link: PeerLink, nodes: readonly NodeId[]): void {
    const now = this.clock.getTime();
    const earnedBytes =
      ((now - this.creditedAtMs) / 1000) * maxSentBytesPerSecond;
    this.sendCreditBytes = Math.min(
      maxSentBytesPerSecond,
      this.sendCreditBytes + earnedBytes,
    );
    this.creditedAtMs = now;
    const items = nodes.slice(0, maxOpenRequests).flatMap(node => {
      const record = this.roster.get(node);
      return record ? [{record, ageMs: this.roster.getAge(node)}] : [];
    });
    for (const bytes of encodeRecords(items)) {
      if (this.sendCreditBytes <= 0) return;
      this.sendCreditBytes -= bytes.length;
      link.sendBytes(bytes);
    }
  }

  private addAdvert(record: NodeRecord): void {
    this.pendingAdverts.set(record.node, this.mergingFrom);
    if (this.advertScheduled) return;
    this.advertScheduled = true;
    void this.clock.sleep(advertDelayMs).then(() => this.sendAdverts());
  }

  private sendAdverts(): void {
    this.advertScheduled = false;
    const adverts = [...this.pendingAdverts];
    this.pendingAdverts.clear();
    for (const link of this.links) {
      const entries = adverts.flatMap(([node, source]) => {
        const record = this.roster.get(node);
        return record && source !== link ? [makeVersionEntry(record)] : [];
      });
      if (entries.length > 0) {
        link.send({kind: 'advert', entries, full: false});
      }
    }
  }
}

function makeVersionEntry(record: NodeRecord): VersionEntry {
  return [record.node, record.incarnation, record.version];
}
