/**
 * Calls of libraries that may throw, as results.
 */

import { Left, Right } from 'purify-ts';
import { makeError, Result } from '../errors/errors';

/** Parses JSON. */
export function parseJson(text: string, step: string, peer: string): Result<unknown> {
  try {
    return Right(JSON.parse(text) as unknown);
  } catch (e) {
    return Left(makeError(step, peer, e, 'failed', 'bad-json'));
  }
}

/** Runs what a library may throw from. */
export function tryCatch<T>(step: string, peer: string, run: () => T): Result<T> {
  try {
    return Right(run());
  } catch (e) {
    return Left(makeError(step, peer, e));
  }
}
