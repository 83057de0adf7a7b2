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

// Changes of typical times, which no entry waits for, are published after a random delay of up to this, so that nodes
// do not publish at the same time.
const maxTypicalTimeDelayMs: Millis = 60_000;
// 280 configuration changes a day, each published by 450 nodes within a minute, would cost each node 4 KB/s.
const maxConfigVersionDelayMs: Millis = 600_000;
/** Time constant of the moving average of typical response times. */
const averagingTimeMs: Millis = 30_000;
/** A new typical time is published when the average differs from the published one by this factor. */
const minPublishedChange = 1.5;
// If a new version is published for any reason, typical times that differ by this factor are updated with it.
const minRefreshedChange = 1.1;
// Token bucket for new versions: a flapping backend server may change the record every second, and each version is sent
// to every node.
const maxVersionBurst = 10;
const versionIntervalMs: Millis = 2000;
// Without this minimum interval, two processes with the same id would supersede each other's record continuously.
const incarnationIntervalMs: Millis = 5000;

interface LogAverage {
  readonly incarnation: number;
  /** Average of the logarithms of the times in ms. */
  readonly logMs: number;
  readonly samples: number;
  readonly sinceMs: Millis;
  readonly atMs: Millis;
}

/** This node's record; decides when a change is published as a new version. */
export class OwnRecord {
  private readonly averages = new Map<BackendServerId, LogAverage>();
  private publishedAtMs: Millis;
  private typicalTimesDueAtMs: Millis | undefined;
  private configVersionDueAtMs: Millis | undefined;
  private incarnationReplacedAtMs = -Infinity;
  private competingIncarnation = 0;
  private versionCredit = maxVersionBurst;
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

  /** Publishes urgent changes at once, and changes of typical times or of the configuration version later. */
  update({state, configVersion, suspicions, ...rest}: OwnState): void {
    const now = this.clock.getTime();
    if (
      this.competingIncarnation > 0 &&
      now - this.incarnationReplacedAtMs >= incarnationIntervalMs
    ) {
      this.replaceIncarnation();
    }
    this.recordTypicalTimes(rest.servers);
    const servers = this.pickTypicalTimes(rest.servers, minPublishedChange);
    const change = {state, configVersion, suspicions, servers};
    const next: NodeRecord = {...this.record, ...change};
    const sameExceptConfig = isSame(
      {...next, configVersion: 0},
      {
        ...this.record,
        configVersion: 0,
      },
    );
    if (sameExceptConfig) this.typicalTimesDueAtMs = undefined;
    else
      this.typicalTimesDueAtMs ??= now + this.random() * maxTypicalTimeDelayMs;
    if (configVersion === this.record.configVersion)
      this.configVersionDueAtMs = undefined;
    else
      this.configVersionDueAtMs ??=
        now + this.random() * maxConfigVersionDelayMs;
    const urgent = !isSame(
      pickUrgentFields(next),
      pickUrgentFields(this.record),
    );
    const renewalDue = now - this.publishedAtMs >= renewalIntervalMs * 0.8;
    const {typicalTimesDueAtMs = Infinity, configVersionDueAtMs = Infinity} =
      this;
    const due = now >= Math.min(typicalTimesDueAtMs, configVersionDueAtMs);
    if (!urgent && !due && !(renewalDue && this.random() < 0.01)) return;
    const isLeaving = next.state !== this.record.state;
    if (!this.useVersionCredit() && !isLeaving) return;
    const refreshed = this.pickTypicalTimes(rest.servers, minRefreshedChange);
    this.publish({...next, servers: refreshed});
  }

  /** Adopts a higher incarnation if a peer has a copy of this node's record that is newer than the record itself. */
  observeCopy(copy: RecordVersion): void {
    if (copy.node !== this.record.node || !isNewer(copy, this.record)) return;
    this.competingIncarnation = Math.max(
      this.competingIncarnation,
      copy.incarnation,
    );
    const now = this.clock.getTime();
    if (now - this.incarnationReplacedAtMs >= incarnationIntervalMs)
      this.replaceIncarnation();
  }

  private replaceIncarnation(): void {
    if (this.incarnationReplacedAtMs > -Infinity) {
      this.logger.warn(
        {node: this.record.node, incarnation: this.competingIncarnation},
        'another node holds a newer record of this node; check that no other process uses its id',
      );
    }
    this.incarnationReplacedAtMs = this.clock.getTime();
    const incarnation = this.competingIncarnation + 1;
    this.competingIncarnation = 0;
    this.publish({...this.record, incarnation, version: -1});
  }

  /** Spends one credit for a new version; returns false if none is left. */
  private useVersionCredit(): boolean {
    const now = this.clock.getTime();
    const earned = (now - this.creditedAtMs) / versionIntervalMs;
    this.versionCredit = Math.min(maxVersionBurst, this.versionCredit + earned);
    this.creditedAtMs = now;
    if (this.versionCredit < 1) return false;
    this.versionCredit -= 1;
    return true;
  }

  private publish(next: NodeRecord): void {
    this.record = {...next, version: next.version + 1};
    this.publishedAtMs = this.clock.getTime();
    this.typicalTimesDueAtMs = undefined;
    this.configVersionDueAtMs = undefined;
    this.roster.merge(this.record);
  }

  // The guard's typical time averages about 10 responses, so noise alone can move it by a rounding step of 41%.
  private recordTypicalTimes(servers: readonly ServerReport[]): void {
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

  private pickTypicalTimes(
    servers: readonly ServerReport[],
    minChange: number,
  ): ServerReport[] {
    const now = this.clock.getTime();
    return servers.map(report => {
      const {server, incarnation, typicalMs} = report;
      const average = this.averages.get(server);
      const published = this.record.servers.find(
        other => other.server === server && other.incarnation === incarnation,
      )?.typicalMs;
      if (typicalMs <= 0 || !published || !average) return report;
      const change = Math.abs(average.logMs - Math.log(published));
      const isNew = now - average.sinceMs < averagingTimeMs;
      if (isNew || change < Math.log(minChange)) {
        return {...report, typicalMs: published};
      }
      const rounded = Math.round(10 * Math.exp(average.logMs)) / 10;
      return {...report, typicalMs: rounded};
    });
  }
}

function addSample(
  known: LogAverage | undefined,
  {incarnation, typicalMs}: ServerReport,
  atMs: Millis,
): LogAverage {
  const logMs = Math.log(typicalMs);
  if (known?.incarnation !== incarnation) {
    return {incarnation, logMs, samples: 1, sinceMs: atMs, atMs};
  }
  const samples = known.samples + 1;
  const decay = 1 - Math.exp((known.atMs - atMs) / averagingTimeMs);
  const weight = Math.max(decay, 1 / samples);
  const average = known.logMs + weight * (logMs - known.logMs);
  return {...known, logMs: average, samples, atMs};
}

function isSame(a: NodeRecord, b: NodeRecord): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

// The first typical time of a backend server is urgent, because slowness cannot be detected without one.
function pickUrgentFields(record: NodeRecord): NodeRecord {
  return {
    ...record,
    configVersion: 0,
    servers: record.servers.map(report => ({
      ...report,
      typicalMs: Math.sign(report.typicalMs),
    })),
  };
}
