import * as E from 'fp-ts/lib/Either.js';
import {assertNever, decodeWith, Millis} from '../base/index.js';
import {hashText} from '../hash/index.js';
import {LogRecord} from '../logservice/index.js';
import {KeyRecord, keyRecordCodec} from './record.js';

/** A claim in the log that was not released; the claims of one key form a linked list in log order. */
interface KeyClaim {
  readonly claim: string;
  /** 32-bit hash of the fingerprint. A short hash is enough: it only detects errors of callers. */
  readonly fingerprintHash: number;
  /** Time of the claim in whole milliseconds after `baseMs` of the table. */
  readonly msAfterBase: Millis;
  /** Log offset of the outcome, -1 while there is none. Outcomes stay in the log to bound memory use. */
  outcomeOffset: number;
  next: KeyClaim | undefined;
}

/** Decision on a claim, or state of a key that another claim holds. */
export type ClaimDecision =
  | {readonly kind: 'granted'}
  | {readonly kind: 'answered'; readonly offset: number}
  | {readonly kind: 'pending'; readonly claim: string}
  | {readonly kind: 'mismatch'}
  | {readonly kind: 'undecided'; readonly reason: string};

// Expired keys are removed in batches: iteration over a map skips the slots of deleted entries one by one.
const removalIntervalMs: Millis = 10_000;

/**
 * State of the keys of one stream `keys-P`, computed from its records. The holder of a key is its first claim in log
 * order that is neither released nor older than the window, by the timestamps of the log. The holder depends only on
 * records within one window before the newest one, so a table that starts there agrees with one that read everything.
 */
export class KeyTable {
  private readonly claims = new Map<string, KeyClaim>();
  /** Releases read before their claim, whose append was delayed: claim id to time of the release. */
  private readonly earlyReleases = new Map<string, Millis>();
  /**
   * Base of the times of claims. Relative times are small integers, which V8 stores inline; with full timestamps, a key
   * would take 184 bytes.
   */
  private baseMs: Millis | undefined;
  private logTimeMs = -Infinity;
  private lastRemovalAt = -Infinity;
  private badRecords = 0;

  /** `coveredSince`: all records later than this are applied; undefined: coverage starts with the first record. */
  constructor(
    private readonly windowMs: Millis,
    private coveredSince: Millis | undefined,
  ) {}

  /** Newest timestamp of the log among the applied records. */
  getLogTime(): Millis {
    return this.logTimeMs;
  }

  countKeys(): number {
    return this.claims.size;
  }

  countBadRecords(): number {
    return this.badRecords;
  }

  /** Applies one record; returns it decoded, or undefined if it is malformed. */
  apply(record: LogRecord): KeyRecord | undefined {
    this.logTimeMs = Math.max(this.logTimeMs, record.atMs);
    this.coveredSince ??= record.atMs;
    this.baseMs ??= Math.floor(record.atMs);
    if (this.logTimeMs - this.lastRemovalAt >= removalIntervalMs)
      this.removeExpired();
    const decoded = decodeWith(keyRecordCodec, record.value);
    if (E.isLeft(decoded)) {
      this.badRecords += 1;
      return undefined;
    }
    this.applyRecord(decoded.right, record.offset, this.logTimeMs);
    return decoded.right;
  }

  /** Decides a claim whose record was applied. */
  checkClaim(key: string, claim: string, fingerprint: string): ClaimDecision {
    if (!this.isCovered()) {
      return {
        kind: 'undecided',
        reason: 'the log does not retain all records of the key window',
      };
    }
    const holder = this.findHolder(key, this.logTimeMs);
    if (holder?.claim === claim) return {kind: 'granted'};
    return (
      makeHolderDecision(holder, hashFingerprint(fingerprint)) ?? {
        kind: 'undecided',
        reason: 'the claim was released or has expired',
      }
    );
  }

