import { Either, Left } from 'purify-ts';

/** How sure we are of what became of a thing that went wrong. */
export type Certainty = 'refused' | 'failed' | 'unknown';

/** An error: the step and the peer at which it arose. */
export interface OperationError {
  step: string;
  peer: string;
  reason: string;
  certainty: Certainty;
  code?: string;
}

/** The value of a step that may go wrong. */
export type Result<T> = Either<OperationError, T>;

/** Makes a fault. */
export function makeError(
  step: string,
  peer: string,
  why: unknown,
  sort: Certainty = 'failed',
  code?: string,
): OperationError {
  return {
    step,
    peer,
    reason: why instanceof Error ? why.message : String(why),
    certainty: sort,
    code,
  };
}

/** Makes the left side from a fault's fields. */
export function failure<T>(
  step: string,
  peer: string,
  why: unknown,
  sort: Certainty = 'failed',
  code?: string,
): Result<T> {
  return Left(makeError(step, peer, why, sort, code));
}

/** Opens an outcome to a pair, so that a function can leave early. */
export function errorOrValue<T>(
  o: Result<T>,
): readonly [OperationError, undefined] | readonly [undefined, T] {
  if (o.isLeft()) return [o.extract(), undefined];
  return [undefined, o.extract() as T];
}

/** A fault in one line, for logs and people. */
export function describeError(f: OperationError): string {
  return `${f.step} at ${f.peer}: ${f.reason} (${f.code ?? f.certainty})`;
}
