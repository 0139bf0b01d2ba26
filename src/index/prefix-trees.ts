/**
 * Prefix trees: which blocks of prompts each source has cached. There is a tree for each model and cache salt, so that
 * prefixes of tenants that are isolated from each other never match (`docs/paper.md`); weights are kept apart inside.
 */

import { BlockEvent, PromptBlock } from '../shared/contracts/engine';
import { WireBlock } from '../shared/contracts/indexer';
import { BlockNode, BlockStore, Holding, PrefixTree } from './block-store';

/** What one source has of a prompt from its first block on. The field names are sent. */
export interface Overlap {
  source: string;
  /** Tokens that are cached without doubt. */
  tokens: number;
  /** Tokens of blocks that may be gone. */
  doubted: number;
  /** How many blocks that is. */
  parts: number;
}

/** One row of a compact dump; `source` is an index into the dump's sources. */
export type Row = [
  hash: string,
  parent: string,
  size: number,
  source: number,
  weights: string,
  kept: number,
  doubted: boolean,
];

/** The trees as rows. The field names are sent. */
export interface Rows {
  sources: string[];
  trees: [model: string, salt: string, rows: Row[]][];
}

/** The trees of all models and salts. */
export interface PrefixTrees {
  /** Applies an event of a source. */
  apply: (source: string, event: BlockEvent) => void;
  /** Forgets all that a source holds; gives how many holdings that were. */
  dropSource: (source: string) => number;
  /** Marks all that a source holds as doubted; gives how many blocks that is. */
  markDoubted: (source: string) => number;
  /** Takes from an engine's answer that it reused the first `count` blocks of a prompt and not the one after them. */
  applyReuse: (
    source: string,
    model: string,
    salt: string,
    weights: string,
    parts: readonly PromptBlock[],
    count: number,
  ) => { confirmed: number; dropped: number };
  /** What each source has of a prompt under some weights. The blocks that match are marked as used. */
  query: (model: string, salt: string, weights: string, parts: readonly PromptBlock[]) => Overlap[];
  /** All holdings as events, or those of one source. */
  dump: (source?: string) => { source: string; event: BlockEvent }[];
  /** The tokens that each source has cached of one block. */
  holders: (
    model: string,
    salt: string,
    hash: string,
  ) => { source: string; kept: number }[] | undefined;
  /** Takes parents and sizes of blocks from a prompt that names them in order, and marks them as used. */
  learnPrompt: (model: string, salt: string, blocks: readonly WireBlock[]) => void;
  /** The trees, or what one source holds of them, as rows. */
  rows: (source?: string) => Rows;
  /** Takes rows over, of the sources that are wanted. */
  loadRows: (rows: Rows, isWanted: (source: string) => boolean) => void;
  /** Makes what a source holds equal to a list; gives how many holdings that changed. */
  replace: (source: string, held: readonly BlockEvent[]) => number;
  size: () => number;
  /** How many blocks a source holds. */
  blockCount: (source: string) => number;
  evicted: () => number;
}

/** Makes empty trees; past `maxBlocks` the least recently used leaves go first. */
export function makePrefixTrees(maxBlocks: number): PrefixTrees {
  const blocks = new BlockStore(maxBlocks);
  const trees = new StoredPrefixTrees(blocks);
  return {
    apply: trees.apply.bind(trees),
    dropSource: trees.dropSource.bind(trees),
    markDoubted: trees.markDoubted.bind(trees),
    applyReuse: trees.applyReuse.bind(trees),
    query: trees.query.bind(trees),
    dump: trees.dump.bind(trees),
    holders: trees.holders.bind(trees),
    learnPrompt: trees.learnPrompt.bind(trees),
    rows: trees.rows.bind(trees),
    loadRows: trees.loadRows.bind(trees),
    replace: trees.replace.bind(trees),
    size: blocks.size.bind(blocks),
    blockCount: trees.blockCount.bind(trees),
    evicted: blocks.evicted.bind(blocks),
  };
}

function eventOf({ tree, parent, hash, size }: BlockNode, weights: string): BlockEvent {
  const { model, salt } = tree;
  return { kind: 'stored', model, salt, weights, parent, hash, size };
}

/** Adds a block to what a source has of a prompt. */
function addToOverlap(overlap: Overlap, { size }: BlockNode, { doubted }: Holding): void {
  if (doubted) overlap.doubted += size;
  else overlap.tokens += size;
  overlap.parts++;
}

/** The trees over a store of blocks. */
class StoredPrefixTrees {
  constructor(private readonly blocks: BlockStore) {}

  apply(source: string, event: BlockEvent): void {
    const { kind, model, salt, hash, weights } = event;
    switch (kind) {
      case 'stored':
        this.blocks.store(source, event);
        return;
      case 'cleared':
        this.dropSource(source);
        return;
      case 'removed': {
        const node = this.blocks.block(model, salt, hash);
        if (node) this.blocks.release(source, weights, node);
      }
    }
  }

  dropSource(source: string): number {
    let count = 0;
    for (const node of [...this.blocks.heldBy(source)]) count += this.releaseAll(source, node);
    return count;
  }

  markDoubted(source: string): number {
    const held = this.blocks.heldBy(source);
    for (const { holdings } of held)
      for (const holding of holdings) if (holding.source === source) holding.doubted = true;
    return held.size;
  }

