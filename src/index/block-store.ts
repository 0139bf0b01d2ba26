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

/** Blocks and their holdings, in order of use. */
export interface BlockStore {
  tree: (model: string, salt: string) => PrefixTree | undefined;
  block: (model: string, salt: string, hash: string) => BlockNode | undefined;
  /** All blocks, the least recently used first. */
  all: () => IterableIterator<BlockNode>;
  /** The blocks that a source holds. */
  heldBy: (source: string) => ReadonlySet<BlockNode>;
  find: (node: BlockNode, source: string, weights: string) => Holding | undefined;
  /** Notes that a source holds a block. */
  store: (source: string, event: BlockEvent) => BlockNode;
  /** Notes that a source holds a block no longer. */
  release: (source: string, weights: string, node: BlockNode) => void;
  /** Marks a block as used just now. */
  touch: (node: BlockNode) => void;
  /** Moves a block below another parent. */
  setParent: (node: BlockNode, parent: string) => void;
  size: () => number;
  /** How many blocks were evicted so far. */
  evicted: () => number;
}

const NO_BLOCKS: ReadonlySet<BlockNode> = new Set();

function treeKey(model: string, salt: string): string {
  return JSON.stringify([model, salt]);
}

/** Makes an empty store of at most this many blocks. */
export function makeBlockStore(maxBlocks: number): BlockStore {
  const trees = new Map<string, PrefixTree>();
  /** All blocks, in order of use. */
  const byUse = new Map<BlockNode, true>();
  const bySource = new Map<string, Set<BlockNode>>();
  let evictedCount = 0;

  function ensureTree(model: string, salt: string): PrefixTree {
    const key = treeKey(model, salt);
    const tree = trees.get(key) ?? {
      model,
      salt,
      nodes: new Map<string, BlockNode>(),
      childCountsOfMissing: new Map<string, number>(),
    };
    trees.set(key, tree);
    return tree;
  }

  function touch(node: BlockNode): void {
    byUse.delete(node);
    byUse.set(node, true);
  }

  /** Counts a block's children, also while the block itself is not held. */
  function addChildren(tree: PrefixTree, parent: string, more: number): void {
    const node = tree.nodes.get(parent);
    if (node) {
      node.childCount += more;
      return;
    }
    const count = (tree.childCountsOfMissing.get(parent) ?? 0) + more;
    if (count > 0) tree.childCountsOfMissing.set(parent, count);
    else tree.childCountsOfMissing.delete(parent);
  }

  function remove(node: BlockNode): void {
    const { tree } = node;
    tree.nodes.delete(node.hash);
    byUse.delete(node);
    addChildren(tree, node.parent, -1);
    if (node.childCount > 0) tree.childCountsOfMissing.set(node.hash, node.childCount);
    for (const { source } of node.holdings) bySource.get(source)?.delete(node);
    if (tree.nodes.size === 0) trees.delete(treeKey(tree.model, tree.salt));
  }

  function find(node: BlockNode, source: string, weights: string): Holding | undefined {
    for (const holding of node.holdings)
      if (holding.source === source && holding.weights === weights) return holding;
    return undefined;
  }

  function ensureNode({ model, salt, hash, parent, size }: BlockEvent): BlockNode {
    const tree = ensureTree(model, salt);
    const known = tree.nodes.get(hash);
    if (known) return known;
    const childCount = tree.childCountsOfMissing.get(hash) ?? 0;
    const node: BlockNode = { hash, parent, size, childCount, holdings: [], tree };
    tree.childCountsOfMissing.delete(hash);
    tree.nodes.set(hash, node);
    addChildren(tree, parent, 1);
    return node;
  }

  function setHolding(node: BlockNode, source: string, { weights, size }: BlockEvent): void {
    const known = find(node, source, weights);
    if (known) {
      known.doubted = false;
      known.kept = size;
    } else {
      node.holdings.push({ source, weights, kept: size, doubted: false });
    }
  }

  function store(source: string, event: BlockEvent): BlockNode {
    const node = ensureNode(event);
    node.size = Math.max(node.size, event.size);
    setHolding(node, source, event);
    const held = bySource.get(source) ?? new Set<BlockNode>();
    held.add(node);
    bySource.set(source, held);
    touch(node);
    if (byUse.size > maxBlocks) evict();
    return node;
  }

  /** Evicts leaves, the least recently used first; where that is not enough, any blocks. */
  function evict(): void {
    for (const node of byUse.keys()) {
      if (node.childCount > 0) continue;
      remove(node);
      evictedCount++;
      if (byUse.size <= maxBlocks) return;
    }
    for (const node of byUse.keys()) {
      if (byUse.size <= maxBlocks) return;
      remove(node);
      evictedCount++;
    }
  }

  function release(source: string, weights: string, node: BlockNode): void {
    function isOfSource(holding: Holding): boolean {
      return holding.source === source;
    }
    const holding = find(node, source, weights);
    if (holding) node.holdings.splice(node.holdings.indexOf(holding), 1);
    if (!node.holdings.some(isOfSource)) bySource.get(source)?.delete(node);
    if (node.holdings.length === 0) remove(node);
  }

  function tree(model: string, salt: string): PrefixTree | undefined {
    return trees.get(treeKey(model, salt));
  }

  function block(model: string, salt: string, hash: string): BlockNode | undefined {
    return tree(model, salt)?.nodes.get(hash);
  }

  function all(): IterableIterator<BlockNode> {
    return byUse.keys();
  }

  function heldBy(source: string): ReadonlySet<BlockNode> {
    return bySource.get(source) ?? NO_BLOCKS;
  }

  function setParent(node: BlockNode, parent: string): void {
    addChildren(node.tree, node.parent, -1);
    node.parent = parent;
    addChildren(node.tree, node.parent, 1);
  }

  function size(): number {
    return byUse.size;
  }

  function evicted(): number {
    return evictedCount;
  }

  return {
    tree,
    block,
    all,
    heldBy,
    find,
    store,
    release,
    touch,
    setParent,
    size,
    evicted,
  };
}
