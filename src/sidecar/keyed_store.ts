import {Millis} from '../base/index.js';

/** Record of a key, which replaces earlier ones; an empty value marks a deleted key. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Buffer;
}

/** Records from an offset on, and the offset that follows them. */
export interface KeyedPage {
  readonly records: readonly KeyedRecord[];
  readonly end: number;
  /** Number of records skipped because they could not be decoded. */
  readonly malformed: number;
}

/** Stores state that must outlive the nodes. Calls fail with LogUnavailableError; a failed put may have taken effect. */
export interface KeyedStore {
  /** Reads the newest record of each key, and the offset from which to follow. */
  listNewest(
    topic: string,
    signal?: AbortSignal,
  ): Promise<{readonly records: readonly KeyedRecord[]; readonly end: number}>;
  /** Waits for records from an offset on; returns undefined if the offset is no longer retained. */
  follow(
    topic: string,
    from: number,
    waitMs: Millis,
    signal?: AbortSignal,
  ): Promise<KeyedPage | undefined>;
  put(topic: string, key: string, value: Buffer): Promise<void>;
}