  applyReuse(
    source: string,
    model: string,
    salt: string,
    weights: string,
    parts: readonly PromptBlock[],
    count: number,
  ): { confirmed: number; dropped: number } {
    const { blocks } = this;
    let parent = model;
    let dropped = 0;
    for (const [i, { hash, size }] of parts.entries()) {
      const node = blocks.block(model, salt, hash);
      if (i < count) {
        blocks.store(source, { kind: 'stored', model, salt, weights, parent, hash, size });
      } else if (i === count && node && blocks.find(node, source, weights)?.doubted) {
        blocks.release(source, weights, node);
        dropped++;
      }
      parent = hash;
    }
    return { confirmed: Math.min(count, parts.length), dropped };
  }

  query(model: string, salt: string, weights: string, parts: readonly PromptBlock[]): Overlap[] {
    const tree = this.blocks.tree(model, salt);
    if (!tree) return [];
    const overlaps = new Map<string, Overlap>();
    const matched: BlockNode[] = [];
    let reaching: Set<string> | undefined;
    for (const { hash } of parts) {
      const node = tree.nodes.get(hash);
      if (!node) break;
      reaching = this.matchBlock(node, weights, reaching, overlaps);
      if (reaching.size === 0) break;
      matched.push(node);
    }
    // The first block is touched last: a prefix is never evicted before what follows it.
    for (const node of matched.reverse()) this.blocks.touch(node);
    return [...overlaps.values()];
  }

  dump(source?: string): { source: string; event: BlockEvent }[] {
    const events: { source: string; event: BlockEvent }[] = [];
    for (const node of this.blocks.all())
      for (const holding of node.holdings)
        if (source === undefined || holding.source === source)
          events.push({ source: holding.source, event: eventOf(node, holding.weights) });
    return events;
  }

  holders(
    model: string,
    salt: string,
    hash: string,
  ): { source: string; kept: number }[] | undefined {
    return this.blocks.block(model, salt, hash)?.holdings;
  }

  learnPrompt(model: string, salt: string, prompt: readonly WireBlock[]): void {
    const tree = this.blocks.tree(model, salt);
    if (!tree) return;
    for (let i = prompt.length - 1; i >= 0; i--) {
      const [hash, size] = prompt[i];
      const node = tree.nodes.get(hash);
      if (!node) continue;
      node.size = Math.max(node.size, size);
      if (node.parent === '') this.blocks.setParent(node, i === 0 ? model : prompt[i - 1][0]);
      this.blocks.touch(node);
    }
  }

  rows(source?: string): Rows {
    const sourceIndexes = new Map<string, number>();
    const rowsByTree = new Map<PrefixTree, Row[]>();
    for (const node of this.blocks.all()) {
      for (const holding of node.holdings) {
        if (source !== undefined && holding.source !== source) continue;
        if (!sourceIndexes.has(holding.source))
          sourceIndexes.set(holding.source, sourceIndexes.size);
        const rows = rowsByTree.get(node.tree) ?? [];
        rowsByTree.set(node.tree, rows);
        const { hash, parent, size } = node;
        const { weights, kept, doubted } = holding;
        const index = sourceIndexes.get(holding.source)!;
        rows.push([hash, parent, size, index, weights, kept, doubted]);
      }
    }
    const all: Rows = { sources: [...sourceIndexes.keys()], trees: [] };
    for (const [{ model, salt }, rows] of rowsByTree) all.trees.push([model, salt, rows]);
    return all;
  }

  loadRows({ sources, trees }: Rows, isWanted: (source: string) => boolean): void {
    for (const [model, salt, rows] of trees)
      for (const row of rows) {
        const source = sources[row[3]];
        if (isWanted(source)) this.loadRow(source, model, salt, row);
      }
  }

  replace(source: string, list: readonly BlockEvent[]): number {
    const listed = new Set<BlockNode>();
    let changed = 0;
    for (const event of list) {
      const known = this.blocks.block(event.model, event.salt, event.hash);
      const holding = known && this.blocks.find(known, source, event.weights);
      if (holding?.kept !== event.size) changed++;
      listed.add(this.blocks.store(source, event));
    }
    for (const node of [...this.blocks.heldBy(source)]) {
      if (listed.has(node)) continue;
      this.releaseAll(source, node);
      changed++;
    }
    return changed;
  }

  blockCount(source: string): number {
    return this.blocks.heldBy(source).size;
  }

  /** Adds a block to what the sources that have all blocks before it have; gives those that have this one, too. */
  private matchBlock(
    node: BlockNode,
    weights: string,
    reaching: ReadonlySet<string> | undefined,
    overlaps: Map<string, Overlap>,
  ): Set<string> {
    const next = new Set<string>();
    for (const holding of node.holdings) {
      const { source } = holding;
      if (holding.weights !== weights || (reaching && !reaching.has(source))) continue;
      next.add(source);
      const overlap = overlaps.get(source) ?? { source, tokens: 0, doubted: 0, parts: 0 };
      addToOverlap(overlap, node, holding);
      overlaps.set(source, overlap);
    }
    return next;
  }

  /** Releases a block at a source under all weights; gives how many holdings that were. */
  private releaseAll(source: string, node: BlockNode): number {
    let count = 0;
    for (const holding of [...node.holdings]) {
      if (holding.source !== source) continue;
      this.blocks.release(source, holding.weights, node);
      count++;
    }
    return count;
  }

  private loadRow(source: string, model: string, salt: string, row: Row): void {
    const [hash, parent, size, , weights, kept, doubted] = row;
    const event: BlockEvent = { kind: 'stored', model, salt, weights, parent, hash, size: kept };
    const node = this.blocks.store(source, event);
    node.size = Math.max(node.size, size);
    this.blocks.find(node, source, weights)!.doubted = doubted;
  }
}
