import { PlacementNotice, WireBlock } from '../shared/contracts/indexer';

interface Note {
  until: number;
  key: string;
  model: string;
  salt: string;
  hash: string;
  size: number;
  source: string;
}

/** A note that has run out without its part being told of. */
export type Unheard = Pick<Note, 'model' | 'salt' | 'hash' | 'size' | 'source'>;

/** Parts that are on their way to engines: requests that read them were placed there, and no event has told of them yet. */
export interface Coming {
  /** Takes a router's note of a request that it placed. */
  placed: (router: object, p: PlacementNotice, keeps: (part: WireBlock) => boolean) => void;
  /** The engines to which a part is on its way. */
  at: (model: string, salt: string, hash: string) => ReadonlyMap<string, unknown> | undefined;
  /** A part was told of. */
  heard: (model: string, salt: string, hash: string, source: string) => void;
  /** Forgets a source's notes. */
  dropSource: (source: string) => void;
  /** Forgets the notes of a router that has gone. */
  dropRouter: (router: object) => void;
  size: () => number;
}

/** Keeps notes for `keptMs`, at most `most` of them; the oldest go first. */
export function makeComing(
  now: () => number,
  keptMs: number,
  most: number,
  ranOut: (u: Unheard) => void,
): Coming {
  const byPart = new Map<string, Map<string, Note>>();
  const order = new Map<Note, object>();

  function keyOf(model: string, salt: string, hash: string): string {
    return `${hash}\u0000${salt}\u0000${model}`;
  }

  function forget(n: Note): void {
    order.delete(n);
    const m = byPart.get(n.key);
    if (m?.get(n.source) !== n) return;
    m.delete(n.source);
    if (m.size === 0) byPart.delete(n.key);
  }

  function sweep(): void {
    const t = now();
    for (const n of order.keys()) {
      if (n.until > t && order.size <= most) return;
      forget(n);
      if (n.until <= t) ranOut(n);
    }
  }

  function placed(router: object, p: PlacementNotice, keeps: (part: WireBlock) => boolean): void {
    for (const part of p.parts) {
      if (keeps(part)) continue;
      const key = keyOf(p.model, p.salt, part[0]);
      const m = byPart.get(key) ?? new Map<string, Note>();
      byPart.set(key, m);
      const before = m.get(p.engine);
      if (before) order.delete(before);
      const n: Note = {
        until: now() + keptMs,
        key,
        model: p.model,
        salt: p.salt,
        hash: part[0],
        size: part[1],
        source: p.engine,
      };
      m.set(p.engine, n);
      order.set(n, router);
    }
    sweep();
  }

  function at(model: string, salt: string, hash: string): ReadonlyMap<string, unknown> | undefined {
    sweep();
    return byPart.get(keyOf(model, salt, hash));
  }

  function heard(model: string, salt: string, hash: string, source: string): void {
    if (order.size === 0) return;
    const n = byPart.get(keyOf(model, salt, hash))?.get(source);
    if (n) forget(n);
  }

  function dropSource(source: string): void {
    for (const n of [...order.keys()]) if (n.source === source) forget(n);
  }

  function dropRouter(router: object): void {
    for (const [n, of] of [...order]) if (of === router) forget(n);
  }

  function size(): number {
    return order.size;
  }

  return { placed, at, heard, dropSource, dropRouter, size };
}
