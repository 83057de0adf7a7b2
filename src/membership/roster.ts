import {NodeId, ServiceId} from '../base/index.js';
import {isNewer, NodeRecord, ServerReport} from './node_record.js';

/** A backend server with the node beside it. */
export interface KnownServer {
  readonly report: ServerReport;
  readonly record: NodeRecord;
}

/** The newest record of each node that this node knows. */
export class Roster {
  private readonly records = new Map<NodeId, NodeRecord>();
  private byService: Map<ServiceId, readonly KnownServer[]> | undefined;
  private listeners: readonly ((record: NodeRecord) => void)[] = [];

  /** Takes a record if it is newer than the one known; tells whether it was. */
  merge(record: NodeRecord): boolean {
    const known = this.records.get(record.node);
    if (known && !isNewer(record, known)) return false;
    this.records.set(record.node, record);
    this.byService = undefined;
    for (const listener of this.listeners) listener(record);
    return true;
  }

  remove(node: NodeId): void {
    this.records.delete(node);
    this.byService = undefined;
  }

  get(node: NodeId): NodeRecord | undefined {
    return this.records.get(node);
  }

  list(): readonly NodeRecord[] {
    return [...this.records.values()];
  }

  /** Backend servers announced for a service, on any node. */
  listServers(service: ServiceId): readonly KnownServer[] {
    this.byService ??= this.buildIndex();
    return this.byService.get(service) ?? [];
  }

  /** Calls the listener with each record taken. */
  onMerge(listener: (record: NodeRecord) => void): void {
    this.listeners = [...this.listeners, listener];
  }

  private buildIndex(): Map<ServiceId, readonly KnownServer[]> {
    const index = new Map<ServiceId, KnownServer[]>();
    for (const record of this.records.values()) {
      for (const report of record.servers) {
        const servers = index.get(report.service) ?? [];
        servers.push({report, record});
        index.set(report.service, servers);
      }
    }
    return index;
  }
}
