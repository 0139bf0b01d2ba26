/**
 * Identity of JSON values, which counts the order of fields.
 */

import { isDeepStrictEqual } from 'node:util';
import { isPlainObject, PlainObject } from './plain-object';

/**
 * Whether two values are equal and their fields stand in the same order: both are then written as the same text, and one
 * may stand for the other wherever the text, or a digest of it, counts.
 */
export function isIdentical(one: unknown, other: unknown): boolean {
  if (Object.is(one, other)) return true;
  if (Array.isArray(one)) return Array.isArray(other) && areListsIdentical(one, other);
  if (!isRecord(one) || !isRecord(other)) return isDeepStrictEqual(one, other);
  return areRecordsIdentical(one, other);
}

/** Whether a value is an object with fields; bytes are none. */
function isRecord(value: unknown): value is PlainObject {
  return isPlainObject(value) && !ArrayBuffer.isView(value);
}

function areListsIdentical(one: readonly unknown[], other: readonly unknown[]): boolean {
  if (one.length !== other.length) return false;
  for (let i = 0; i < one.length; i++) if (!isIdentical(one[i], other[i])) return false;
  return true;
}

function areRecordsIdentical(one: PlainObject, other: PlainObject): boolean {
  const names = Object.keys(one);
  const otherNames = Object.keys(other);
  if (!areListsIdentical(names, otherNames)) return false;
  for (const name of names) if (!isIdentical(one[name], other[name])) return false;
  return true;
}
