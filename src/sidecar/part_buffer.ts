import {ByteBudget} from '../base/index.js';
import {GuardMessage} from '../mesh/index.js';

/** Bytes of one response that are retained for an entry without flow control; older parts are dropped. */
const maxRetainedBytes = 4 * 1024 * 1024;

interface RetainedPart {
  readonly seq: number;
  readonly bytes: number;
  readonly message: GuardMessage;
}

/** Parts of one response that have not arrived for certain, retained so that they can be sent again over a new link. */
export class PartBuffer {
  private parts: RetainedPart[] = [];
  private bytes = 0;
  private nextSeq = 0;

  /** `budget` counts what all responses of the guard retain. */
  constructor(private readonly budget: ByteBudget) {}

  /** Number of the next part; each call takes one. */
  claimSeq(): number {
    return this.nextSeq++;
  }

  /** Bytes retained. */
  getBytes(): number {
    return this.bytes;
  }

  /** Adds a part with the number that was claimed last. */
  add(message: GuardMessage): void {
    const bytes = countBytes(message);
    this.parts.push({seq: this.nextSeq - 1, bytes, message});
    this.bytes += bytes;
    this.budget.add(bytes);
    while (this.bytes > maxRetainedBytes && this.parts.length > 1) {
      this.removeOldest();
    }
  }

  list(): readonly GuardMessage[] {
    return this.parts.map(({message}) => message);
  }

  /** Drops the parts before a number, which have arrived. */
  confirm(seq: number): void {
    while (this.parts.length > 0 && this.parts[0].seq < seq) {
      this.removeOldest();
    }
  }

  /** Drops all parts but the newest; an entry that then misses parts learns from its number that they are gone. */
  removeAllButNewest(): void {
    while (this.parts.length > 1) this.removeOldest();
  }

  reset(): void {
    while (this.parts.length > 0) this.removeOldest();
  }

  private removeOldest(): void {
    const bytes = this.parts.shift()?.bytes ?? 0;
    this.bytes -= bytes;
    this.budget.release(bytes);
  }
}

function countBytes(part: GuardMessage): number {
  switch (part.kind) {
    case 'chunk':
      return part.bytes.length;
    case 'head':
      return part.headers.reduce((sum, text) => sum + text.length, 0);
    default:
      return 0;
  }
}
