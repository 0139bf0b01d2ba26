import { Part, PartEvent } from '../shared/contracts/engine';

interface Node {
  hash: string;
  parent: string;
  size: number;
  kids: Set<Node>;
  holders: Map<string, Set<string>>;
  doubts: Set<string>;
  tree: Tree;
}

interface Tree {
  model: string;
  salt: string;
  nodes: Map<string, Node>;
  orphans: Map<string, Set<Node>>;
}

/** What one source holds of a prompt. */
export interface Overlap {
  source: string;
  tokens: number;
  doubted: number;
  parts: number;
}

/** The trees of all (model, salt) pairs; weights are kept apart inside. */
export interface Trees {
  apply(source: string, e: PartEvent): void;
  dropSource(source: string): number;
  doubt(source: string): number;
  doubted(source: string): number;
  reused(source: string, model: string, salt: string, weights: string, parts: readonly Part[], count: number): { confirmed: number; dropped: number };
  query(model: string, salt: string, weights: string, parts: readonly Part[]): Overlap[];
  dump(source?: string): { source: string; event: PartEvent }[];
  size(): number;
  holding(source: string): number;
  evicted(): number;
}

/** Makes the trees; past `most` parts the least recently used leaves go first. */
export function makeTrees(most: number): Trees {
  const trees = new Map<string, Tree>();
  const recent = new Map<Node, true>();
  const held = new Map<string, Set<Node>>();
  let evictedCount = 0;

  function treeOf(model: string, salt: string): Tree {
    const k = JSON.stringify([model, salt]);
    const t = trees.get(k) ?? { model, salt, nodes: new Map<string, Node>(), orphans: new Map<string, Set<Node>>() };
    trees.set(k, t);
    return t;
  }

  function touch(n: Node): void {
    recent.delete(n);
    recent.set(n, true);
  }

  function kidsOf(t: Tree, parent: string): Set<Node> {
    const known = t.nodes.get(parent)?.kids ?? t.orphans.get(parent);
    if (known) return known;
    const fresh = new Set<Node>();
    t.orphans.set(parent, fresh);
    return fresh;
  }

  function remove(n: Node): void {
    n.tree.nodes.delete(n.hash);
    recent.delete(n);
    const beside = kidsOf(n.tree, n.parent);
    beside.delete(n);
    if (beside.size === 0) n.tree.orphans.delete(n.parent);
    if (n.kids.size > 0) n.tree.orphans.set(n.hash, n.kids);
    for (const set of n.holders.values()) for (const s of set) held.get(s)?.delete(n);
    if (n.tree.nodes.size === 0) trees.delete(JSON.stringify([n.tree.model, n.tree.salt]));
  }

  function store(source: string, e: PartEvent): void {
    const t = treeOf(e.model, e.salt);
    let n = t.nodes.get(e.hash);
    if (!n) {
      n = { hash: e.hash, parent: e.parent, size: e.size, kids: t.orphans.get(e.hash) ?? new Set(), holders: new Map(), doubts: new Set(), tree: t };
      t.orphans.delete(e.hash);
      t.nodes.set(e.hash, n);
      kidsOf(t, e.parent).add(n);
    }
    const set = n.holders.get(e.weights) ?? new Set<string>();
    set.add(source);
    n.doubts.delete(source);
    n.holders.set(e.weights, set);
    const h = held.get(source) ?? new Set<Node>();
    h.add(n);
    held.set(source, h);
    touch(n);
    if (recent.size > most) evict();
  }

  function evict(): void {
    for (const n of recent.keys()) {
      if (n.kids.size > 0) continue;
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

  function holds(n: Node, source: string): boolean {
    for (const s of n.holders.values()) if (s.has(source)) return true;
    return false;
  }

  function release(source: string, weights: string, n: Node): void {
    const set = n.holders.get(weights);
    set?.delete(source);
    if (set?.size === 0) n.holders.delete(weights);
    if (!holds(n, source)) {
      held.get(source)?.delete(n);
      n.doubts.delete(source);
    }
    if (n.holders.size === 0) remove(n);
  }

  function apply(source: string, e: PartEvent): void {
    if (e.kind === 'stored') return store(source, e);
    if (e.kind === 'cleared') {
      dropSource(source);
      return;
    }
    const n = trees.get(JSON.stringify([e.model, e.salt]))?.nodes.get(e.hash);
    if (n) release(source, e.weights, n);
  }

  function dropSource(source: string): number {
    let count = 0;
    for (const n of [...(held.get(source) ?? [])]) {
      for (const [weights, set] of [...n.holders]) {
        if (!set.has(source)) continue;
        release(source, weights, n);
        count++;
      }
    }
    return count;
  }

  function eventOf(n: Node, weights: string): PartEvent {
    return { kind: 'stored', model: n.tree.model, salt: n.tree.salt, weights, parent: n.parent, hash: n.hash, size: n.size };
  }

  function query(model: string, salt: string, weights: string, parts: readonly Part[]): Overlap[] {
    const t = trees.get(JSON.stringify([model, salt]));
    if (!t) return [];
    const best = new Map<string, Overlap>();
    let alive: Set<string> | undefined;
    const walked: Node[] = [];
    for (const p of parts) {
      const n = t.nodes.get(p.hash);
      const set = n?.holders.get(weights);
      if (!n || !set) break;
      const next = new Set<string>();
      for (const s of set) if (!alive || alive.has(s)) next.add(s);
      if (next.size === 0) break;
      for (const s of next) {
        const o = best.get(s) ?? { source: s, tokens: 0, doubted: 0, parts: 0 };
        if (n.doubts.has(s)) o.doubted += n.size;
        else o.tokens += n.size;
        o.parts++;
        best.set(s, o);
      }
      alive = next;
      walked.push(n);
    }
    for (const n of walked.reverse()) touch(n);
    return [...best.values()];
  }

  function doubt(source: string): number {
    for (const n of held.get(source) ?? []) n.doubts.add(source);
    return held.get(source)?.size ?? 0;
  }

  function doubted(source: string): number {
    let count = 0;
    for (const n of held.get(source) ?? []) if (n.doubts.has(source)) count++;
    return count;
  }

  function reused(source: string, model: string, salt: string, weights: string, parts: readonly Part[], count: number): { confirmed: number; dropped: number } {
    let parent = model;
    let dropped = 0;
    for (const [i, p] of parts.entries()) {
      const e: PartEvent = { kind: 'stored', model, salt, weights, parent, hash: p.hash, size: p.size };
      const n = trees.get(JSON.stringify([model, salt]))?.nodes.get(p.hash);
      if (i < count) store(source, e);
      else if (i === count && n?.doubts.has(source)) {
        release(source, weights, n);
        dropped++;
      }
      parent = p.hash;
    }
    return { confirmed: Math.min(count, parts.length), dropped };
  }

  function dump(source?: string): { source: string; event: PartEvent }[] {
    const out: { source: string; event: PartEvent }[] = [];
    for (const n of recent.keys()) {
      for (const [weights, set] of n.holders) for (const s of set) if (source === undefined || s === source) out.push({ source: s, event: eventOf(n, weights) });
    }
    return out;
  }

  function size(): number {
    return recent.size;
  }

  function holding(source: string): number {
    return held.get(source)?.size ?? 0;
  }

  function evicted(): number {
    return evictedCount;
  }

  return { apply, dropSource, doubt, doubted, reused, query, dump, size, holding, evicted };
}
