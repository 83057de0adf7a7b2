import {createHash, createHmac, timingSafeEqual} from 'node:crypto';
import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** Fast 32-bit hash for placement; not cryptographic. */
export function hashText(text: string): number {
  return h32(text);
}

/** Ranks candidates for a key by rendezvous hashing; all nodes compute the same order. */
export function rankByRendezvous<T extends string>(
  key: string,
  candidates: readonly T[],
): readonly T[] {
  return candidates
    .map(candidate => ({candidate, score: h32(`${key}\0${candidate}`)}))
    .sort((a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1))
    .map(({candidate}) => candidate);
}

/** Hex SHA-256 of a secret; tokens are stored in this form. */
export function hashSecret(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

/** HMAC-SHA-256 over the parts, in base64url; proves knowledge of the key. */
export function signParts(key: string, parts: readonly string[]): string {
  return createHmac('sha256', key).update(parts.join('\0')).digest('base64url');
}

/** Compares two strings in constant time. */
export function isSameSecret(a: string, b: string): boolean {
  const left = Buffer.from(a);
  const right = Buffer.from(b);
  return left.length === right.length && timingSafeEqual(left, right);
}
