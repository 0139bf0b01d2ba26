/**
 * The blocks that an index knows and which sources hold them; past its size the least recently used leaves go first.
 */

import { BlockEvent } from '../shared/contracts/engine';

/** What one source holds of one block, under one version of the weights. */
export interface Holding {
  source: string;
  weights: string;
  /** Tokens of the block that are cached. */
  kept: number;
  /** Whether events were lost since it was told of, so that it may be gone. */
  doubted: boolean;
}

/** One block of prompts, with everyone who holds it. */
export interface BlockNode {
  hash: string;
  /** The hash of the block before it; the model's name at the first block, empty where it is not known. */
  parent: string;
  /** Tokens of the block. */
  size: number;
  childCount: number;
  holdings: Holding[];
  tree: PrefixTree;
}

/** The blocks of one model under one cache salt. */
export interface PrefixTree {
  model: string;
  salt: string;
  nodes: Map<string, BlockNode>;
  /** How many children there are of blocks that are not held themselves. */
  childCountsOfMissing: Map<string, number>;
}

const NO_BLOCKS: ReadonlySet<BlockNode> = new Set();

function treeKey(model: string, salt: string): string {
  return JSON.stringify([model, salt]);
}

/** Blocks and their holdings, in order of use; empty at first. */
export class BlockStore {
  private readonly trees = new Map<string, PrefixTree>();
  /** All blocks, in order of use. */
  private readonly byUse = new Map<BlockNode, true>();
  private readonly bySource = new Map<string, Set<BlockNode>>();
  private evictedCount = 0;

  /** Keeps at most `maxBlocks`. */
  constructor(private readonly maxBlocks: number) {}

  private ensureTree(model: string, salt: string): PrefixTree {
    const key = treeKey(model, salt);
    const tree = this.trees.get(key) ?? {
      model,
      salt,
      nodes: new Map<string, BlockNode>(),
      childCountsOfMissing: new Map<string, number>(),
    };
    this.trees.set(key, tree);
    return tree;
  }

  /** Marks a block as used just now. */
  touch(node: BlockNode): void {
    this.byUse.delete(node);
    this.byUse.set(node, true);
  }

  /** Counts a block's children, also while the block itself is not held. */
  private addChildren(tree: PrefixTree, parent: string, more: number): void {
    const node = tree.nodes.get(parent);
    if (node) {
      node.childCount += more;
      return;
    }
    const count = (tree.childCountsOfMissing.get(parent) ?? 0) + more;
    if (count > 0) tree.childCountsOfMissing.set(parent, count);
    else tree.childCountsOfMissing.delete(parent);
  }

  private remove(node: BlockNode): void {
    const { tree } = node;
    tree.nodes.delete(node.hash);
    this.byUse.delete(node);
    this.addChildren(tree, node.parent, -1);
    if (node.childCount > 0) tree.childCountsOfMissing.set(node.hash, node.childCount);
    for (const { source } of node.holdings) this.bySource.get(source)?.delete(node);
    if (tree.nodes.size === 0) this.trees.delete(treeKey(tree.model, tree.salt));
  }

  /** What a source holds of a block under some weights. */
  find(node: BlockNode, source: string, weights: string): Holding | undefined {
    for (const holding of node.holdings)
      if (holding.source === source && holding.weights === weights) return holding;
    return undefined;
  }

  private ensureNode({ model, salt, hash, parent, size }: BlockEvent): BlockNode {
    const tree = this.ensureTree(model, salt);
    const known = tree.nodes.get(hash);
    if (known) return known;
    const childCount = tree.childCountsOfMissing.get(hash) ?? 0;
    const node: BlockNode = { hash, parent, size, childCount, holdings: [], tree };
    tree.childCountsOfMissing.delete(hash);
    tree.nodes.set(hash, node);
    this.addChildren(tree, parent, 1);
    return node;
  }

  private setHolding(node: BlockNode, source: string, { weights, size }: BlockEvent): void {
    const known = this.find(node, source, weights);
    if (known) {
      known.doubted = false;
      known.kept = size;
    } else {
      node.holdings.push({ source, weights, kept: size, doubted: false });
    }
  }

  /** Notes that a source holds a block. */
  store(source: string, event: BlockEvent): BlockNode {
    const node = this.ensureNode(event);
    node.size = Math.max(node.size, event.size);
    this.setHolding(node, source, event);
    const held = this.bySource.get(source) ?? new Set<BlockNode>();
    held.add(node);
    this.bySource.set(source, held);
    this.touch(node);
    if (this.byUse.size > this.maxBlocks) this.evict();
    return node;
  }

  /** Evicts leaves, the least recently used first; where that is not enough, any blocks. */
  private evict(): void {
    for (const node of this.byUse.keys()) {
      if (node.childCount > 0) continue;
      this.remove(node);
      this.evictedCount++;
      if (this.byUse.size <= this.maxBlocks) return;
    }
    for (const node of this.byUse.keys()) {
      if (this.byUse.size <= this.maxBlocks) return;
      this.remove(node);
      this.evictedCount++;
    }
  }

  /** Notes that a source holds a block no longer. */
  release(source: string, weights: string, node: BlockNode): void {
    function isOfSource(holding: Holding): boolean {
      return holding.source === source;
    }
    const holding = this.find(node, source, weights);
    if (holding) node.holdings.splice(node.holdings.indexOf(holding), 1);
    if (!node.holdings.some(isOfSource)) this.bySource.get(source)?.delete(node);
    if (node.holdings.length === 0) this.remove(node);
  }

  /** The blocks of a model under a cache salt. */
  tree(model: string, salt: string): PrefixTree | undefined {
    return this.trees.get(treeKey(model, salt));
  }

  /** A block by its hash. */
  block(model: string, salt: string, hash: string): BlockNode | undefined {
    return this.tree(model, salt)?.nodes.get(hash);
  }

  /** All blocks, the least recently used first. */
  all(): IterableIterator<BlockNode> {
    return this.byUse.keys();
  }

  /** The blocks that a source holds. */
  heldBy(source: string): ReadonlySet<BlockNode> {
    return this.bySource.get(source) ?? NO_BLOCKS;
  }

  /** Moves a block below another parent. */
  setParent(node: BlockNode, parent: string): void {
    this.addChildren(node.tree, node.parent, -1);
    node.parent = parent;
    this.addChildren(node.tree, node.parent, 1);
  }

  /** How many blocks there are. */
  size(): number {
    return this.byUse.size;
  }

  /** How many blocks were evicted so far. */
  evicted(): number {
    return this.evictedCount;
  }
}
