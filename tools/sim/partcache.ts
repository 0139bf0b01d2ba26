/**
 * A cache of prompt parts that evicts the least recently put first.
 */

import { PromptBlock } from '../../src/shared/contracts/engine';

/** Parts by hash, the least recently put first. */
export interface PartCache {
  has: (hash: string) => boolean;
  /** Takes a part and evicts until no more than `room` tokens are kept. */
  put: (p: PromptBlock, room: number) => void;
  /** Tokens that are kept of a prompt, from its start to the first part that is missing. */
  tokensOf: (parts: readonly PromptBlock[]) => number;
}

/** Makes an empty cache. */
export function makePartCache(): PartCache {
  const sizes = new Map<string, number>();
  let tokens = 0;

  function has(hash: string): boolean {
    return sizes.has(hash);
  }

  function put(p: PromptBlock, room: number): void {
    if (sizes.delete(p.hash)) tokens -= p.size;
    sizes.set(p.hash, p.size);
    tokens += p.size;
    for (const [hash, size] of sizes) {
      if (tokens <= room) break;
      sizes.delete(hash);
      tokens -= size;
    }
  }

  function tokensOf(parts: readonly PromptBlock[]): number {
    let sum = 0;
    for (const p of parts) {
      if (!sizes.has(p.hash)) break;
      sum += p.size;
    }
    return sum;
  }

  return { has, put, tokensOf };
}
