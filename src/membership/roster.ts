import {Clock, Millis, NodeId, ServiceId, systemClock} from '../base/index.js';
import {hashText} from '../hash/index.js';
import {
  isNewer,
  NodeRecord,
  RecordVersion,
  ServerReport,
} from './node_record.js';

/** The report of a backend server and the record of the node that published it. */
export interface KnownServer {
  readonly report: ServerReport;
  readonly record: NodeRecord;
}

/** A node republishes its record at least this often. */
export const renewalIntervalMs: Millis = 30 * 60_000;
// Longer than a missed renewal plus a one-hour partition between the regions. All records have the same limit, so an
// earlier version of a record, being older, never outlives the version that superseded it.
const recordExpiryMs: Millis = 2 * 3_600_000;
// Rejects copies that come late with too low an age, because the VM of the node that held them was suspended.
const tombstoneMs: Millis = 2 * 3_600_000;

interface StoredRecord {
  readonly record: NodeRecord;
  /** When the owner published the record, by this node's clock. */
  readonly publishedAtMs: Millis;
}

interface Tombstone extends RecordVersion {
  readonly expiresAtMs: Millis;
}

function hashVersion({node, incarnation, version}: RecordVersion): number {
  return hashText(`${node}\0${incarnation}\0${version}`);
}

/** The newest known record of each node. Records expire by age, at about the same time on all nodes. */
export class Roster {
  private readonly stored = new Map<NodeId, StoredRecord>();
  private readonly tombstones = new Map<NodeId, Tombstone>();
  private readonly serversByService = new Map<
    ServiceId,
    Map<NodeId, KnownServer[]>
  >();
  private readonly serverListCache = new Map<
    ServiceId,
    readonly KnownServer[]
  >();
  private recordListCache: readonly NodeRecord[] | undefined;
  private listeners: readonly ((record: NodeRecord) => void)[] = [];
  private digest = 0;

  constructor(private readonly clock: Clock = systemClock) {}

  /** Stores a record of the given age if it is newer than the stored one; returns whether it was. */
  merge(record: NodeRecord, ageMs: Millis = 0): boolean {
    if (!this.needs(record) || ageMs >= recordExpiryMs) return false;
    this.remove(record.node);
    this.tombstones.delete(record.node);
    const publishedAtMs = this.clock.getTime() - ageMs;
    this.stored.set(record.node, {record, publishedAtMs});
    this.digest ^= hashVersion(record);
    this.addToIndex(record);
    for (const listener of this.listeners) listener(record);
    return true;
  }

  /** Returns whether this version of a record is newer than the one stored here. */
  needs(version: RecordVersion): boolean {
    const known =
      this.stored.get(version.node)?.record ??
      this.tombstones.get(version.node);
    return !known || isNewer(version, known);
  }

  remove(node: NodeId): void {
    const known = this.stored.get(node);
    this.recordListCache = undefined;
    if (!known) return;
    this.stored.delete(node);
    this.digest ^= hashVersion(known.record);
    for (const {service} of known.record.servers) {
      this.serversByService.get(service)?.delete(node);
      this.serverListCache.delete(service);
    }
  }

  /** Removes records that their owner has not renewed in time; tombstones keep late copies from restoring them. */
  removeExpired(): void {
    const now = this.clock.getTime();
    for (const {record, publishedAtMs} of this.stored.values()) {
      if (now - publishedAtMs < recordExpiryMs) continue;
      const {node, incarnation, version} = record;
      this.remove(node);
      const expiresAtMs = now + tombstoneMs;
      this.tombstones.set(node, {node, incarnation, version, expiresAtMs});
    }
    for (const [node, {expiresAtMs}] of this.tombstones) {
      if (now >= expiresAtMs) this.tombstones.delete(node);
    }
  }

  get(node: NodeId): NodeRecord | undefined {
    return this.stored.get(node)?.record;
  }

  /** Time since the owner published its record. */
  getAge(node: NodeId): Millis {
    const stored = this.stored.get(node);
    return stored
      ? Math.max(0, this.clock.getTime() - stored.publishedAtMs)
      : 0;
  }

  /** Returns all records; the same array until the roster changes. */
  list(): readonly NodeRecord[] {
    this.recordListCache ??= [...this.stored.values()].map(
      ({record}) => record,
    );
    return this.recordListCache;
  }

  /** Returns a hash of all record versions; rosters that hold the same versions have the same digest. */
  getDigest(): number {
    return this.digest;
  }

  /** Returns the backend servers of a service on all nodes. */
  listServers(service: ServiceId): readonly KnownServer[] {
    const cached = this.serverListCache.get(service);
    if (cached) return cached;
    const servers = [
      ...(this.serversByService.get(service)?.values() ?? []),
    ].flat();
    this.serverListCache.set(service, servers);
    return servers;
  }

  /** Calls the listener with each record stored by `merge`. */
  onMerge(listener: (record: NodeRecord) => void): void {
    this.listeners = [...this.listeners, listener];
  }

  private addToIndex(record: NodeRecord): void {
    for (const report of record.servers) {
      const byNode = this.serversByService.get(report.service) ?? new Map();
      const servers: KnownServer[] = byNode.get(record.node) ?? [];
      byNode.set(record.node, [...servers, {report, record}]);
      this.serversByService.set(report.service, byNode);
      this.serverListCache.delete(report.service);
    }
  }
}
