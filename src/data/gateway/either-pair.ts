/**
 * Opens an `Either` whose left side is no `OperationError`, as `errorOrValue` does for results.
 */

import { Either } from 'purify-ts';

/** The two sides of an `Either`, of which one is undefined, so that a function can return early. */
export function leftOrRight<L extends object, R>(
  either: Either<L, R>,
): readonly [L, undefined] | readonly [undefined, R] {
  if (either.isLeft()) return [either.extract(), undefined];
  return [undefined, either.extract() as R];
}