  /** State of a key at a time not before `getLogTime()`; undefined if the key may be free. */
  checkKey(
    key: string,
    fingerprint: string,
    atMs: Millis,
  ): ClaimDecision | undefined {
    return this.isCovered()
      ? makeHolderDecision(
          this.findHolder(key, atMs),
          hashFingerprint(fingerprint),
        )
      : undefined;
  }

  private isCovered(): boolean {
    return (
      this.coveredSince !== undefined &&
      this.logTimeMs - this.coveredSince >= this.windowMs
    );
  }

  private findHolder(key: string, atMs: Millis): KeyClaim | undefined {
    let claim = this.claims.get(key);
    while (claim && atMs - this.getClaimTime(claim) >= this.windowMs) {
      claim = claim.next;
    }
    return claim;
  }

  private getClaimTime(claim: KeyClaim): Millis {
    return (this.baseMs ?? 0) + claim.msAfterBase;
  }

  private applyRecord(record: KeyRecord, offset: number, atMs: Millis): void {
    switch (record.kind) {
      case 'claim':
        if (!this.earlyReleases.delete(record.claim))
          this.addClaim(record, atMs);
        return;
      case 'complete': {
        const claim = this.findClaim(record.key, record.claim);
        // An outcome whose claim is not in the table belongs to an expired claim.
        if (claim && claim.outcomeOffset < 0) claim.outcomeOffset = offset;
        return;
      }
      case 'release': {
        const claim = this.findClaim(record.key, record.claim);
        if (!claim) this.earlyReleases.set(record.claim, atMs);
        else if (claim.outcomeOffset < 0) this.removeClaim(record.key, claim);
        return;
      }
      case 'mark':
        if (record.gap) this.coveredSince = atMs;
        return;
      default:
        assertNever(record);
    }
  }

  private addClaim(
    record: Extract<KeyRecord, {kind: 'claim'}>,
    atMs: Millis,
  ): void {
    const {key, claim} = record;
    const added = {
      claim,
      fingerprintHash: hashFingerprint(record.print),
      // Rounded up so that no claim expires early.
      msAfterBase: Math.ceil(atMs - (this.baseMs ?? 0)),
      outcomeOffset: -1,
      next: undefined,
    };
    let last = this.claims.get(key);
    if (!last) {
      this.claims.set(key, added);
      return;
    }
    while (last.claim !== claim && last.next) last = last.next;
    if (last.claim !== claim) last.next = added;
  }

  private findClaim(key: string, claim: string): KeyClaim | undefined {
    let found = this.claims.get(key);
    while (found && found.claim !== claim) found = found.next;
    return found;
  }

  private removeClaim(key: string, removed: KeyClaim): void {
    const first = this.claims.get(key);
    if (first === removed) {
      // Reinsertion moves the key behind newer ones in the map, which only delays its removal.
      this.claims.delete(key);
      if (removed.next) this.claims.set(key, removed.next);
      return;
    }
    let before = first;
    while (before && before.next !== removed) before = before.next;
    if (before) before.next = removed.next;
  }

  private removeExpired(): void {
    this.lastRemovalAt = this.logTimeMs;
    const expiryTimeMs = this.logTimeMs - this.windowMs;
    for (const [key, first] of this.claims) {
      if (this.getClaimTime(first) > expiryTimeMs) break;
      this.removeClaim(key, first);
    }
    for (const [claim, atMs] of this.earlyReleases) {
      if (atMs > expiryTimeMs) break;
      this.earlyReleases.delete(claim);
    }
  }
}

function hashFingerprint(fingerprint: string): number {
  return hashText(fingerprint) | 0;
}

function makeHolderDecision(
  holder: KeyClaim | undefined,
  fingerprintHash: number,
): ClaimDecision | undefined {
  if (!holder) return undefined;
  if (holder.fingerprintHash !== fingerprintHash) return {kind: 'mismatch'};
  return holder.outcomeOffset >= 0
    ? {kind: 'answered', offset: holder.outcomeOffset}
    : {kind: 'pending', claim: holder.claim};
}
