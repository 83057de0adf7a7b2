import {Millis} from '../base/index.js';

/** Record of a key, which replaces earlier ones; an empty value marks a deleted key. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Buffer;
}

/**
 * Grows each time the store comes back from an older copy, without what was written since: offsets are then given out
 * again, and acknowledged records are gone. -1 if the store does not say.
 */
export type StoreEpoch = number;

/** Newest record of each key, and the offset from which to follow. */
export interface KeyedListing {
  readonly records: readonly KeyedRecord[];
  readonly end: number;
  readonly epoch: StoreEpoch;
}

/** Records from an offset on, and the offset that follows them. */
export interface KeyedPage {
  readonly epoch: StoreEpoch;
  readonly records: readonly KeyedRecord[];
  readonly end: number;
  /** Number of records skipped because they could not be decoded. */
  readonly malformed: number;
}

/** Stores state that must outlive the nodes. Calls fail with LogUnavailableError; a failed put may have taken effect. */
export interface KeyedStore {
  /** Reads the newest record of each key, all in the same epoch. */
  listNewest(topic: string, signal?: AbortSignal): Promise<KeyedListing>;
  /** Waits for records from an offset on; returns undefined if the offset is no longer retained. */
  follow(
    topic: string,
    from: number,
    waitMs: Millis,
    signal?: AbortSignal,
  ): Promise<KeyedPage | undefined>;
  /** Writes a record; returns the epoch in which it was acknowledged. */
  put(topic: string, key: string, value: Buffer): Promise<StoreEpoch>;
}
