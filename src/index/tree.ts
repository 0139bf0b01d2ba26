import { PromptBlock, BlockEvent } from '../shared/contracts/engine';
import { WireBlock } from '../shared/contracts/indexer';
import { Holding, makePartStore, PartNode, PartTree } from './parts';

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
  apply: (source: string, e: BlockEvent) => void;
  dropSource: (source: string) => number;
  doubt: (source: string) => number;
  doubted: (source: string) => number;
  reused: (
    source: string,
    model: string,
    salt: string,
    weights: string,
    parts: readonly PromptBlock[],
    count: number,
  ) => { confirmed: number; dropped: number };
  query: (model: string, salt: string, weights: string, parts: readonly PromptBlock[]) => Overlap[];
  dump: (source?: string) => { source: string; event: BlockEvent }[];
  /** Tokens that each source keeps of one part. */
  holders: (
    model: string,
    salt: string,
    hash: string,
  ) => { source: string; kept: number }[] | undefined;
  /** Takes where parts stand in a prompt from a prompt that names them in order, and marks them as used. */
  learn: (model: string, salt: string, parts: readonly WireBlock[]) => void;
  /** The trees, or what one source keeps of them, as rows. */
  rows: (source?: string) => Rows;
  /** Takes rows of the sources that pass. */
  takeRows: (r: Rows, wanted: (source: string) => boolean) => void;
  /** Makes what is kept at a source equal to a list; gives how many holdings that changed. */
  replace: (source: string, held: readonly BlockEvent[]) => number;
  size: () => number;
  holding: (source: string) => number;
  evicted: () => number;
}

/** Makes the trees; past `most` parts the least recently used leaves go first. */
export function makeTrees(most: number): Trees {
  const stored = makePartStore(most);
  const { find, store, release, touch } = stored;

  function apply(source: string, e: BlockEvent): void {
    if (e.kind === 'stored') {
      store(source, e);
      return;
    }
    if (e.kind === 'cleared') {
      dropSource(source);
      return;
    }
    const n = stored.part(e.model, e.salt, e.hash);
    if (n) release(source, e.weights, n);
  }

  function dropSource(source: string): number {
    let count = 0;
    for (const n of [...stored.heldBy(source)]) {
      for (const h of [...n.holdings]) {
        if (h.source !== source) continue;
        release(source, h.weights, n);
        count++;
      }
    }
    return count;
  }

  function eventOf(n: PartNode, weights: string): BlockEvent {
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

  function query(
    model: string,
    salt: string,
    weights: string,
    parts: readonly PromptBlock[],
  ): Overlap[] {
    const t = stored.tree(model, salt);
    if (!t) return [];
    const best = new Map<string, Overlap>();
    let alive: Set<string> | undefined;
    const walked: PartNode[] = [];
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
    for (const n of stored.heldBy(source))
      for (const h of n.holdings) if (h.source === source) h.doubted = true;
    return stored.heldBy(source).size;
  }

  function doubted(source: string): number {
    let count = 0;
    for (const n of stored.heldBy(source)) if (n.holdings.some(inDoubt)) count++;
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
    parts: readonly PromptBlock[],
    count: number,
  ): { confirmed: number; dropped: number } {
    let parent = model;
    let dropped = 0;
    for (const [i, p] of parts.entries()) {
      const e: BlockEvent = {
        kind: 'stored',
        model,
        salt,
        weights,
        parent,
        hash: p.hash,
        size: p.size,
      };
      const n = stored.part(model, salt, p.hash);
      if (i < count) store(source, e);
      else if (i === count && n && find(n, source, weights)?.doubted) {
        release(source, weights, n);
        dropped++;
      }
      parent = p.hash;
    }
    return { confirmed: Math.min(count, parts.length), dropped };
  }

  function dump(source?: string): { source: string; event: BlockEvent }[] {
    const out: { source: string; event: BlockEvent }[] = [];
    for (const n of stored.all()) {
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
    return stored.part(model, salt, hash)?.holdings;
  }

  function learn(model: string, salt: string, parts: readonly WireBlock[]): void {
    const t = stored.tree(model, salt);
    if (!t) return;
    for (let i = parts.length - 1; i >= 0; i--) {
      const n = t.nodes.get(parts[i][0]);
      if (!n) continue;
      n.size = Math.max(n.size, parts[i][1]);
      if (n.parent === '') {
        stored.setParent(n, i === 0 ? model : parts[i - 1][0]);
      }
      touch(n);
    }
  }

  function rows(source?: string): Rows {
    const at = new Map<string, number>();
    const by = new Map<PartTree, Row[]>();
    for (const n of stored.all()) {
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

  function replace(source: string, list: readonly BlockEvent[]): number {
    const there = new Set<PartNode>();
    let changed = 0;
    for (const e of list) {
      const have = stored.part(e.model, e.salt, e.hash);
      if (!have || find(have, source, e.weights)?.kept !== e.size) changed++;
      there.add(store(source, e));
    }
    for (const n of [...stored.heldBy(source)]) {
      if (there.has(n)) continue;
      for (const h of [...n.holdings]) if (h.source === source) release(source, h.weights, n);
      changed++;
    }
    return changed;
  }

  function holding(source: string): number {
    return stored.heldBy(source).size;
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
    size: stored.size,
    holding,
    evicted: stored.evicted,
  };
}
