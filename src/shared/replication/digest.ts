/**
 * Digests of values of control keys.
 */

import { shortHash } from '../util/hashing';

/** A hash of a value's content, and the length of its text in characters; equal content has equal digests. */
export interface Digest {
  hash: string;
  bytes: number;
}

/** From this depth on a value is hashed as one text; the document, its lists, and their items are above it and have digests of their own. */
const TEXT_DEPTH = 3;

/** Digests by value: values of control keys are never changed in place. */
const cached = new WeakMap<object, Digest>();

function digestOfText(text: string): Digest {
  return { hash: shortHash(text), bytes: text.length };
}

function combine(hashes: readonly string[], bytes: number): Digest {
  return { hash: shortHash(hashes.join('\n')), bytes };
}

function digestOfList(list: readonly unknown[], depth: number): Digest {
  const hashes: string[] = ['list'];
  let bytes = 2;
  for (const item of list) {
    const digest = digestOf(item, depth + 1);
    hashes.push(digest.hash);
    bytes += digest.bytes + 1;
  }
  return combine(hashes, bytes);
}

function digestOfObject(object: Record<string, unknown>, depth: number): Digest {
  const hashes: string[] = ['object'];
  let bytes = 2;
  for (const name of Object.keys(object).sort()) {
    if (object[name] === undefined) continue;
    const digest = digestOf(object[name], depth + 1);
    hashes.push(`${JSON.stringify(name)}:${digest.hash}`);
    bytes += name.length + digest.bytes + 4;
  }
  return combine(hashes, bytes);
}

/**
 * The digest of a value, which must not be changed in place: the digest of each list and object is computed once, so
 * that of a version which shares its unchanged items with an earlier one costs only what differs. `depth` is for
 * recursion.
 */
export function digestOf(value: unknown, depth = 0): Digest {
  if (typeof value !== 'object' || value === null)
    return digestOfText(JSON.stringify(value) ?? 'null');
  const before = cached.get(value);
  if (before) return before;
  const digest = computeDigest(value, depth);
  cached.set(value, digest);
  return digest;
}

function computeDigest(value: object, depth: number): Digest {
  if (depth >= TEXT_DEPTH) return digestOfText(JSON.stringify(value));
  if (Array.isArray(value)) return digestOfList(value, depth);
  return digestOfObject(value as Record<string, unknown>, depth);
}
