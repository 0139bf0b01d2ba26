/**
 * Errors as values. Nothing in the core throws: a step that may go wrong returns a `Result`, and an error tells the
 * step, the peer, what is certain of its effect, and a code by which callers decide.
 */

import { Either, Left } from 'purify-ts';
import { ErrorCode, isAboutPeer } from './error-codes';

/**
 * What is certain of the effect of an operation that went wrong. `refused`: it was certainly not carried out.
 * `failed`: it was tried, and its result can't be used. `unknown`: it may have been carried out.
 */
export type Certainty = 'refused' | 'failed' | 'unknown';

/** An error: the step at which it arose, the peer that the step was taken with, and what is known of its effect. */
export interface OperationError {
  step: string;
  /** An address, a node's name, a disk's id, or a file. */
  peer: string;
  /** For people: it is logged, and never decided by. */
  reason: string;
  certainty: Certainty;
  code?: ErrorCode;
}

/** The value of a step that may go wrong. */
export type Result<T> = Either<OperationError, T>;

/** Makes an error; of a thrown one the message is kept. */
export function makeError(
  step: string,
  peer: string,
  reason: unknown,
  certainty: Certainty = 'failed',
  code?: ErrorCode,
): OperationError {
  const text = reason instanceof Error ? reason.message : String(reason);
  return { step, peer, reason: text, certainty, code };
}

/** Makes a result that is an error. */
export function failure<T>(
  step: string,
  peer: string,
  reason: unknown,
  certainty: Certainty = 'failed',
  code?: ErrorCode,
): Result<T> {
  return Left(makeError(step, peer, reason, certainty, code));
}

/** Opens a result, or another `Either`, to a pair of which one is undefined, so that a function can return early. */
export function errorOrValue<E extends object, T>(
  result: Either<E, T>,
): readonly [E, undefined] | readonly [undefined, T] {
  if (result.isLeft()) return [result.extract(), undefined];
  return [undefined, result.extract() as T];
}

/** An error in one line, for logs and people. */
export function describeError(error: OperationError): string {
  return `${error.step} at ${error.peer}: ${error.reason} (${error.code ?? error.certainty})`;
}

/**
 * Whether an operation may be tried at another node: the error tells of the node that was asked, or nothing is known of
 * its effect. What a majority no longer remembers no other node remembers either.
 */
export function isRetryableElsewhere(error: OperationError): boolean {
  if (error.code === 'forgotten') return false;
  if (error.certainty === 'unknown') return true;
  return error.code !== undefined && isAboutPeer(error.code);
}
