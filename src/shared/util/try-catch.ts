/**
 * Calls of functions that may throw, as results.
 */

import { Left, Right } from 'purify-ts';
import { makeError, Result } from '../errors/errors';

/** Parses JSON. Errors: `bad-json`. */
export function parseJson(text: string, step: string, peer: string): Result<unknown> {
  try {
    return Right(JSON.parse(text) as unknown);
  } catch (error) {
    return Left(makeError(step, peer, error, 'failed', 'bad-json'));
  }
}

/** Calls a function; what it throws is the error. */
export function tryCatch<T>(step: string, peer: string, run: () => T): Result<T> {
  try {
    return Right(run());
  } catch (error) {
    return Left(makeError(step, peer, error));
  }
}
