/**
 * The names and types of all fields of a message, whatever their values.
 */

import { decompress } from '../../src/shared/transport/compression';

/** The type of a value on the wire. */
function typeOf(value: unknown): string {
  if (value === null) return 'null';
  if (ArrayBuffer.isView(value)) return 'bytes';
  if (Array.isArray(value)) return 'array';
  return typeof value;
}

/** Adds the fields of what bytes hold, where they are a compressed value. */
function addCompressed(bytes: Uint8Array, to: Set<string>, path: string): void {
  function add(value: unknown): void {
    addFieldPaths(value, to, `${path}~`);
  }
  decompress('read fields', path, bytes).ifRight(add);
}

/** Adds each field's path and type to a set; all elements of an array have one path. */
export function addFieldPaths(value: unknown, to: Set<string>, path = ''): void {
  const type = typeOf(value);
  to.add(`${path}: ${type}`);
  if (type === 'array') for (const one of value as unknown[]) addFieldPaths(one, to, `${path}[]`);
  if (type === 'bytes') addCompressed(value as Uint8Array, to, path);
  if (type !== 'object') return;
  for (const [name, one] of Object.entries(value as object))
    addFieldPaths(one, to, `${path}.${name}`);
}

/** The path and type of each field, sorted. */
export function fieldPaths(value: unknown): string[] {
  const paths = new Set<string>();
  addFieldPaths(value, paths);
  return [...paths].sort();
}
