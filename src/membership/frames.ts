import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {Packr} from 'msgpackr';
import {
  decodeWith,
  describeError,
  InvalidInputError,
  Millis,
  NodeId,
} from '../base/index.js';
import {isValidRecord, NodeRecord, nodeRecordCodec} from './node_record.js';

/** Largest frame on a link; a larger one closes the link. */
export const maxFrameBytes = 1024 * 1024;
// About 40 records; validating and merging them takes a few milliseconds of the event loop.
const maxBatchBytes = 32 * 1024;

const versionEntryCodec = t.tuple([t.string, t.number, t.number]);
const agedRecordCodec = t.type({ageMs: t.number, record: nodeRecordCodec});

const frameCodec = t.union([
  t.type({
    kind: t.literal('heartbeat'),
    incarnation: t.number,
    sequence: t.number,
    acknowledged: t.number,
    configVersion: t.number,
    digest: t.number,
  }),
  t.type({
    kind: t.literal('advert'),
    entries: t.array(versionEntryCodec),
    full: t.boolean,
  }),
  t.type({kind: t.literal('want'), nodes: t.array(t.string)}),
  t.type({kind: t.literal('records'), items: t.array(agedRecordCodec)}),
]);

/** Identifies a version of a record in an advert: node, incarnation, version. */
export type VersionEntry = readonly [NodeId, number, number];

/** A record and the time since its owner published it. */
export interface AgedRecord {
  readonly ageMs: Millis;
  readonly record: NodeRecord;
}

/** A message on an authenticated link between two nodes. */
export type Frame =
  | {
      readonly kind: 'heartbeat';
      readonly incarnation: number;
      readonly sequence: number;
      /** Sequence number of the last heartbeat received from the other side, 0 for none. */
      readonly acknowledged: number;
      readonly configVersion: number;
      readonly digest: number;
    }
  | {
      readonly kind: 'advert';
      readonly entries: readonly VersionEntry[];
      /** Whether the entries list all records of the sender. */
      readonly full: boolean;
    }
  | {readonly kind: 'want'; readonly nodes: readonly NodeId[]}
  | {readonly kind: 'records'; readonly items: readonly AgedRecord[]};

export type Heartbeat = Extract<Frame, {kind: 'heartbeat'}>;

// Field names are written once per frame, so that a record of 12 backend servers takes 0.86 KB instead of 1.63 KB.
const packr = new Packr({useRecords: true});

export function encodeFrame(frame: Frame): Buffer {
  return packr.pack(frame);
}

/** Decodes and validates a frame; returns a Left with the error if it is invalid. */
export function decodeFrame(bytes: Buffer): E.Either<Error, Frame> {
  let value: unknown;
  try {
    value = packr.unpack(bytes);
  } catch (error) {
    return E.left(
      new InvalidInputError(`frame is not msgpack: ${describeError(error)}`),
    );
  }
  const decoded = decodeWith(frameCodec, value);
  if (E.isLeft(decoded)) return decoded;
  const frame = decoded.right;
  if (frame.kind === 'records') {
    const invalid = frame.items.find(
      ({ageMs, record}) => !(ageMs >= 0) || !isValidRecord(record),
    );
    if (invalid) {
      return E.left(
        new InvalidInputError(
          `record of node ${invalid.record.node} has an invalid id, incarnation, version or age`,
        ),
      );
    }
  }
  return E.right(frame as unknown as Frame);
}

/** Encodes records into frames, splitting them in halves until each frame is within the batch limit. */
export function encodeRecords(items: readonly AgedRecord[]): readonly Buffer[] {
  if (items.length === 0) return [];
  const bytes = encodeFrame({kind: 'records', items});
  if (bytes.length <= maxBatchBytes || items.length === 1) return [bytes];
  const half = Math.ceil(items.length / 2);
  return [
    ...encodeRecords(items.slice(0, half)),
    ...encodeRecords(items.slice(half)),
  ];
}
