import { isDeepStrictEqual } from 'node:util';
import { shortHash } from './lib';
import { comparePlaces, Numbered, Place } from './words';

type Obj = Record<string, unknown>;

/** How one value becomes another: put whole, a splice of a list, or what is set and dropped of an object. */
export type Patch =
  | { put: unknown }
  | { splice: [number, number, unknown[]] }
  | { set: Record<string, Patch>; drop: string[] };

/** A change sent as the difference to the one that the other side holds. */
export interface Delta extends Place {
  key: string;
  base: Place;
  patch: Patch;
  sum: string;
}

/** A value shorter than this as text is sent whole. */
const SHORT = 2000;

function isObj(v: unknown): v is Obj {
  return typeof v === 'object' && v !== null && !Array.isArray(v);
}

/** The difference of two values; undefined where they are equal. */
export function diff(a: unknown, b: unknown): Patch | undefined {
  if (isDeepStrictEqual(a, b)) return undefined;
  if (Array.isArray(a) && Array.isArray(b)) {
    let from = 0;
    let tail = 0;
    while (from < a.length && from < b.length && isDeepStrictEqual(a[from], b[from])) from++;
    while (
      tail < a.length - from &&
      tail < b.length - from &&
      isDeepStrictEqual(a[a.length - 1 - tail], b[b.length - 1 - tail])
    )
      tail++;
    return { splice: [from, a.length - tail - from, b.slice(from, b.length - tail)] };
  }
  if (!isObj(a) || !isObj(b)) return { put: b };
  const set: Record<string, Patch> = {};
  const drop: string[] = [];
  for (const k of Object.keys(a)) if (!(k in b)) drop.push(k);
  for (const k of Object.keys(b)) {
    const p = k in a ? diff(a[k], b[k]) : { put: b[k] };
    if (p) set[k] = p;
  }
  return { set, drop };
}

/** Applies a difference; what it is applied to stays as it is. */
export function patched(a: unknown, p: Patch): unknown {
  if ('put' in p) return p.put;
  if ('splice' in p)
    return Array.isArray(a) ? a.toSpliced(p.splice[0], p.splice[1], ...p.splice[2]) : a;
  const out: Obj = { ...(a as Obj) };
  for (const k of p.drop) delete out[k];
  for (const [k, x] of Object.entries(p.set)) out[k] = patched(out[k], x);
  return out;
}

function placeOf(n: Place): Place {
  return { epoch: n.epoch, by: n.by, number: n.number };
}

/** Makes a delta where it is much shorter than the whole. */
export function makeDelta(base: Numbered | undefined, n: Numbered): Delta | undefined {
  const whole = base && JSON.stringify(n.value);
  if (!base || !whole || whole.length < SHORT) return undefined;
  const patch: Patch = diff(base.value, n.value) ?? { set: {}, drop: [] };
  if (JSON.stringify(patch).length * 2 > whole.length) return undefined;
  return { key: n.key, ...placeOf(n), base: placeOf(base), patch, sum: shortHash(whole) };
}

/** Reads a delta over what is held; undefined where that is not its base, or the sum differs. */
export function readDelta(held: Numbered | undefined, d: Delta): Numbered | undefined {
  if (!held || comparePlaces(held, d.base) !== 0) return undefined;
  const value = patched(held.value, d.patch);
  return shortHash(JSON.stringify(value)) === d.sum
    ? { key: d.key, ...placeOf(d), value }
    : undefined;
}
