/**
 * How much of a prompt's prefix each source has cached, and what is expected there beyond that.
 */

import { OverlapReply, OverlapRequest, WireBlock } from '../shared/contracts/indexer';
import { ExpectedBlocks } from './expected-blocks';
import { PrefixTrees } from './prefix-trees';

/** What one source has of the prompt so far, in tokens. */
interface SourceOverlap {
  cached: number;
  expected: number;
  /** Whether all blocks so far are cached in full. */
  isComplete: boolean;
}

/** Walks a prompt block by block and keeps the sources that have, or will have, every block so far. */
class PrefixWalk {
  readonly overlaps = new Map<string, SourceOverlap>();
  private reaching: Set<string> | undefined;

  constructor(
    private readonly trees: PrefixTrees,
    private readonly expectedBlocks: ExpectedBlocks,
    private readonly request: OverlapRequest,
  ) {}

  /** Goes on to the next block; false where no source has it. */
  advance([hash, size]: WireBlock): boolean {
    const { model, salt } = this.request;
    const next = new Set<string>();
    const expecting = this.expectedBlocks.sourcesExpecting(model, salt, hash);
    for (const { source, kept } of this.trees.holders(model, salt, hash) ?? [])
      this.addSource(next, source, Math.min(kept, size), size, expecting);
    for (const source of expecting?.keys() ?? [])
      if (!next.has(source)) this.addSource(next, source, 0, size, expecting);
    if (next.size === 0) return false;
    this.reaching = next;
    return true;
  }

  private addSource(
    next: Set<string>,
    source: string,
    cachedTokens: number,
    size: number,
    expecting: ReadonlyMap<string, unknown> | undefined,
  ): void {
    if (this.reaching && !this.reaching.has(source)) return;
    const overlap = this.overlapOf(source);
    const isWhole = cachedTokens === size;
    if (overlap.isComplete) overlap.cached += cachedTokens;
    else if (isWhole) overlap.expected += size;
    if (isWhole) {
      next.add(source);
      return;
    }
    if (!expecting?.has(source)) return;
    overlap.expected += overlap.isComplete ? size - cachedTokens : size;
    overlap.isComplete = false;
    next.add(source);
  }

  private overlapOf(source: string): SourceOverlap {
    const overlap = this.overlaps.get(source) ?? { cached: 0, expected: 0, isComplete: true };
    this.overlaps.set(source, overlap);
    return overlap;
  }
}

/** What each reachable source has cached of a prompt from its first block on, and what is expected there beyond that. The prompt's blocks are marked as used. */
export function computeOverlap(
  trees: PrefixTrees,
  expectedBlocks: ExpectedBlocks,
  request: OverlapRequest,
  isReachable: (source: string) => boolean = always,
): OverlapReply {
  const walk = new PrefixWalk(trees, expectedBlocks, request);
  for (const block of request.parts) if (!walk.advance(block)) break;
  trees.learnPrompt(request.model, request.salt, request.parts);
  const reply: OverlapReply = [];
  for (const [source, { cached, expected }] of walk.overlaps)
    if ((cached > 0 || expected > 0) && isReachable(source)) reply.push([source, cached, expected]);
  return reply;
}

function always(): boolean {
  return true;
}
