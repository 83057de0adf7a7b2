import * as E from 'fp-ts/lib/Either.js';
import {assertNever, decodeWith, hashText, Millis} from '../base/index.js';
import {LogRecord} from '../logservice/index.js';
import {KeyRecord, keyRecordCodec} from './record.js';

/** A claim in the log that was not released; claims of one key form a list in log order. */
interface KeyClaim {
  readonly claim: string;
  /** 32-bit hash of the print; it only tells callers of a mistake. */
  readonly print: number;
  /** Whole milliseconds after the base of the table. */
  readonly age: Millis;
  /** Offset of the outcome, -1 while there is none. Outcomes stay in the log to bound memory. */
  outcomeOffset: number;
  next: KeyClaim | undefined;
}

/** Who holds a key. */
export type ClaimDecision =
  | {readonly kind: 'granted'}
  | {readonly kind: 'answered'; readonly offset: number}
  | {readonly kind: 'pending'; readonly claim: string}
  | {readonly kind: 'mismatch'}
  | {readonly kind: 'undecided'; readonly reason: string};

// Removing expired keys walks over the holes they leave in the map, so it does not run with each record.
const removePeriodMs: Millis = 10_000;

/**
 * The fold of one stream `keys-P`. A key is held by its first claim in log order that is neither released nor
 * older than the window, by the time stamps of the log. The holder depends only on records within one window
 * before the newest one, so a fold that starts there agrees with one that read everything.
 */
export class KeyTable {
  private readonly claims = new Map<string, KeyClaim>();
  /** Releases read before their claim: the append of the claim was delayed. Value: time of the release. */
  private readonly early = new Map<string, Millis>();
  /** Small whole numbers take no memory of their own: 184 bytes per key were measured with full time stamps. */
  private baseMs: Millis | undefined;
  private nowMs = -Infinity;
  private removedAt = -Infinity;
  private bad = 0;

  /** `coveredSince`: all records later than this were folded; undefined: the first record starts it. */
  constructor(
    private readonly windowMs: Millis,
    private coveredSince: Millis | undefined,
  ) {}

  /** Newest time stamp of the log that was folded. */
  getLogTime(): Millis {
    return this.nowMs;
  }

  countKeys(): number {
    return this.claims.size;
  }

  countBadRecords(): number {
    return this.bad;
  }

  /** Folds one record; gives it decoded, or undefined if it is bad. */
  apply(record: LogRecord): KeyRecord | undefined {
    this.nowMs = Math.max(this.nowMs, record.atMs);
    this.coveredSince ??= record.atMs;
    this.baseMs ??= Math.floor(record.atMs);
    if (this.nowMs - this.removedAt >= removePeriodMs) this.removeExpired();
    const decoded = decodeWith(keyRecordCodec, record.value);
    if (E.isLeft(decoded)) {
      this.bad += 1;
      return undefined;
    }
    this.applyRecord(decoded.right, record.offset, this.nowMs);
    return decoded.right;
  }

  /** Decides a claim that was folded. */
  checkClaim(key: string, claim: string, print: string): ClaimDecision {
    if (!this.isCovered()) {
      return {
        kind: 'undecided',
        reason: 'the log does not hold all records of the key window',
      };
    }
    const holder = this.findHolder(key, this.nowMs);
    if (holder?.claim === claim) return {kind: 'granted'};
    return (
      describeHolder(holder, hashPrint(print)) ?? {
        kind: 'undecided',
        reason: 'the claim was released or is too old',
      }
    );
  }

  /** What is known of a key at a time at or after `getTime()`; undefined if it may be free. */
  checkKey(
    key: string,
    print: string,
    atMs: Millis,
  ): ClaimDecision | undefined {
    return this.isCovered()
      ? describeHolder(this.findHolder(key, atMs), hashPrint(print))
      : undefined;
  }

  private isCovered(): boolean {
    return (
      this.coveredSince !== undefined &&
      this.nowMs - this.coveredSince >= this.windowMs
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
    return (this.baseMs ?? 0) + claim.age;
  }

  private applyRecord(record: KeyRecord, offset: number, atMs: Millis): void {
    switch (record.kind) {
      case 'claim':
        if (!this.early.delete(record.claim)) this.addClaim(record, atMs);
        return;
      case 'complete': {
        const claim = this.findClaim(record.key, record.claim);
        // An outcome whose claim was not folded belongs to an expired claim.
        if (claim && claim.outcomeOffset < 0) claim.outcomeOffset = offset;
        return;
      }
      case 'release': {
        const claim = this.findClaim(record.key, record.claim);
        if (!claim) this.early.set(record.claim, atMs);
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
      print: hashPrint(record.print),
      // Rounded up, so that no claim expires early.
      age: Math.ceil(atMs - (this.baseMs ?? 0)),
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
      // Set anew, the key moves behind younger ones, which only delays the removal of its memory.
      this.claims.delete(key);
      if (removed.next) this.claims.set(key, removed.next);
      return;
    }
    let before = first;
    while (before && before.next !== removed) before = before.next;
    if (before) before.next = removed.next;
  }

  private removeExpired(): void {
    this.removedAt = this.nowMs;
    const oldest = this.nowMs - this.windowMs;
    for (const [key, first] of this.claims) {
      if (this.getClaimTime(first) > oldest) break;
      this.removeClaim(key, first);
    }
    for (const [claim, atMs] of this.early) {
      if (atMs > oldest) break;
      this.early.delete(claim);
    }
  }
}

function hashPrint(print: string): number {
  return hashText(print) | 0;
}

function describeHolder(
  holder: KeyClaim | undefined,
  print: number,
): ClaimDecision | undefined {
  if (!holder) return undefined;
  if (holder.print !== print) return {kind: 'mismatch'};
  return holder.outcomeOffset >= 0
    ? {kind: 'answered', offset: holder.outcomeOffset}
    : {kind: 'pending', claim: holder.claim};
}
