import { Either, Left } from 'purify-ts';

/** How sure we are of what became of a thing that went wrong. */
export type FaultClass = 'refused' | 'failed' | 'unknown';

/** An error: the step and the peer at which it arose. */
export interface Fault {
  step: string;
  peer: string;
  why: string;
  sort: FaultClass;
  code?: string;
}

/** The value of a step that may go wrong. */
export type Outcome<T> = Either<Fault, T>;

/** Makes a fault. */
export function makeFault(
  step: string,
  peer: string,
  why: unknown,
  sort: FaultClass = 'failed',
  code?: string,
): Fault {
  return { step, peer, why: why instanceof Error ? why.message : String(why), sort, code };
}

/** Makes the left side from a fault's fields. */
export function bad<T>(
  step: string,
  peer: string,
  why: unknown,
  sort: FaultClass = 'failed',
  code?: string,
): Outcome<T> {
  return Left(makeFault(step, peer, why, sort, code));
}

/** Opens an outcome to a pair, so that a function can leave early. */
export function open<T>(o: Outcome<T>): readonly [Fault, undefined] | readonly [undefined, T] {
  if (o.isLeft()) return [o.extract(), undefined];
  return [undefined, o.extract() as T];
}

/** A fault in one line, for logs and people. */
export function sayFault(f: Fault): string {
  return `${f.step} at ${f.peer}: ${f.why} (${f.code ?? f.sort})`;
}
