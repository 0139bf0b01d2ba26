/**
 * Objects as JSON has them.
 */

/** An object whose fields are not checked yet. */
export type PlainObject = Record<string, unknown>;

/**
 * An object's own field by a name from outside; undefined where it has none, also for names that every object inherits
 * (`toString`, `constructor`).
 */
export function ownField<T>(fields: Readonly<Record<string, T>>, name: string): T | undefined {
  return Object.hasOwn(fields, name) ? fields[name] : undefined;
}

/** Sets an object's own field by a name from outside, also one that an assignment would take for its prototype. */
export function setOwnField<T>(fields: Record<string, T>, name: string, value: T): void {
  Object.defineProperty(fields, name, {
    value,
    writable: true,
    enumerable: true,
    configurable: true,
  });
}

/** Whether a value is an object and no list. */
export function isPlainObject(value: unknown): value is PlainObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
