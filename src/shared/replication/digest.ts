import { shortHash } from '../util/hashing';

/** A hash of a value's content and the length of its text; equal content has equal digests. */
export interface Digest {
  hash: string;
  bytes: number;
}

/** Below this depth a value is hashed as one text: a document, its lists, and their items stand above it. */
const HASHED_DEPTH = 3;

const known = new WeakMap<object, Digest>();

function ofText(text: string): Digest {
  return { hash: shortHash(text), bytes: text.length };
}

function combine(parts: readonly string[], bytes: number): Digest {
  return { hash: shortHash(parts.join('\n')), bytes };
}

function ofList(list: readonly unknown[], depth: number): Digest {
  const parts: string[] = ['list'];
  let bytes = 2;
  for (const item of list) {
    const digest = digestOf(item, depth + 1);
    parts.push(digest.hash);
    bytes += digest.bytes + 1;
  }
  return combine(parts, bytes);
}

function ofObject(object: Record<string, unknown>, depth: number): Digest {
  const parts: string[] = ['object'];
  let bytes = 2;
  for (const name of Object.keys(object).sort()) {
    if (object[name] === undefined) continue;
    const digest = digestOf(object[name], depth + 1);
    parts.push(`${JSON.stringify(name)}:${digest.hash}`);
    bytes += name.length + digest.bytes + 4;
  }
  return combine(parts, bytes);
}

/**
 * The digest of a value. Values of control keys are never changed in place, so the digest of each list and object is
 * computed once; two versions that share their unchanged items cost only what differs.
 */
export function digestOf(value: unknown, depth = 0): Digest {
  if (typeof value !== 'object' || value === null) return ofText(JSON.stringify(value) ?? 'null');
  const before = known.get(value);
  if (before) return before;
  const digest = digestAnew(value, depth);
  known.set(value, digest);
  return digest;
}

function digestAnew(value: object, depth: number): Digest {
  if (depth >= HASHED_DEPTH) return ofText(JSON.stringify(value));
  if (Array.isArray(value)) return ofList(value, depth);
  return ofObject(value as Record<string, unknown>, depth);
}
