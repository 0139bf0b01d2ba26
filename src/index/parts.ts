/**
 * The parts that an index knows and who holds them; past its size the least recently used leaves go first.
 */

import { BlockEvent } from '../shared/contracts/engine';

/** What one source holds of one part, under one version of the weights. */
export interface Holding {
  source: string;
  weights: string;
  /** Tokens that are kept of the part. */
  kept: number;
  doubted: boolean;
}

/** One part, with everyone who holds it. */
export interface PartNode {
  hash: string;
  parent: string;
  size: number;
  kids: number;
  holdings: Holding[];
  tree: PartTree;
}

/** The parts of one model under one salt. */
export interface PartTree {
  model: string;
  salt: string;
  nodes: Map<string, PartNode>;
  orphans: Map<string, number>;
}

/** Parts and their holdings, in order of use. */
export interface PartStore {
  tree: (model: string, salt: string) => PartTree | undefined;
  part: (model: string, salt: string, hash: string) => PartNode | undefined;
  /** All parts, the least recently used first. */
  all: () => IterableIterator<PartNode>;
  /** The parts that a source holds. */
  heldBy: (source: string) => ReadonlySet<PartNode>;
  find: (n: PartNode, source: string, weights: string) => Holding | undefined;
  /** Notes that a source holds a part. */
  store: (source: string, e: BlockEvent) => PartNode;
  /** Notes that a source holds a part no longer. */
  release: (source: string, weights: string, n: PartNode) => void;
  touch: (n: PartNode) => void;
  /** Moves a part below another parent. */
  setParent: (n: PartNode, parent: string) => void;
  size: () => number;
  evicted: () => number;
}

const NO_PARTS: ReadonlySet<PartNode> = new Set();

/** Makes a store of at most this many parts. */
export function makePartStore(most: number): PartStore {
  const trees = new Map<string, PartTree>();
  const recent = new Map<PartNode, true>();
  const held = new Map<string, Set<PartNode>>();
  let evictedCount = 0;

  function treeOf(model: string, salt: string): PartTree {
    const k = JSON.stringify([model, salt]);
    const t = trees.get(k) ?? {
      model,
      salt,
      nodes: new Map<string, PartNode>(),
      orphans: new Map<string, number>(),
    };
    trees.set(k, t);
    return t;
  }

  function touch(n: PartNode): void {
    recent.delete(n);
    recent.set(n, true);
  }

  /** Counts a part's kids, also while the part itself is not held. */
  function addKids(t: PartTree, parent: string, more: number): void {
    const n = t.nodes.get(parent);
    if (n) {
      n.kids += more;
      return;
    }
    const kids = (t.orphans.get(parent) ?? 0) + more;
    if (kids > 0) t.orphans.set(parent, kids);
    else t.orphans.delete(parent);
  }

  function remove(n: PartNode): void {
    n.tree.nodes.delete(n.hash);
    recent.delete(n);
    addKids(n.tree, n.parent, -1);
    if (n.kids > 0) n.tree.orphans.set(n.hash, n.kids);
    for (const h of n.holdings) held.get(h.source)?.delete(n);
    if (n.tree.nodes.size === 0) trees.delete(JSON.stringify([n.tree.model, n.tree.salt]));
  }

  function find(n: PartNode, source: string, weights: string): Holding | undefined {
    for (const h of n.holdings) if (h.source === source && h.weights === weights) return h;
    return undefined;
  }

  function store(source: string, e: BlockEvent): PartNode {
    const t = treeOf(e.model, e.salt);
    let n = t.nodes.get(e.hash);
    if (!n) {
      n = {
        hash: e.hash,
        parent: e.parent,
        size: e.size,
        kids: t.orphans.get(e.hash) ?? 0,
        holdings: [],
        tree: t,
      };
      t.orphans.delete(e.hash);
      t.nodes.set(e.hash, n);
      addKids(t, e.parent, 1);
    }
    const have = find(n, source, e.weights);
    n.size = Math.max(n.size, e.size);
    if (have) {
      have.doubted = false;
      have.kept = e.size;
    } else {
      n.holdings.push({ source, weights: e.weights, kept: e.size, doubted: false });
    }
    const h = held.get(source) ?? new Set<PartNode>();
    h.add(n);
    held.set(source, h);
    touch(n);
    if (recent.size > most) evict();
    return n;
  }

  function evict(): void {
    for (const n of recent.keys()) {
      if (n.kids > 0) continue;
      remove(n);
      evictedCount++;
      if (recent.size <= most) return;
    }
    for (const n of recent.keys()) {
      if (recent.size <= most) return;
      remove(n);
      evictedCount++;
    }
  }

  function release(source: string, weights: string, n: PartNode): void {
    const have = find(n, source, weights);
    if (have) n.holdings.splice(n.holdings.indexOf(have), 1);
    if (!n.holdings.some(bySource)) held.get(source)?.delete(n);
    if (n.holdings.length === 0) remove(n);
    function bySource(h: Holding): boolean {
      return h.source === source;
    }
  }

  function tree(model: string, salt: string): PartTree | undefined {
    return trees.get(JSON.stringify([model, salt]));
  }

  function part(model: string, salt: string, hash: string): PartNode | undefined {
    return tree(model, salt)?.nodes.get(hash);
  }

  function all(): IterableIterator<PartNode> {
    return recent.keys();
  }

  function heldBy(source: string): ReadonlySet<PartNode> {
    return held.get(source) ?? NO_PARTS;
  }

  function setParent(n: PartNode, parent: string): void {
    addKids(n.tree, n.parent, -1);
    n.parent = parent;
    addKids(n.tree, n.parent, 1);
  }

  function size(): number {
    return recent.size;
  }

  function evicted(): number {
    return evictedCount;
  }

  return {
    tree,
    part,
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
