/**
 * Cuts a violation down. A part of a history is judged by constraints that are weaker than those of the whole, so a part that
 * fails is a violation by itself:
 * - up to a moment: what had not ended by then is open;
 * - from a moment on: the register may hold anything, changes that were under way are open, and what had ended is left out;
 * - operations without an effect may be left out.
 */
import { linearize } from './linearize';
import { ANY_REGISTER, EMPTY_REGISTER, Operation, RegisterState } from './model';

interface Part {
  operations: Operation[];
  initial: RegisterState;
}

function isViolation(part: Part): boolean {
  return linearize(part.operations, part.initial) === 'violation';
}

function changesState(operation: Operation): boolean {
  return operation.kind === 'set' || operation.kind === 'raise';
}

/** The operations up to a moment. */
function until(operations: Operation[], moment: number): Operation[] {
  const part: Operation[] = [];
  for (const operation of operations) {
    if (operation.end <= moment) part.push(operation);
    else if (operation.start <= moment && changesState(operation))
      part.push({ ...operation, end: Infinity });
  }
  return part;
}

/** The operations from a moment on. */
function from(operations: Operation[], moment: number): Operation[] {
  const part: Operation[] = [];
  for (const operation of operations) {
    if (operation.start >= moment) part.push(operation);
    else if (operation.end >= moment && changesState(operation))
      part.push({ ...operation, end: Infinity });
  }
  return part;
}

/** The first index for which a condition holds that holds for all later ones, too. */
function firstIndex(count: number, holds: (index: number) => boolean): number {
  let low = 0;
  let high = count - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (holds(middle)) high = middle;
    else low = middle + 1;
  }
  return low;
}

function rising(a: number, b: number): number {
  return a - b;
}

function shortestPrefix(operations: Operation[]): Operation[] {
  const ends: number[] = [];
  for (const operation of operations) if (operation.end !== Infinity) ends.push(operation.end);
  ends.sort(rising);
  function failsAt(index: number): boolean {
    return isViolation({ operations: until(operations, ends[index]), initial: EMPTY_REGISTER });
  }
  return until(operations, ends[firstIndex(ends.length, failsAt)]);
}

function shortestSuffix(operations: Operation[]): Part {
  const starts: number[] = [];
  for (const operation of operations) starts.push(operation.start);
  starts.sort(rising).reverse();
  function failsFrom(index: number): boolean {
    return isViolation({ operations: from(operations, starts[index]), initial: ANY_REGISTER });
  }
  const part = {
    operations: from(operations, starts[firstIndex(starts.length, failsFrom)]),
    initial: ANY_REGISTER,
  };
  return isViolation(part) ? part : { operations, initial: EMPTY_REGISTER };
}

function withoutIdle(part: Part): Part {
  let operations = part.operations;
  for (const operation of part.operations) {
    if (changesState(operation)) continue;
    const rest = operations.filter(isOther);
    function isOther(other: Operation): boolean {
      return other !== operation;
    }
    if (isViolation({ operations: rest, initial: part.initial })) operations = rest;
  }
  return { operations, initial: part.initial };
}

/** A short part of a violation that is a violation by itself. */
export function shrinkViolation(operations: Operation[]): Operation[] {
  return withoutIdle(shortestSuffix(shortestPrefix(operations))).operations;
}
