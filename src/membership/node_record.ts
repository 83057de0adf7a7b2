import * as t from 'io-ts';
import {
  BackendServerId,
  DataCentreId,
  isValidId,
  NodeId,
  RegionId,
  ServiceId,
} from '../base/index.js';

/** Checks the lifecycle phase that a backend server announces. */
export const serverPhaseCodec = t.keyof({
  starting: null,
  ready: null,
  draining: null,
  stopped: null,
});
/** Lifecycle phase that a backend server announces. */
export type ServerPhase = t.TypeOf<typeof serverPhaseCodec>;

const healthCodec = t.union([
  t.type({kind: t.literal('healthy')}),
  t.type({
    kind: t.literal('ejected'),
    reason: t.keyof({failing: null, slow: null, unreachable: null}),
    sinceMs: t.number,
  }),
  t.type({kind: t.literal('probation'), share: t.number}),
]);
/** Health that the guard derives from responses to real requests; `share` is the fraction of full weight, 0 to 1. */
export type ReportedHealth = t.TypeOf<typeof healthCodec>;

const serverReportCodec = t.type({
  server: t.string,
  service: t.string,
  pool: t.string,
  incarnation: t.number,
  slots: t.number,
  phase: serverPhaseCodec,
  health: healthCodec,
  /** Typical response time in ms, rounded to a step so that noise does not change the record. */
  typicalMs: t.number,
});

const suspicionCodec = t.type({
  /** The node that cannot be reached. */
  node: t.string,
  incarnation: t.number,
});

/** Checks a node record received from another node. */
export const nodeRecordCodec = t.type({
  node: t.string,
  incarnation: t.number,
  version: t.number,
  dataCentre: t.string,
  region: t.string,
  peerAddress: t.string,
  dataAddress: t.string,
  adminAddress: t.string,
  state: t.keyof({serving: null, leaving: null}),
  /** Configuration version in force when the record was published; a change is published within 10 minutes. */
  configVersion: t.number,
  servers: t.array(serverReportCodec),
  suspicions: t.array(suspicionCodec),
});

/** State of a backend server as reported by its guard. */
export interface ServerReport extends t.TypeOf<typeof serverReportCodec> {
  readonly server: BackendServerId;
  readonly service: ServiceId;
}

/** State that a node publishes about itself, its backend servers and the nodes it cannot reach. */
export interface NodeRecord extends t.TypeOf<typeof nodeRecordCodec> {
  readonly node: NodeId;
  readonly dataCentre: DataCentreId;
  readonly region: RegionId;
  readonly servers: ServerReport[];
}

/** Identifies one version of a node record. */
export type RecordVersion = Pick<
  NodeRecord,
  'node' | 'incarnation' | 'version'
>;

// The owner of a record could not supersede an infinite or fractional incarnation or version.
function isNonNegativeInteger(value: number): boolean {
  return Number.isSafeInteger(value) && value >= 0;
}

/** Returns whether a decoded record has valid ids, and an incarnation and a version that its owner can supersede. */
export function isValidRecord(record: t.TypeOf<typeof nodeRecordCodec>) {
  return (
    isValidId(record.node) &&
    isValidId(record.dataCentre) &&
    isNonNegativeInteger(record.incarnation) &&
    isNonNegativeInteger(record.version)
  );
}

/** Returns whether record `a` supersedes record `b` of the same node. */
export function isNewer(
  a: Pick<NodeRecord, 'incarnation' | 'version'>,
  b: Pick<NodeRecord, 'incarnation' | 'version'>,
): boolean {
  return (
    a.incarnation > b.incarnation ||
    (a.incarnation === b.incarnation && a.version > b.version)
  );
}
