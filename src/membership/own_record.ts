import {BackendServerId, Clock, Logger, Millis, Random} from '../base/index.js';
import {
  isNewer,
  NodeRecord,
  RecordVersion,
  ServerReport,
} from './node_record.js';
import {renewalMs, Roster} from './roster.js';

/** The parts of a record that change while the node runs. */
export type OwnState = Pick<
  NodeRecord,
  'state' | 'configVersion' | 'servers' | 'suspicions'
>;

/** A change that no entry waits for is published within this time, at random, so that nodes do not do it together. */
const lazyMs: Millis = 60_000;
/** Time constant of the average of typical answer times. */
const averagingMs: Millis = 30_000;
/** The published typical time changes when the average differs by this factor. */
const typicalFactor = 1.5;
// Two processes with the same id would otherwise outbid each other without pause.
const raisePauseMs: Millis = 5000;

interface Average {
  readonly incarnation: number;
  readonly value: number;
  readonly atMs: Millis;
}

/** This node's record: decides when a change is worth a new version. */
export class OwnRecord {
  private readonly averages = new Map<BackendServerId, Average>();
  private publishedAtMs: Millis;
  private lazyAtMs: Millis | undefined;
  private raisedAtMs = -Infinity;
  private outbid = 0;

  constructor(
    private record: NodeRecord,
    private readonly roster: Roster,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {
    this.publishedAtMs = clock.getTime();
    roster.merge(record);
  }

  get(): NodeRecord {
    return this.record;
  }

  /** Publishes the state now if entries must hear of it, and later if only figures moved. */
  update(state: OwnState): void {
    const now = this.clock.getTime();
    if (this.outbid > 0 && now - this.raisedAtMs >= raisePauseMs) {
      this.replaceIncarnation();
    }
    const servers = this.estimateTypical(state.servers);
    const next: NodeRecord = {...this.record, ...state, servers};
    if (isSame(next, this.record)) this.lazyAtMs = undefined;
    else this.lazyAtMs ??= now + this.random() * lazyMs;
    const urgent = !isSame(pickUrgent(next), pickUrgent(this.record));
    const renew = now - this.publishedAtMs >= renewalMs * 0.8;
    const due = now >= (this.lazyAtMs ?? Infinity);
    if (!urgent && !due && !(renew && this.random() < 0.01)) return;
    this.publish(next);
  }

  /** Takes a higher incarnation if a copy of this node's record is newer than the node's own. */
  observeCopy(copy: RecordVersion): void {
    if (copy.node !== this.record.node || !isNewer(copy, this.record)) return;
    this.outbid = Math.max(this.outbid, copy.incarnation);
    const now = this.clock.getTime();
    if (now - this.raisedAtMs >= raisePauseMs) this.replaceIncarnation();
  }

  private replaceIncarnation(): void {
    if (this.raisedAtMs > -Infinity) {
      this.logger.warn(
        {node: this.record.node, incarnation: this.outbid},
        'a newer record of this node exists; check that no other process uses its id',
      );
    }
    this.raisedAtMs = this.clock.getTime();
    const incarnation = this.outbid + 1;
    this.outbid = 0;
    this.publish({...this.record, incarnation, version: -1});
  }

  private publish(next: NodeRecord): void {
    this.record = {...next, version: next.version + 1};
    this.publishedAtMs = this.clock.getTime();
    this.lazyAtMs = undefined;
    this.roster.merge(this.record);
  }

  // At 7 answers a second the guard's typical time crosses a step of 41% many times a minute by chance alone.
  private estimateTypical(servers: readonly ServerReport[]): ServerReport[] {
    const now = this.clock.getTime();
    const present = new Set(servers.map(report => report.server));
    for (const server of this.averages.keys()) {
      if (!present.has(server)) this.averages.delete(server);
    }
    return servers.map(report => {
      const {server, incarnation, typicalMs} = report;
      if (typicalMs <= 0) return report;
      const published = this.record.servers.find(
        other => other.server === server && other.incarnation === incarnation,
      )?.typicalMs;
      const known = this.averages.get(server);
      const weight =
        known?.incarnation === incarnation
          ? 1 - Math.exp((known.atMs - now) / averagingMs)
          : 1;
      const before = known?.value ?? 0;
      const value = before + weight * (Math.log(typicalMs) - before);
      this.averages.set(server, {incarnation, value, atMs: now});
      if (!published) return report;
      const moved = Math.abs(value - Math.log(published));
      const isClose = moved < Math.log(typicalFactor);
      const average = Math.round(10 * Math.exp(value)) / 10;
      return {...report, typicalMs: isClose ? published : average};
    });
  }
}

function isSame(a: NodeRecord, b: NodeRecord): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

function pickUrgent(record: NodeRecord): NodeRecord {
  return {
    ...record,
    configVersion: 0,
    servers: record.servers.map(report => ({...report, typicalMs: 0})),
  };
}
