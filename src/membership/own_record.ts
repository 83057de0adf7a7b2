import {BackendServerId, Clock, Logger, Millis, Random} from '../base/index.js';
import {
  isNewer,
  NodeRecord,
  RecordVersion,
  ServerReport,
} from './node_record.js';
import {renewalIntervalMs, Roster} from './roster.js';

/** The parts of a record that change while the node runs. */
export type OwnState = Pick<
  NodeRecord,
  'state' | 'configVersion' | 'servers' | 'suspicions'
>;

// Changes that no entry waits for are published within such a time, at random, so that nodes do not do it together.
const figuresMs: Millis = 60_000;
// 280 changes of configuration a day, each published by 450 nodes within a minute, would cost each node 4 KB/s.
const configMs: Millis = 600_000;
/** Time constant of the average of typical answer times. */
const averagingMs: Millis = 30_000;
/** The published typical time changes when the average differs by this factor. */
const typicalFactor = 1.5;
// Once there is a new version anyway, the other figures are brought up to date with it.
const refreshFactor = 1.1;
// A flapping backend server may change the record each second; each version crosses to every node.
const maxBurst = 10;
const versionPauseMs: Millis = 2000;
// Two processes with the same id would otherwise outbid each other without pause.
const raisePauseMs: Millis = 5000;

interface Average {
  readonly incarnation: number;
  /** Logarithm of the time in ms. */
  readonly value: number;
  readonly samples: number;
  readonly sinceMs: Millis;
  readonly atMs: Millis;
}

/** This node's record: decides when a change is worth a new version. */
export class OwnRecord {
  private readonly averages = new Map<BackendServerId, Average>();
  private publishedAtMs: Millis;
  private figuresAtMs: Millis | undefined;
  private configAtMs: Millis | undefined;
  private raisedAtMs = -Infinity;
  private outbid = 0;
  private credit = maxBurst;
  private creditedAtMs: Millis;

  constructor(
    private record: NodeRecord,
    private readonly roster: Roster,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {
    this.publishedAtMs = clock.getTime();
    this.creditedAtMs = this.publishedAtMs;
    roster.merge(record);
  }

  get(): NodeRecord {
    return this.record;
  }

  /** Publishes the state now if entries must hear of it, and later if only figures moved. */
  update({state, configVersion, suspicions, ...rest}: OwnState): void {
    const now = this.clock.getTime();
    if (this.outbid > 0 && now - this.raisedAtMs >= raisePauseMs) {
      this.replaceIncarnation();
    }
    this.recordTypical(rest.servers);
    const servers = this.pickTypical(rest.servers, typicalFactor);
    const change = {state, configVersion, suspicions, servers};
    const next: NodeRecord = {...this.record, ...change};
    const sameFigures = isSame(
      {...next, configVersion: 0},
      {
        ...this.record,
        configVersion: 0,
      },
    );
    if (sameFigures) this.figuresAtMs = undefined;
    else this.figuresAtMs ??= now + this.random() * figuresMs;
    if (configVersion === this.record.configVersion)
      this.configAtMs = undefined;
    else this.configAtMs ??= now + this.random() * configMs;
    const urgent = !isSame(pickUrgent(next), pickUrgent(this.record));
    const renew = now - this.publishedAtMs >= renewalIntervalMs * 0.8;
    const {figuresAtMs = Infinity, configAtMs = Infinity} = this;
    const due = now >= Math.min(figuresAtMs, configAtMs);
    if (!urgent && !due && !(renew && this.random() < 0.01)) return;
    const isLeaving = next.state !== this.record.state;
    if (!this.hasCredit() && !isLeaving) return;
    const fresh = this.pickTypical(rest.servers, refreshFactor);
    this.publish({...next, servers: fresh});
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

  private hasCredit(): boolean {
    const now = this.clock.getTime();
    const earned = (now - this.creditedAtMs) / versionPauseMs;
    this.credit = Math.min(maxBurst, this.credit + earned);
    this.creditedAtMs = now;
    if (this.credit < 1) return false;
    this.credit -= 1;
    return true;
  }

  private publish(next: NodeRecord): void {
    this.record = {...next, version: next.version + 1};
    this.publishedAtMs = this.clock.getTime();
    this.figuresAtMs = undefined;
    this.configAtMs = undefined;
    this.roster.merge(this.record);
  }

  // The guard's typical time averages about 10 answers, so chance alone moves it over a step of 41%.
  private recordTypical(servers: readonly ServerReport[]): void {
    const now = this.clock.getTime();
    const present = new Set(servers.map(report => report.server));
    for (const server of this.averages.keys()) {
      if (!present.has(server)) this.averages.delete(server);
    }
    for (const report of servers) {
      if (report.typicalMs <= 0) continue;
      const average = addSample(this.averages.get(report.server), report, now);
      this.averages.set(report.server, average);
    }
  }

  private pickTypical(
    servers: readonly ServerReport[],
    factor: number,
  ): ServerReport[] {
    const now = this.clock.getTime();
    return servers.map(report => {
      const {server, incarnation, typicalMs} = report;
      const average = this.averages.get(server);
      const published = this.record.servers.find(
        other => other.server === server && other.incarnation === incarnation,
      )?.typicalMs;
      if (typicalMs <= 0 || !published || !average) return report;
      const moved = Math.abs(average.value - Math.log(published));
      const isFresh = now - average.sinceMs < averagingMs;
      if (isFresh || moved < Math.log(factor)) {
        return {...report, typicalMs: published};
      }
      const rounded = Math.round(10 * Math.exp(average.value)) / 10;
      return {...report, typicalMs: rounded};
    });
  }
}

function addSample(
  known: Average | undefined,
  {incarnation, typicalMs}: ServerReport,
  atMs: Millis,
): Average {
  const value = Math.log(typicalMs);
  if (known?.incarnation !== incarnation) {
    return {incarnation, value, samples: 1, sinceMs: atMs, atMs};
  }
  const samples = known.samples + 1;
  const decay = 1 - Math.exp((known.atMs - atMs) / averagingMs);
  const weight = Math.max(decay, 1 / samples);
  const moved = known.value + weight * (value - known.value);
  return {...known, value: moved, samples, atMs};
}

function isSame(a: NodeRecord, b: NodeRecord): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

// The first answer time of a backend server is urgent: without any, slowness cannot be judged.
function pickUrgent(record: NodeRecord): NodeRecord {
  return {
    ...record,
    configVersion: 0,
    servers: record.servers.map(report => ({
      ...report,
      typicalMs: Math.sign(report.typicalMs),
    })),
  };
}
