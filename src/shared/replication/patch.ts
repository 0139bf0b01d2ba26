/**
 * Patches: how one plain value becomes another, down to the order of its fields. The field names are sent.
 */

import { isDeepStrictEqual } from 'node:util';
import { isIdentical } from '../util/identical';
import { isPlainObject, ownField, PlainObject, setOwnField } from '../util/plain-object';

/** How one value becomes another. */
export type Patch = PutPatch | SplicePatch | ItemsPatch | FieldsPatch;

/** The new value, complete. */
export interface PutPatch {
  put: unknown;
}

/** A range of a list that is replaced: its start, its length, and the items that take its place. */
export interface SplicePatch {
  splice: [number, number, unknown[]];
}

/** Items of a list by identity: those dropped, and those put in place of their former versions or at the end. */
export interface ItemsPatch {
  items: { drop: string[]; put: unknown[] };
}

/** The fields of an object that change, and those dropped. */
export interface FieldsPatch {
  set: Record<string, Patch>;
  drop: string[];
}

/** What distinguishes an item from the others of its list: its name, or the hash that stands for it. */
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

/** The patch of a list: one range, or items by identity where that puts fewer of them. */
function diffOfLists(
  before: readonly unknown[],
  after: readonly unknown[],
): SplicePatch | ItemsPatch {
  const range = changedRange(before, after);
  const fresh = after.slice(range.start, after.length - range.tail);
  const length = before.length - range.tail - range.start;
  const splice: SplicePatch = { splice: [range.start, length, fresh] };
  if (fresh.length <= 1) return splice;
  const items = diffOfItems(before, after);
  return items && items.items.put.length < fresh.length ? items : splice;
}

/** How many items two lists share at their start and, beyond these, at their end. */
function changedRange(
  before: readonly unknown[],
  after: readonly unknown[],
): { start: number; tail: number } {
  const shorter = Math.min(before.length, after.length);
  let start = 0;
  while (start < shorter && isIdentical(before[start], after[start])) start++;
  let tail = 0;
  while (tail < shorter - start && isIdentical(before.at(-1 - tail), after.at(-1 - tail))) tail++;
  return { start, tail };
}

/** The patch by identity; undefined where it would not lead to the same order. */
function diffOfItems(
  before: readonly unknown[],
  after: readonly unknown[],
): ItemsPatch | undefined {
  const itemsBefore = byIdentity(before);
  const itemsAfter = byIdentity(after);
  if (!itemsBefore || !itemsAfter) return undefined;
  const patch: ItemsPatch = { items: { drop: [], put: [] } };
  const order: string[] = [];
  for (const identity of itemsBefore.keys()) {
    if (itemsAfter.has(identity)) order.push(identity);
    else patch.items.drop.push(identity);
  }
  for (const [identity, item] of itemsAfter) {
    if (!itemsBefore.has(identity)) order.push(identity);
    if (!isIdentical(itemsBefore.get(identity), item)) patch.items.put.push(item);
  }
  return isDeepStrictEqual(order, [...itemsAfter.keys()]) ? patch : undefined;
}

/** The patch of an object; the complete one where a patch would leave its fields in another order. */
function diffOfFields(before: PlainObject, after: PlainObject): FieldsPatch | PutPatch {
  const names = Object.keys(after);
  if (!isIdentical(patchedNames(before, after), names)) return { put: after };
  const patch: FieldsPatch = { set: {}, drop: [] };
  for (const name of Object.keys(before)) if (!Object.hasOwn(after, name)) patch.drop.push(name);
  for (const name of names) {
    const isKnown = Object.hasOwn(before, name);
    const field = isKnown ? diff(before[name], after[name]) : { put: after[name] };
    if (field) setOwnField(patch.set, name, field);
  }
  return patch;
}

/** The names of the fields of a patched object in their order: those that stay, then the new ones. */
function patchedNames(before: PlainObject, after: PlainObject): string[] {
  const names: string[] = [];
  for (const name of Object.keys(before)) if (Object.hasOwn(after, name)) names.push(name);
  for (const name of Object.keys(after)) if (!Object.hasOwn(before, name)) names.push(name);
  return names;
}

/** The patch from one value to another; undefined where they are identical. */
export function diff(before: unknown, after: unknown): Patch | undefined {
  if (isIdentical(before, after)) return undefined;
  if (Array.isArray(before) && Array.isArray(after)) return diffOfLists(before, after);
  if (!isPlainObject(before) || !isPlainObject(after)) return { put: after };
  return diffOfFields(before, after);
}

function patchItems(list: readonly unknown[], { drop, put }: ItemsPatch['items']): unknown[] {
  const dropped = new Set(drop);
  const fresh = new Map<string, unknown>();
  for (const item of put) fresh.set(identityOf(item) ?? '', item);
  const patched: unknown[] = [];
  for (const item of list) {
    const identity = identityOf(item) ?? '';
    if (!dropped.has(identity)) patched.push(fresh.get(identity) ?? item);
    fresh.delete(identity);
  }
  return [...patched, ...fresh.values()];
}

function patchFields(value: PlainObject, { set, drop }: FieldsPatch): PlainObject {
  const patched: PlainObject = { ...value };
  for (const name of drop) delete patched[name];
  for (const [name, field] of Object.entries(set))
    setOwnField(patched, name, applyPatch(ownField(patched, name), field));
  return patched;
}

/** Applies a patch. The value is not changed, and the result shares with it what the patch leaves as it is. */
export function applyPatch(value: unknown, patch: Patch): unknown {
  if ('put' in patch) return patch.put;
  if ('splice' in patch) {
    const [start, length, fresh] = patch.splice;
    return Array.isArray(value) ? value.toSpliced(start, length, ...fresh) : value;
  }
  if ('items' in patch) return Array.isArray(value) ? patchItems(value, patch.items) : value;
  return patchFields(value as PlainObject, patch);
}

/** The patch that leaves a value as it is. */
export function identityPatch(value: unknown): Patch {
  if (Array.isArray(value)) return { splice: [0, 0, []] };
  return isPlainObject(value) ? { set: {}, drop: [] } : { put: value };
}
