import {Clock, hashText, Millis, NodeId, Random} from '../base/index.js';
import {encodeRecords, Heartbeat, VersionEntry, Frame} from './frames.js';
import {isNewer, NodeRecord, RecordVersion} from './node_record.js';
import {OwnRecord} from './own_record.js';
import {PeerLink} from './peer_link.js';
import {Roster} from './roster.js';

/** Adverts wait so long for others to share their frame. */
const batchMs: Millis = 30;
/** A record asked for is asked for elsewhere after this time. */
const wantTimeoutMs: Millis = 400;
const maxAsked = 64;
// An advertised record may expire before it is asked for; the comparison of digests starts over if it did not.
const maxAttempts = 20;
/** Digests that differ for so long are not on the way to be the same. */
const differenceMs: Millis = 3000;
const comparePeriodMs: Millis = 10_000;
// Bounds what a seed sends when all nodes start at once; a node refused asks its other peers.
const serveBytesPerSecond = 1024 * 1024;

interface Want extends RecordVersion {
  readonly sources: readonly PeerLink[];
  readonly askedAtMs: Millis | undefined;
  readonly attempts: number;
}

/** Spreads node records over links: advertised first, then fetched once. */
export class Gossip {
  private readonly wants = new Map<NodeId, Want>();
  private readonly adverts = new Map<NodeId, PeerLink | undefined>();
  private arrival: PeerLink | undefined;
  private flushing = false;
  private synced = false;
  private serveCredit = serveBytesPerSecond;
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

  /** Takes a frame other than a heartbeat. */
  handleFrame(link: PeerLink, frame: Exclude<Frame, Heartbeat>): void {
    switch (frame.kind) {
      case 'advert':
        return this.handleAdvert(link, frame.entries, frame.full);
      case 'want':
        return this.serve(link, frame.nodes);
      case 'records':
        for (const {record, ageMs} of frame.items) {
          this.merge(link, record, ageMs);
        }
        return this.requestRecords();
    }
  }

  /** Whether a neighbour was seen to know the same records as this node. */
  isSynced(): boolean {
    return this.synced;
  }

  /** Compares digests; if they stay different, sends the list of all versions. */
  compareDigest(link: PeerLink, digest: number): void {
    const now = this.clock.getTime();
    if (digest === this.roster.getDigest()) {
      this.synced = true;
      link.digestsDifferSinceMs = undefined;
      return;
    }
    link.digestsDifferSinceMs ??= now;
    // Normally the dialler sends the list; the other side steps in if that does not help.
    const isFirst = link.versionsSentAtMs === -Infinity && link.isDialled;
    const patience = isFirst ? 0 : differenceMs * (link.isDialled ? 1 : 3);
    const period = comparePeriodMs * (0.8 + (hashText(link.node) % 40) / 100);
    if (now - link.digestsDifferSinceMs < patience) return;
    if (now - link.versionsSentAtMs < period) return;
    link.versionsSentAtMs = now;
    const entries = this.roster.list().map(makeEntry);
    link.send({kind: 'advert', entries, full: true});
  }

  /** Asks for records wanted, within the bound on open questions; those that did not come are asked for elsewhere. */
  requestRecords(): void {
    const now = this.clock.getTime();
    const due = [...this.wants.values()].filter(
      ({askedAtMs = -Infinity}) => now - askedAtMs >= wantTimeoutMs,
    );
    if (due.length === 0) return;
    const free = Math.max(0, maxAsked - (this.wants.size - due.length));
    // Nodes that start together begin at different places, so that they can serve each other.
    const start = Math.floor(this.random() * due.length);
    const rotated = [...due.slice(start), ...due.slice(0, start)];
    const batches = new Map<PeerLink, NodeId[]>();
    for (const want of rotated.slice(0, free))
      this.requestOne(want, batches, now);
    for (const [link, nodes] of batches) link.send({kind: 'want', nodes});
  }

