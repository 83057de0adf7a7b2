import {
  Clock,
  hashText,
  Millis,
  NodeId,
  ServiceId,
  systemClock,
} from '../base/index.js';
import {
  isNewer,
  NodeRecord,
  RecordVersion,
  ServerReport,
} from './node_record.js';

/** A backend server with the node beside it. */
export interface KnownServer {
  readonly report: ServerReport;
  readonly record: NodeRecord;
}

/** An owner publishes its record again at least this often. */
export const renewalIntervalMs: Millis = 30 * 60_000;
// Longer than a renewal missed plus an hour in which the regions are cut off from each other. One bound for all
// records: an earlier version of a record is older, so it never outlives the version that replaced it.
const expiryMs: Millis = 2 * 3_600_000;
// Covers a copy whose age is wrong because its holder's VM was suspended.
const tombstoneMs: Millis = 2 * 3_600_000;

interface Held {
  readonly record: NodeRecord;
  /** Time of this node's clock at which the owner published the record. */
  readonly bornMs: Millis;
}

interface Tombstone extends RecordVersion {
  readonly untilMs: Millis;
}

function hashVersion({node, incarnation, version}: RecordVersion): number {
  return hashText(`${node}\0${incarnation}\0${version}`);
}

/** The newest record of each node that this node knows. Records expire by age, at about the same time everywhere. */
export class Roster {
  private readonly held = new Map<NodeId, Held>();
  private readonly tombstones = new Map<NodeId, Tombstone>();
  private readonly index = new Map<ServiceId, Map<NodeId, KnownServer[]>>();
  private readonly flat = new Map<ServiceId, readonly KnownServer[]>();
  private records: readonly NodeRecord[] | undefined;
  private listeners: readonly ((record: NodeRecord) => void)[] = [];
  private digest = 0;

  constructor(private readonly clock: Clock = systemClock) {}

  /** Takes a record of the given age if it is newer than the one known; tells whether it was. */
  merge(record: NodeRecord, ageMs: Millis = 0): boolean {
    if (!this.needs(record) || ageMs >= expiryMs) return false;
    this.remove(record.node);
    this.tombstones.delete(record.node);
    const bornMs = this.clock.getTime() - ageMs;
    this.held.set(record.node, {record, bornMs});
    this.digest ^= hashVersion(record);
    this.addToIndex(record);
    for (const listener of this.listeners) listener(record);
    return true;
  }

  /** Tells whether a record of this version would be new here. */
  needs(seen: RecordVersion): boolean {
    const known =
      this.held.get(seen.node)?.record ?? this.tombstones.get(seen.node);
    return !known || isNewer(seen, known);
  }

  remove(node: NodeId): void {
    const known = this.held.get(node);
    this.records = undefined;
    if (!known) return;
    this.held.delete(node);
    this.digest ^= hashVersion(known.record);
    for (const {service} of known.record.servers) {
      this.index.get(service)?.delete(node);
      this.flat.delete(service);
    }
  }

  /** Forgets records that their owner has not renewed in time; a late copy does not bring them back. */
  removeExpired(): void {
    const now = this.clock.getTime();
    for (const {record, bornMs} of this.held.values()) {
      if (now - bornMs < expiryMs) continue;
      const {node, incarnation, version} = record;
      this.remove(node);
      const untilMs = now + tombstoneMs;
      this.tombstones.set(node, {node, incarnation, version, untilMs});
    }
    for (const [node, {untilMs}] of this.tombstones) {
      if (now >= untilMs) this.tombstones.delete(node);
    }
  }

  get(node: NodeId): NodeRecord | undefined {
    return this.held.get(node)?.record;
  }

  /** Time since the owner published its record. */
  getAge(node: NodeId): Millis {
    const held = this.held.get(node);
    return held ? Math.max(0, this.clock.getTime() - held.bornMs) : 0;
  }

  /** All records; the same array until the roster changes. */
  list(): readonly NodeRecord[] {
    this.records ??= [...this.held.values()].map(({record}) => record);
    return this.records;
  }

  /** A number that two rosters share if they hold the same versions. */
  getDigest(): number {
    return this.digest;
  }

  /** Backend servers announced for a service, on any node. */
  listServers(service: ServiceId): readonly KnownServer[] {
    const cached = this.flat.get(service);
    if (cached) return cached;
    const servers = [...(this.index.get(service)?.values() ?? [])].flat();
    this.flat.set(service, servers);
    return servers;
  }

  /** Calls the listener with each record taken. */
  onMerge(listener: (record: NodeRecord) => void): void {
    this.listeners = [...this.listeners, listener];
  }

  private addToIndex(record: NodeRecord): void {
    for (const report of record.servers) {
      const byNode = this.index.get(report.service) ?? new Map();
      const servers: KnownServer[] = byNode.get(record.node) ?? [];
      byNode.set(record.node, [...servers, {report, record}]);
      this.index.set(report.service, byNode);
      this.flat.delete(report.service);
    }
  }
}
