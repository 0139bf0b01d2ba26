/**
 * What can be kept of a JSON value: messages and files carry text in UTF-8, no field named `__proto__`, and a bounded
 * depth.
 */

import { isPlainObject } from './plain-object';

/** The field name that the wire format does not carry. */
const RESERVED_NAME = '__proto__';
/** How deep lists and objects may be nested: all that reads a value calls itself for each level. */
const MAX_DEPTH = 100;

/**
 * Where a value would not come back from a message or a file as it is, and why; undefined for a value that does. `path` and
 * `depth` are for recursion.
 */
export function findUncarriable(value: unknown, path = '', depth = 0): string | undefined {
  if (typeof value === 'string')
    return value.isWellFormed() ? undefined : fault(path, 'the text is not Unicode');
  if (typeof value !== 'object' || value === null) return undefined;
  if (depth === MAX_DEPTH) return fault(path, `nested deeper than ${MAX_DEPTH} levels`);
  if (Array.isArray(value)) return findInList(value, path, depth);
  return isPlainObject(value) ? findInFields(value, path, depth) : undefined;
}

function fault(path: string, reason: string): string {
  return `${path === '' ? 'the body' : path}: ${reason}`;
}

function findInList(list: readonly unknown[], path: string, depth: number): string | undefined {
  for (const [index, item] of list.entries()) {
    const found = findUncarriable(item, `${path}[${index}]`, depth + 1);
    if (found !== undefined) return found;
  }
  return undefined;
}

function findInFields(
  fields: Record<string, unknown>,
  path: string,
  depth: number,
): string | undefined {
  for (const [name, field] of Object.entries(fields)) {
    if (!name.isWellFormed()) return fault(path, 'the name of a field is not Unicode');
    const fieldPath = path === '' ? name : `${path}.${name}`;
    if (name === RESERVED_NAME) return fault(fieldPath, 'a field can not have this name');
    const found = findUncarriable(field, fieldPath, depth + 1);
    if (found !== undefined) return found;
  }
  return undefined;
}
