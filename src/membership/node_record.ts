import * as t from 'io-ts';
import {
  BackendServerId,
  DataCentreId,
  isValidId,
  NodeId,
  RegionId,
  ServiceId,
} from '../base/index.js';

/** Life of a backend server as it announces it. */
export const serverPhaseCodec = t.keyof({
  starting: null,
  ready: null,
  draining: null,
  stopped: null,
});
/** Life of a backend server as it announces it. */
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
/** What the guard concludes from real answers; `share` is the part of full weight, 0 to 1. */
export type ReportedHealth = t.TypeOf<typeof healthCodec>;

const serverReportCodec = t.type({
  server: t.string,
  service: t.string,
  pool: t.string,
  incarnation: t.number,
  slots: t.number,
  phase: serverPhaseCodec,
  health: healthCodec,
  /** Typical answer time in ms, rounded to a step so that noise does not change the record. */
  typicalMs: t.number,
});

const suspicionCodec = t.type({
  /** The node that cannot be reached. */
  node: t.string,
  incarnation: t.number,
});

/** Shape of a node record between nodes. */
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
  /** Version in force when the record was published; it follows a change within 10 minutes. */
  configVersion: t.number,
  servers: t.array(serverReportCodec),
  suspicions: t.array(suspicionCodec),
});

/** One backend server as its guard reports it. */
export interface ServerReport extends t.TypeOf<typeof serverReportCodec> {
  readonly server: BackendServerId;
  readonly service: ServiceId;
}

/** All that one node says of itself, its backend servers and the nodes it cannot reach. */
export interface NodeRecord extends t.TypeOf<typeof nodeRecordCodec> {
  readonly node: NodeId;
  readonly dataCentre: DataCentreId;
  readonly region: RegionId;
  readonly servers: ServerReport[];
}

/** Identity of one state of a node record. */
export type RecordVersion = Pick<
  NodeRecord,
  'node' | 'incarnation' | 'version'
>;

// An infinite or fractional number could never be replaced by its owner.
function isCount(value: number): boolean {
  return Number.isSafeInteger(value) && value >= 0;
}

/** Tells whether a decoded record holds ids and versions that its owner can replace. */
export function isValidRecord(record: t.TypeOf<typeof nodeRecordCodec>) {
  return (
    isValidId(record.node) &&
    isValidId(record.dataCentre) &&
    isCount(record.incarnation) &&
    isCount(record.version)
  );
}

/** Tells whether a record replaces another of the same node. */
export function isNewer(
  a: Pick<NodeRecord, 'incarnation' | 'version'>,
  b: Pick<NodeRecord, 'incarnation' | 'version'>,
): boolean {
  return (
    a.incarnation > b.incarnation ||
    (a.incarnation === b.incarnation && a.version > b.version)
  );
}
