import { isDeepStrictEqual } from 'node:util';
import { digestOf } from './digest';
import { compareVersions, VersionedValue, Version } from '../state/versions';

type PlainObject = Record<string, unknown>;

/** How one value becomes another. */
export type Patch = PutPatch | SplicePatch | ItemsPatch | FieldsPatch;

/** The new value, whole. */
export interface PutPatch {
  put: unknown;
}

/** A part of a list that is replaced: its start, its length, and what stands there instead. */
export interface SplicePatch {
  splice: [number, number, unknown[]];
}

/** Items of a list by identity: those dropped, and those put in place of their former selves or at the end. */
export interface ItemsPatch {
  items: { drop: string[]; put: unknown[] };
}

/** The fields of an object that change, and those dropped. */
export interface FieldsPatch {
  set: Record<string, Patch>;
  drop: string[];
}

/** A change sent as the difference to the one that the other side holds. */
export interface Delta extends Version {
  key: string;
  base: Version;
  patch: Patch;
  sum: string;
}

/** A value shorter than this as text is sent whole. */
const SHORT = 2000;
/** A difference longer than this share of the whole is not worth its base. */
const WORTHWHILE = 0.5;

function isPlainObject(v: unknown): v is PlainObject {
  return typeof v === 'object' && v !== null && !Array.isArray(v);
}

/** What tells an item of a list from the others: its name, or the hash that stands for it. */
function identityOf(item: unknown): string | undefined {
  if (!isPlainObject(item)) return undefined;
  if (typeof item.name === 'string') return item.name;
  return typeof item.sum === 'string' ? item.sum : undefined;
}

/** The items of a list by identity; undefined where one has none, or two have the same. */
function byIdentity(list: readonly unknown[]): Map<string, unknown> | undefined {
  const items = new Map<string, unknown>();
  for (const item of list) {
    const identity = identityOf(item);
    if (identity === undefined || items.has(identity)) return undefined;
    items.set(identity, item);
  }
  return items;
}

function isEqual(a: unknown, b: unknown): boolean {
  return a === b || isDeepStrictEqual(a, b);
}

function diffOfLists(a: readonly unknown[], b: readonly unknown[]): SplicePatch | ItemsPatch {
  const most = Math.min(a.length, b.length);
  let head = 0;
  while (head < most && isEqual(a[head], b[head])) head++;
  let tail = 0;
  while (tail < most - head && isEqual(a[a.length - 1 - tail], b[b.length - 1 - tail])) tail++;
  const fresh = b.slice(head, b.length - tail);
  const splice: SplicePatch = { splice: [head, a.length - tail - head, fresh] };
  if (fresh.length <= 1) return splice;
  const items = diffOfItems(a, b);
  return items && items.items.put.length < fresh.length ? items : splice;
}

/** The difference by identity; undefined where it would not lead to the same order. */
function diffOfItems(a: readonly unknown[], b: readonly unknown[]): ItemsPatch | undefined {
  const before = byIdentity(a);
  const after = byIdentity(b);
  if (!before || !after) return undefined;
  const patch: ItemsPatch = { items: { drop: [], put: [] } };
  const order: string[] = [];
  for (const identity of before.keys()) {
    if (after.has(identity)) order.push(identity);
    else patch.items.drop.push(identity);
  }
  for (const [identity, item] of after) {
    if (!before.has(identity)) order.push(identity);
    if (!isEqual(before.get(identity), item)) patch.items.put.push(item);
  }
  let at = 0;
  for (const identity of after.keys()) if (order[at++] !== identity) return undefined;
  return patch;
}

/** The difference of two values; undefined where they are equal. */
export function diff(a: unknown, b: unknown): Patch | undefined {
  if (isEqual(a, b)) return undefined;
  if (Array.isArray(a) && Array.isArray(b)) return diffOfLists(a, b);
  if (!isPlainObject(a) || !isPlainObject(b)) return { put: b };
  const patch: FieldsPatch = { set: {}, drop: [] };
  for (const name of Object.keys(a)) if (!(name in b)) patch.drop.push(name);
  for (const name of Object.keys(b)) {
    const inner: Patch | undefined = name in a ? diff(a[name], b[name]) : { put: b[name] };
    if (inner) patch.set[name] = inner;
  }
  return patch;
}

function patchedItems(list: readonly unknown[], { drop, put }: ItemsPatch['items']): unknown[] {
  const dropped = new Set(drop);
  const fresh = new Map<string, unknown>();
  for (const item of put) fresh.set(identityOf(item) ?? '', item);
  const out: unknown[] = [];
  for (const item of list) {
    const identity = identityOf(item) ?? '';
    if (!dropped.has(identity)) out.push(fresh.get(identity) ?? item);
    fresh.delete(identity);
  }
  return [...out, ...fresh.values()];
}

/** Applies a difference; what it is applied to stays as it is, and what does not change is shared. */
export function applyPatch(a: unknown, patch: Patch): unknown {
  if ('put' in patch) return patch.put;
  if ('splice' in patch)
    return Array.isArray(a) ? a.toSpliced(patch.splice[0], patch.splice[1], ...patch.splice[2]) : a;
  if ('items' in patch) return Array.isArray(a) ? patchedItems(a, patch.items) : a;
  const out: PlainObject = { ...(a as PlainObject) };
  for (const name of patch.drop) delete out[name];
  for (const [name, inner] of Object.entries(patch.set)) out[name] = applyPatch(out[name], inner);
  return out;
}

/** The patch that leaves a value as it is. */
function unchanged(value: unknown): Patch {
  if (Array.isArray(value)) return { splice: [0, 0, []] };
  return isPlainObject(value) ? { set: {}, drop: [] } : { put: value };
}

/** Where a value stands, without it. */
export function versionOf(n: Version): Version {
  return { epoch: n.epoch, by: n.by, number: n.number };
}

/** Makes a delta where it is much shorter than the whole. */
export function makeDelta(base: VersionedValue | undefined, n: VersionedValue): Delta | undefined {
  if (!base) return undefined;
  const before = digestOf(base.value);
  if (before.bytes < SHORT) return undefined;
  const whole = digestOf(n.value);
  const patch: Patch = diff(base.value, n.value) ?? unchanged(n.value);
  if (JSON.stringify(patch).length > whole.bytes * WORTHWHILE) return undefined;
  return { key: n.key, ...versionOf(n), base: versionOf(base), patch, sum: whole.hash };
}

/** Reads a delta over what is held; undefined where that is not its base, or the sum differs. */
export function readDelta(held: VersionedValue | undefined, d: Delta): VersionedValue | undefined {
  if (!held || compareVersions(held, d.base) !== 0) return undefined;
  const value = applyPatch(held.value, d.patch);
  return digestOf(value).hash === d.sum ? { key: d.key, ...versionOf(d), value } : undefined;
}

/** The same value as `fresh`, sharing with an earlier one all that did not change. */
export function shareUnchanged(before: unknown, fresh: unknown): unknown {
  const patch = diff(before, fresh);
  if (!patch) return before;
  const shared = applyPatch(before, patch);
  return digestOf(shared).hash === digestOf(fresh).hash ? shared : fresh;
}
