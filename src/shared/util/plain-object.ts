/**
 * Objects as JSON has them.
 */

/** An object whose fields are not checked yet. */
export type PlainObject = Record<string, unknown>;

/** Whether a value is an object and no list. */
export function isPlainObject(value: unknown): value is PlainObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
