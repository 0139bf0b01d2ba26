import { linearize } from '../../src/shared/history/linearize';
import {
  applyOperation,
  EMPTY_REGISTER,
  Operation,
  OperationKind,
  RegisterState,
} from '../../src/shared/history/model';
import { shrinkViolation } from '../../src/shared/history/shrink';
import { seededDice } from '../../tools/sim/dice';

const HISTORIES = 4000;
const KINDS: OperationKind[] = ['set', 'set', 'read', 'reject', 'raise'];

/** A few operations with small revisions and random times, right or wrong. */
function drawOperations(seed: number): Operation[] {
  const dice = seededDice(seed);
  function below(bound: number): number {
    return Math.floor(dice.next() * bound);
  }
  const operations: Operation[] = [];
  const count = 2 + below(5);
  const span = 4 + below(20);
  for (let index = 0; index < count; index++) {
    const kind = KINDS[below(KINDS.length)];
    const base = below(3);
    const start = below(span);
    const isOpen = (kind === 'set' || kind === 'raise') && below(4) === 0;
    operations.push({
      kind,
      base,
      revision: kind === 'read' ? below(4) : base + 1 + below(2),
      start,
      end: isOpen ? Infinity : start + below(10),
      hash: below(3) === 0 ? undefined : `h${below(2)}`,
      lines: [index],
    });
  }
  return operations;
}

/** Tries all orders. */
function isLinearizable(operations: Operation[], state: RegisterState): boolean {
  function isCompleted(operation: Operation): boolean {
    return operation.end !== Infinity;
  }
  const completed = operations.filter(isCompleted);
  if (completed.length === 0) return true;
  for (const operation of operations) {
    const rest = operations.filter(isOther);
    function isOther(other: Operation): boolean {
      return other !== operation;
    }
    function endedBefore(other: Operation): boolean {
      return other.end < operation.start;
    }
    if (rest.some(endedBefore)) continue;
    const next = applyOperation(state, operation);
    if (next && isLinearizable(rest, next)) return true;
  }
  return false;
}

function sameAsAllOrders(): void {
  const found = { linearizable: 0, violation: 0, undecided: 0 };
  for (let seed = 1; seed <= HISTORIES; seed++) {
    const operations = drawOperations(seed);
    const expected = isLinearizable(operations, EMPTY_REGISTER) ? 'linearizable' : 'violation';
    const result = linearize(operations, EMPTY_REGISTER);
    expect({ seed, result }).toEqual({ seed, result: expected });
    found[result]++;
  }
  expect(found.linearizable).toBeGreaterThan(HISTORIES / 10);
  expect(found.violation).toBeGreaterThan(HISTORIES / 10);
}

/** No wider than the whole, and a violation also where the register held anything before. */
function shrunkPartsFail(): void {
  for (let seed = 1; seed <= HISTORIES; seed++) {
    const operations = drawOperations(seed);
    if (isLinearizable(operations, EMPTY_REGISTER)) continue;
    const part = shrinkViolation(operations);
    expect(part.length).toBeGreaterThan(0);
    expect(part.length).toBeLessThanOrEqual(operations.length);
    const fails = !isLinearizable(part, EMPTY_REGISTER) || !isLinearizable(part, {});
    expect({ seed, fails }).toEqual({ seed, fails: true });
  }
}

test('the search finds what trying all orders finds', sameAsAllOrders);
test('the part that is told of a violation is a violation by itself', shrunkPartsFail);
