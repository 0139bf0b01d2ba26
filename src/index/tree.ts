import { Part, PartEvent } from '../shared/contracts/engine';
import { WirePart } from '../shared/loads';

interface Holding {
  source: string;
  weights: string;
  /** Tokens that are kept of the part. */
  kept: number;
  doubted: boolean;
}

interface Node {
  hash: string;
  parent: string;
  size: number;
  kids: number;
  holdings: Holding[];
  tree: Tree;
}

interface Tree {
  model: string;
  salt: string;
  nodes: Map<string, Node>;
  orphans: Map<string, number>;
}

/** What one source holds of a prompt. */
export interface Overlap {
  source: string;
  tokens: number;
  doubted: number;
  parts: number;
}

/** One row of a compact dump: hash, parent, size, source by its index, weights, tokens kept, and whether that is doubted. */
export type Row = [
  hash: string,
  parent: string,
  size: number,
  source: number,
  weights: string,
  kept: number,
  doubted: boolean,
];

/** The whole of the trees in little room. */
export interface Rows {
  sources: string[];
  trees: [model: string, salt: string, rows: Row[]][];
}

/** The trees of all (model, salt) pairs; weights are kept apart inside. */
export interface Trees {
  apply(source: string, e: PartEvent): void;
  dropSource(source: string): number;
  doubt(source: string): number;
  doubted(source: string): number;
  reused(
    source: string,
    model: string,
    salt: string,
    weights: string,
    parts: readonly Part[],
    count: number,
  ): { confirmed: number; dropped: number };
  query(model: string, salt: string, weights: string, parts: readonly Part[]): Overlap[];
  dump(source?: string): { source: string; event: PartEvent }[];
  /** Tokens that each source keeps of one part. */
  holders(
    model: string,
    salt: string,
    hash: string,
  ): { source: string; kept: number }[] | undefined;
  /** Takes where parts stand in a prompt from a prompt that names them in order, and marks them as used. */
  learn(model: string, salt: string, parts: readonly WirePart[]): void;
  /** The trees, or what one source keeps of them, as rows. */
  rows(source?: string): Rows;
  /** Takes rows of the sources that pass. */
  takeRows(r: Rows, wanted: (source: string) => boolean): void;
  /** Makes what is kept at a source equal to a list; gives how many holdings that changed. */
  replace(source: string, held: readonly PartEvent[]): number;
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
    const t = trees.get(k) ?? {
      model,
      salt,
      nodes: new Map<string, Node>(),
      orphans: new Map<string, number>(),
    };
    trees.set(k, t);
    return t;
  }

  function touch(n: Node): void {
    recent.delete(n);
    recent.set(n, true);
  }

  /** Counts a part's kids, also while the part itself is not held. */
  function addKids(t: Tree, parent: string, more: number): void {
    const n = t.nodes.get(parent);
    if (n) {
      n.kids += more;
      return;
    }
    const kids = (t.orphans.get(parent) ?? 0) + more;
    if (kids > 0) t.orphans.set(parent, kids);
    else t.orphans.delete(parent);
  }

  function remove(n: Node): void {
    n.tree.nodes.delete(n.hash);
    recent.delete(n);
    addKids(n.tree, n.parent, -1);
    if (n.kids > 0) n.tree.orphans.set(n.hash, n.kids);
    for (const h of n.holdings) held.get(h.source)?.delete(n);
    if (n.tree.nodes.size === 0) trees.delete(JSON.stringify([n.tree.model, n.tree.salt]));
  }

  function find(n: Node, source: string, weights: string): Holding | undefined {
    for (const h of n.holdings) if (h.source === source && h.weights === weights) return h;
    return undefined;
  }

  function store(source: string, e: PartEvent): Node {
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
    const h = held.get(source) ?? new Set<Node>();
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

  function release(source: string, weights: string, n: Node): void {
    const have = find(n, source, weights);
    if (have) n.holdings.splice(n.holdings.indexOf(have), 1);
    if (!n.holdings.some(bySource)) held.get(source)?.delete(n);
    if (n.holdings.length === 0) remove(n);
    function bySource(h: Holding): boolean {
      return h.source === source;
    }
  }

  function apply(source: string, e: PartEvent): void {
    if (e.kind === 'stored') {
      store(source, e);
      return;
    }
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
      for (const h of [...n.holdings]) {
        if (h.source !== source) continue;
        release(source, h.weights, n);
        count++;
      }
    }
    return count;
  }

  function eventOf(n: Node, weights: string): PartEvent {
    return {
      kind: 'stored',
      model: n.tree.model,
      salt: n.tree.salt,
      weights,
      parent: n.parent,
      hash: n.hash,
      size: n.size,
    };
  }

  function query(model: string, salt: string, weights: string, parts: readonly Part[]): Overlap[] {
    const t = trees.get(JSON.stringify([model, salt]));
    if (!t) return [];
    const best = new Map<string, Overlap>();
    let alive: Set<string> | undefined;
    const walked: Node[] = [];
    for (const p of parts) {
      const n = t.nodes.get(p.hash);
      if (!n) break;
      const next = new Set<string>();
      for (const h of n.holdings) {
        if (h.weights !== weights || (alive && !alive.has(h.source))) continue;
        next.add(h.source);
        const o = best.get(h.source) ?? { source: h.source, tokens: 0, doubted: 0, parts: 0 };
        if (h.doubted) o.doubted += n.size;
        else o.tokens += n.size;
        o.parts++;
        best.set(h.source, o);
      }
      if (next.size === 0) break;
      alive = next;
      walked.push(n);
    }
    for (const n of walked.reverse()) touch(n);
    return [...best.values()];
  }

  function doubt(source: string): number {
    for (const n of held.get(source) ?? [])
      for (const h of n.holdings) if (h.source === source) h.doubted = true;
    return held.get(source)?.size ?? 0;
  }

  function doubted(source: string): number {
    let count = 0;
    for (const n of held.get(source) ?? []) if (n.holdings.some(inDoubt)) count++;
    return count;
    function inDoubt(h: Holding): boolean {
      return h.source === source && h.doubted;
    }
  }

  function reused(
    source: string,
    model: string,
    salt: string,
    weights: string,
    parts: readonly Part[],
    count: number,
  ): { confirmed: number; dropped: number } {
    let parent = model;
    let dropped = 0;
    for (const [i, p] of parts.entries()) {
      const e: PartEvent = {
        kind: 'stored',
        model,
        salt,
        weights,
        parent,
        hash: p.hash,
        size: p.size,
      };
      const n = trees.get(JSON.stringify([model, salt]))?.nodes.get(p.hash);
      if (i < count) store(source, e);
      else if (i === count && n && find(n, source, weights)?.doubted) {
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
      for (const h of n.holdings)
        if (source === undefined || h.source === source)
          out.push({ source: h.source, event: eventOf(n, h.weights) });
    }
    return out;
  }

  function holders(
    model: string,
    salt: string,
    hash: string,
  ): { source: string; kept: number }[] | undefined {
    return trees.get(JSON.stringify([model, salt]))?.nodes.get(hash)?.holdings;
  }

  function learn(model: string, salt: string, parts: readonly WirePart[]): void {
    const t = trees.get(JSON.stringify([model, salt]));
    if (!t) return;
    for (let i = parts.length - 1; i >= 0; i--) {
      const n = t.nodes.get(parts[i][0]);
      if (!n) continue;
      n.size = Math.max(n.size, parts[i][1]);
      if (n.parent === '') {
        addKids(t, '', -1);
        n.parent = i === 0 ? model : parts[i - 1][0];
        addKids(t, n.parent, 1);
      }
      touch(n);
    }
  }

  function rows(source?: string): Rows {
    const at = new Map<string, number>();
    const by = new Map<Tree, Row[]>();
    for (const n of recent.keys()) {
      for (const h of n.holdings) {
        if (source !== undefined && h.source !== source) continue;
        if (!at.has(h.source)) at.set(h.source, at.size);
        const list = by.get(n.tree) ?? [];
        by.set(n.tree, list);
        list.push([n.hash, n.parent, n.size, at.get(h.source)!, h.weights, h.kept, h.doubted]);
      }
    }
    const out: Rows = { sources: [...at.keys()], trees: [] };
    for (const [t, list] of by) out.trees.push([t.model, t.salt, list]);
    return out;
  }

  function takeRows(r: Rows, wanted: (source: string) => boolean): void {
    for (const [model, salt, list] of r.trees) {
      for (const [hash, parent, size, at, weights, kept, doubted] of list) {
        const source = r.sources[at];
        if (!wanted(source)) continue;
        const n = store(source, { kind: 'stored', model, salt, weights, parent, hash, size: kept });
        n.size = Math.max(n.size, size);
        find(n, source, weights)!.doubted = doubted;
      }
    }
  }

  function replace(source: string, list: readonly PartEvent[]): number {
    const there = new Set<Node>();
    let changed = 0;
    for (const e of list) {
      const have = trees.get(JSON.stringify([e.model, e.salt]))?.nodes.get(e.hash);
      if (!have || find(have, source, e.weights)?.kept !== e.size) changed++;
      there.add(store(source, e));
    }
    for (const n of [...(held.get(source) ?? [])]) {
      if (there.has(n)) continue;
      for (const h of [...n.holdings]) if (h.source === source) release(source, h.weights, n);
      changed++;
    }
    return changed;
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

  return {
    apply,
    dropSource,
    doubt,
    doubted,
    reused,
    query,
    dump,
    holders,
    learn,
    rows,
    takeRows,
    replace,
    size,
    holding,
    evicted,
  };
}
