/** Size of what a list of parts holds together. */
export function countBytes(parts: readonly Uint8Array[]): number {
  return parts.reduce((sum, part) => sum + part.length, 0);
}
