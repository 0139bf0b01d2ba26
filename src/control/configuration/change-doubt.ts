/**
 * Doubt about changes: a change that was attempted before may have been applied already, by whoever did not answer. A
 * conflict may then be with the change itself, and a refusal says nothing of the earlier attempt.
 */

import { isDeepStrictEqual } from 'node:util';
import { Left } from 'purify-ts';
import {
  errorOrValue,
  failure,
  isRetryableElsewhere,
  OperationError,
  Result,
} from '../../shared/errors/errors';
import { IntentsValue } from '../../shared/state/intents';
import { VersionedValue } from '../../shared/state/versions';
import { validateIntents } from './intents-validation';
import { Operation } from './operations';

/** Whether an error may be a conflict of a change with itself. Orders of deployments are remembered, so that they never are. */
function mayConflictWithItself(operation: Operation, error: OperationError): boolean {
  return error.code === 'conflict' && operation.kind !== 'deployment';
}

/** Whether the committed value is what a change on its base has made of it. */
export function isApplied(operation: Operation, committed: VersionedValue | undefined): boolean {
  if (!committed || (operation.kind !== 'voters' && operation.kind !== 'intents')) return false;
  if (committed.number !== operation.basedOn + 1) return false;
  if (operation.kind === 'voters') return isDeepStrictEqual(committed.value, operation.voters);
  const { doc } = committed.value as IntentsValue;
  return isDeepStrictEqual(doc, validateIntents(operation.doc).extract());
}

/** The next value for a change that may have been applied already: a conflict becomes an error of code `in-doubt`. */
export function nextValueInDoubt(operation: Operation, next: Result<unknown>): Result<unknown> {
  const [error] = errorOrValue(next);
  if (!error || !mayConflictWithItself(operation, error)) return next;
  return failure(error.step, error.peer, error.reason, 'unknown', 'in-doubt');
}

/** The owner's refusal of a change that may have been applied already. */
export function refusalInDoubt(operation: Operation, error: OperationError): OperationError {
  return mayConflictWithItself(operation, error)
    ? { ...error, certainty: 'unknown', code: 'in-doubt' }
    : error;
}

/** A change that may have been applied already is not refused by an error that is only about the node that was asked. */
export function withDoubt<T>(result: Result<T>): Result<T> {
  const [error] = errorOrValue(result);
  if (error?.certainty !== 'refused' || !isRetryableElsewhere(error)) return result;
  return Left({ ...error, certainty: 'unknown' });
}
