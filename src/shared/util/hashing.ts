/**
 * Hashes of text and bytes, and rendezvous hashing.
 */

import { createHash } from 'node:crypto';

/** A short hash of text in hex. */
export function shortHash(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, 16);
}

/** A short hash of bytes in hex. */
export function shortHashOfBytes(bytes: Uint8Array): string {
  return createHash('sha256').update(bytes).digest('hex').slice(0, 16);
}

/** A whole hash of text in hex. */
export function sha256Hex(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Sorts names by rendezvous hash for a key: the first is the pick. */
export function rankByRendezvousHash(key: string, names: readonly string[]): string[] {
  const scored = names.map(score);
  function score(name: string): { name: string; s: string } {
    return { name, s: shortHash(`${key}\n${name}`) };
  }
  function byScore(a: { s: string }, b: { s: string }): number {
    return a.s < b.s ? 1 : -1;
  }
  function name(x: { name: string }): string {
    return x.name;
  }
  return scored.sort(byScore).map(name);
}
