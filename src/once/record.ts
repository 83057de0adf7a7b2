import {createHash, randomBytes} from 'node:crypto';
import * as t from 'io-ts';
import {AccountId, asId, Branded, ClaimId, ServiceId} from '../base/index.js';
import {hashText} from '../hash/index.js';

/** Hash of an idempotency key together with its scope: the client account and the service. */
export type KeyId = Branded<'KeyId'>;
/** Hash of the content of a request. Reuse of a key with a different fingerprint is an error of the caller. */
export type RequestFingerprint = Branded<'RequestFingerprint'>;

// 96 bits: the probability of a collision among the 2.8 million keys of a window is about 5e-17.
const keyHashBytes = 12;
const claimIdBytes = 9;
const fingerprintBytes = 6;

/** Longest response body that an outcome stores, in bytes. */
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
  /** Body in base64; null if it was not stored, such as one longer than `maxOutcomeBodyBytes`. */
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
  /** True if the log lost records before this one. */
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
/** The response of the backend server to the request that held the key. */
export type KeyOutcome = t.TypeOf<typeof outcomeCodec>;
/** Record that resolves a claim: its outcome, or its release because the request was certainly not run. */
export const claimResolutionCodec = t.union([completeCodec, releaseCodec]);
/** Record that resolves a claim: its outcome, or its release because the request was certainly not run. */
export type ClaimResolution = t.TypeOf<typeof claimResolutionCodec>;

function hashParts(parts: readonly (string | Buffer)[], bytes: number): string {
  const hash = createHash('sha256');
  for (const part of parts) {
    hash.update(`${part.length}:`);
    hash.update(part);
  }
  return hash.digest().subarray(0, bytes).toString('base64url');
}

/** Hashes an idempotency key within the scope of its client account and service. */
export function makeKeyId(
  account: AccountId,
  service: ServiceId,
  key: string,
): KeyId {
  return asId<KeyId>(hashParts([account, service, key], keyHashBytes));
}

/** Hashes method, path and body; a body that was not buffered (null) is left out. */
export function makeRequestFingerprint(
  method: string,
  path: string,
  body: Buffer | null,
): RequestFingerprint {
  const parts = body ? [method, path, body] : [method, path];
  return asId<RequestFingerprint>(hashParts(parts, fingerprintBytes));
}

/** A new random claim id. */
export function makeClaimId(): ClaimId {
  return asId<ClaimId>(randomBytes(claimIdBytes).toString('base64url'));
}

/** Name of the log stream that holds the records of a key. */
export function getKeyStream(key: KeyId, partitions: number): string {
  return `keys-${hashText(key) % partitions}`;
}
