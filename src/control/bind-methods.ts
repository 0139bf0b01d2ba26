/**
 * Binding of methods to their object.
 */

/** Binds all methods of an object's class to the object, so that each may be passed on as a plain function. */
export function bindMethods(target: object): void {
  const prototype = Object.getPrototypeOf(target) as Record<string, unknown>;
  const members = target as Record<string, unknown>;
  for (const name of Object.getOwnPropertyNames(prototype)) {
    const method = prototype[name];
    if (name !== 'constructor' && typeof method === 'function') members[name] = method.bind(target);
  }
}
