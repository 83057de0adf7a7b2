/** Limit on the bytes that several holders keep in memory together. */
export class ByteBudget {
  private used = 0;

  constructor(readonly limit: number) {}

  getUsed(): number {
    return this.used;
  }

  /** Whether nothing more fits. */
  isExhausted(): boolean {
    return this.used >= this.limit;
  }

  /** Whether bytes fit; a single claim fits at any size while nothing else is held, and nothing always fits. */
  canClaim(bytes: number): boolean {
    return bytes === 0 || this.used === 0 || this.used + bytes <= this.limit;
  }

  /** Claims bytes if they fit. */
  claim(bytes: number): boolean {
    if (!this.canClaim(bytes)) return false;
    this.used += bytes;
    return true;
  }

  /** Claims as many of the bytes as fit; returns how many. */
  claimUpTo(bytes: number): number {
    const claimed = Math.max(0, Math.min(bytes, this.limit - this.used));
    this.used += claimed;
    return claimed;
  }

  /** Counts bytes that are held already, even beyond the limit. */
  add(bytes: number): void {
    this.used += bytes;
  }

  release(bytes: number): void {
    this.used = Math.max(0, this.used - bytes);
  }
}