  private requestOne(
    want: Want,
    batches: Map<PeerLink, NodeId[]>,
    now: Millis,
  ): void {
    const live = want.sources.filter(link => this.links.has(link));
    if (live.length === 0 || want.attempts >= maxAttempts) {
      this.wants.delete(want.node);
      return;
    }
    const [source, ...others] = live;
    const sources = [...others, source];
    this.wants.delete(want.node);
    const attempts = want.attempts + 1;
    this.wants.set(want.node, {...want, sources, attempts, askedAtMs: now});
    batches.set(source, [...(batches.get(source) ?? []), want.node]);
  }

  private handleAdvert(
    link: PeerLink,
    entries: readonly VersionEntry[],
    full: boolean,
  ): void {
    const named = new Set<NodeId>();
    const newerHere: NodeRecord[] = [];
    for (const [node, incarnation, version] of entries) {
      named.add(node);
      const seen = {node, incarnation, version};
      this.own.observeCopy(seen);
      if (node === this.own.get().node) continue;
      if (this.roster.needs(seen)) this.addWant(link, seen);
      const known = this.roster.get(node);
      if (full && known && isNewer(known, seen)) newerHere.push(known);
    }
    if (full) {
      const unnamed = this.roster.list().filter(r => !named.has(r.node));
      const newer = [...newerHere, ...unnamed].map(makeEntry);
      if (newer.length > 0) {
        link.send({kind: 'advert', entries: newer, full: false});
      }
    }
    this.requestRecords();
  }

  private addWant(link: PeerLink, seen: RecordVersion): void {
    const known = this.wants.get(seen.node);
    if (!known || isNewer(seen, known)) {
      this.wants.set(seen.node, {
        ...seen,
        sources: [link],
        askedAtMs: undefined,
        attempts: 0,
      });
      return;
    }
    const isSame = !isNewer(known, seen);
    if (!isSame || known.sources.includes(link)) return;
    this.wants.set(seen.node, {...known, sources: [...known.sources, link]});
  }

  private merge(link: PeerLink, record: NodeRecord, ageMs: Millis): void {
    const want = this.wants.get(record.node);
    if (want && !isNewer(want, record)) this.wants.delete(record.node);
    this.own.observeCopy(record);
    if (record.node === this.own.get().node) return;
    this.arrival = link;
    this.roster.merge(record, ageMs);
    this.arrival = undefined;
  }

  private serve(link: PeerLink, nodes: readonly NodeId[]): void {
    const now = this.clock.getTime();
    const earned = ((now - this.creditedAtMs) / 1000) * serveBytesPerSecond;
    this.serveCredit = Math.min(serveBytesPerSecond, this.serveCredit + earned);
    this.creditedAtMs = now;
    const items = nodes.slice(0, maxAsked).flatMap(node => {
      const record = this.roster.get(node);
      return record ? [{record, ageMs: this.roster.getAge(node)}] : [];
    });
    for (const bytes of encodeRecords(items)) {
      if (this.serveCredit <= 0) return;
      this.serveCredit -= bytes.length;
      link.sendBytes(bytes);
    }
  }

  private addAdvert(record: NodeRecord): void {
    this.adverts.set(record.node, this.arrival);
    if (this.flushing) return;
    this.flushing = true;
    void this.clock.sleep(batchMs).then(() => this.sendAdverts());
  }

  private sendAdverts(): void {
    this.flushing = false;
    const adverts = [...this.adverts];
    this.adverts.clear();
    for (const link of this.links) {
      const entries = adverts.flatMap(([node, arrival]) => {
        const record = this.roster.get(node);
        return record && arrival !== link ? [makeEntry(record)] : [];
      });
      if (entries.length > 0) {
        link.send({kind: 'advert', entries, full: false});
      }
    }
  }
}

function makeEntry(record: NodeRecord): VersionEntry {
  return [record.node, record.incarnation, record.version];
}
