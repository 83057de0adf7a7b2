import {createHash, randomBytes} from 'node:crypto';
import * as t from 'io-ts';
import {
  AccountId,
  asId,
  Branded,
  ClaimId,
  hashText,
  ServiceId,
} from '../base/index.js';

/** Hash of an idempotency key with the client account and the service that scope it. */
export type KeyId = Branded<'KeyId'>;
/** Hash of what a request asks for; the same key with another print is a caller's mistake. */
export type RequestFingerprint = Branded<'RequestPrint'>;

// 96 bits: two of the 2.8 million keys of a window collide with a probability of about 5e-17.
const keyHashBytes = 12;
const claimIdBytes = 9;
const printBytes = 6;

/** Longest body of an outcome that is kept, in bytes. */
export const maxOutcomeBodyBytes = 4096;

const claimCodec = t.type({
  kind: t.literal('claim'),
  key: t.string,
  claim: t.string,
  print: t.string,
});
const outcomeCodec = t.type({
  status: t.number,
  contentType: t.string,
  /** Body in base64; null if it was longer than `maxOutcomeBytes`. */
  body: t.union([t.string, t.null]),
});
const completeCodec = t.type({
  kind: t.literal('complete'),
  key: t.string,
  claim: t.string,
  outcome: outcomeCodec,
});
const releaseCodec = t.type({
  kind: t.literal('release'),
  key: t.string,
  claim: t.string,
});
const markCodec = t.type({
  kind: t.literal('mark'),
  /** True if records before this one were lost. */
  gap: t.boolean,
});

/** A record of a stream `keys-P`. */
export const keyRecordCodec = t.union([
  claimCodec,
  completeCodec,
  releaseCodec,
  markCodec,
]);
/** A record of a stream `keys-P`. */
export type KeyRecord = t.TypeOf<typeof keyRecordCodec>;
/** What the backend server answered to the request of a key. */
export type KeyOutcome = t.TypeOf<typeof outcomeCodec>;
/** The end of a claim: its outcome, or its release because the request was certainly not run. */
export const claimResolutionCodec = t.union([completeCodec, releaseCodec]);
/** The end of a claim: its outcome, or its release because the request was certainly not run. */
export type ClaimResolution = t.TypeOf<typeof claimResolutionCodec>;

function hashParts(parts: readonly (string | Buffer)[], bytes: number): string {
  const hash = createHash('sha256');
  for (const part of parts) {
    hash.update(`${part.length}:`);
    hash.update(part);
  }
  return hash.digest().subarray(0, bytes).toString('base64url');
}

/** Scopes a caller's key by client account and service. */
export function makeKeyId(
  account: AccountId,
  service: ServiceId,
  key: string,
): KeyId {
  return asId<KeyId>(hashParts([account, service, key], keyHashBytes));
}

/** Hash over method, path and body; a body that is not held (null) is left out. */
export function makeRequestFingerprint(
  method: string,
  path: string,
  body: Buffer | null,
): RequestFingerprint {
  const parts = body ? [method, path, body] : [method, path];
  return asId<RequestFingerprint>(hashParts(parts, printBytes));
}

/** A new random claim id. */
export function makeClaimId(): ClaimId {
  return asId<ClaimId>(randomBytes(claimIdBytes).toString('base64url'));
}

/** The log stream that decides a key. */
export function getKeyStream(key: KeyId, partitions: number): string {
  return `keys-${hashText(key) % partitions}`;
}
