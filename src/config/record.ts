import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {decodeWith} from '../base/index.js';
import {isSameSecret, signParts} from '../hash/index.js';
import {changeCodec} from './change_codec.js';

/**
 * Newest format of records and snapshots that this program supports. Raise it with every change to the meaning of a
 * record or to the validity of changes: all nodes must compute the same configuration from the same records.
 */
export const supportedFormat = 1;
/** Maximum length of a record's text; it bounds the memory that pending plans take. */
export const maxBodyLength = 1024 * 1024;
const maxChangesPerPlan = 10_000;
const minIdLength = 8;

const safeIntegerCodec = t.refinement(
  t.number,
  value => Number.isSafeInteger(value),
  'whole number',
);
const idCodec = t.refinement(
  t.string,
  id => id.length >= minIdLength && /^[A-Za-z0-9._-]{1,64}$/.test(id),
  'an id of 8 to 64 of A-Z a-z 0-9 . _ -',
);
const planCodec = t.type({
  kind: t.literal('plan'),
  plan: idCodec,
  /** Version of the configuration that the plan was made on. */
  baseVersion: safeIntegerCodec,
  changes: t.refinement(
    t.array(changeCodec),
    changes => changes.length > 0 && changes.length <= maxChangesPerPlan,
    `1 to ${maxChangesPerPlan} changes`,
  ),
});
const confirmCodec = t.type({
  kind: t.literal('confirm'),
  plan: idCodec,
  confirmation: idCodec,
});

/** Codec of plan and confirmation ids. */
export const recordIdCodec = idCodec;
/** Codec of the records of the stream `config`. */
export const configRecordCodec = t.union([planCodec, confirmCodec]);
/** A record of the stream `config`. */
export type ConfigRecord = t.TypeOf<typeof configRecordCodec>;
/** The record of an operator's plan. */
export type PlanRecord = t.TypeOf<typeof planCodec>;

const signedRecordCodec = t.type({
  format: t.number,
  body: t.string,
  proof: t.string,
});

/** A value in the log: the JSON text of a record with its HMAC by the cluster key as `proof`. */
export type SignedRecord = t.TypeOf<typeof signedRecordCodec>;

/** Why a value in the log is skipped. */
export type BadRecordReason = 'malformed' | 'forged' | 'too-large' | 'unknown';

/** Result of verifying and decoding a value of the log. */
export type RecordDecodeResult<A> =
  | {readonly kind: 'good'; readonly record: A; readonly length: number}
  | {readonly kind: 'bad'; readonly reason: BadRecordReason}
  | {readonly kind: 'newer'; readonly format: number};

/** Signs and verifies the records of one stream. */
export class RecordSigner {
  constructor(
    private readonly clusterKey: string,
    private readonly stream: string,
  ) {}

  encode(value: unknown, format = supportedFormat): SignedRecord {
    const body = JSON.stringify(value);
    return {format, body, proof: this.sign(format, body)};
  }

  /** Verifies the proof before the format, so that only a holder of the cluster key can put the replay on hold. */
  decode<A>(
    codec: t.Type<A, unknown, unknown>,
    value: unknown,
    maxLength = maxBodyLength,
  ): RecordDecodeResult<A> {
    const signedRecord = decodeWith(signedRecordCodec, value);
    if (E.isLeft(signedRecord)) return {kind: 'bad', reason: 'malformed'};
    const {format, body, proof} = signedRecord.right;
    if (body.length > maxLength) return {kind: 'bad', reason: 'too-large'};
    if (!isSameSecret(proof, this.sign(format, body))) {
      return {kind: 'bad', reason: 'forged'};
    }
    if (format > supportedFormat) return {kind: 'newer', format};
    const parsed = E.tryCatch(() => JSON.parse(body) as unknown, E.toError);
    if (E.isLeft(parsed)) return {kind: 'bad', reason: 'malformed'};
    const decoded = decodeWith(codec, parsed.right);
    return E.isRight(decoded)
      ? {kind: 'good', record: decoded.right, length: body.length}
      : {kind: 'bad', reason: 'unknown'};
  }

  private sign(format: number, body: string): string {
    return signParts(this.clusterKey, [
      'log-record',
      this.stream,
      String(format),
      body,
    ]);
  }
}
