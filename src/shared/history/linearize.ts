/**
 * The search for a linearization: J. Wing and C. Gong, "Testing and Verifying Concurrent Objects" (Journal of Parallel and
 * Distributed Computing 17, 1993), with the memoization of configurations of G. Lowe, "Testing for linearizability"
 * (Concurrency and Computation: Practice and Experience 29(4), 2017). A configuration is the set of completed operations that
 * were linearized, and the state of the register.
 *
 * Two things follow from the model and keep the search small. An operation that may come next and changes nothing is
 * linearized at once, for it can be moved to the front of any linearization. Revisions only rise, so an open operation can't
 * take effect twice, and configurations need not tell which open operations did.
 */
import { applyOperation, Operation, RegisterState } from './model';

/** Configurations that are looked at before the search gives up. */
export const MOST_CONFIGURATIONS = 2_000_000;

/** What the search found; `undecided` where it gave up. */
export type Linearizability = 'linearizable' | 'violation' | 'undecided';

interface Configuration {
  /** All completed operations before this index are linearized. */
  first: number;
  /** The linearized ones behind it, in rising order. */
  ahead: number[];
  state: RegisterState;
}

function byStart(a: Operation, b: Operation): number {
  return a.start - b.start;
}

function isCompleted(operation: Operation): boolean {
  return operation.end !== Infinity;
}

function isOpen(operation: Operation): boolean {
  return operation.end === Infinity;
}

function textOf(configuration: Configuration): string {
  const { first, ahead, state } = configuration;
  return `${first}:${ahead.join()}:${state.revision}:${state.atLeast}:${state.hash}`;
}

/** The configuration after one more completed operation was linearized. */
function withLinearized(
  configuration: Configuration,
  index: number,
  state: RegisterState,
): Configuration {
  const linearized = new Set([...configuration.ahead, index]);
  let first = configuration.first;
  while (linearized.delete(first)) first++;
  function rising(a: number, b: number): number {
    return a - b;
  }
  return { first, ahead: [...linearized].sort(rising), state };
}

/** The indexes of the completed operations that may be linearized next: no other one ended before they began. */
function candidatesOf(configuration: Configuration, completed: Operation[]): number[] {
  const candidates: number[] = [];
  const ahead = new Set(configuration.ahead);
  let firstEnd = Infinity;
  for (let index = configuration.first; index < completed.length; index++) {
    if (completed[index].start > firstEnd) break;
    if (ahead.has(index)) continue;
    candidates.push(index);
    firstEnd = Math.min(firstEnd, completed[index].end);
  }
  return candidates;
}

function firstEndOf(candidates: number[], completed: Operation[]): number {
  let firstEnd = Infinity;
  for (const index of candidates) firstEnd = Math.min(firstEnd, completed[index].end);
  return firstEnd;
}

function successorsOf(
  configuration: Configuration,
  completed: Operation[],
  open: Operation[],
): Configuration[] {
  const candidates = candidatesOf(configuration, completed);
  const successors: Configuration[] = [];
  for (const index of candidates) {
    const state = applyOperation(configuration.state, completed[index]);
    if (!state) continue;
    const next = withLinearized(configuration, index, state);
    if (state === configuration.state) return [next];
    successors.push(next);
  }
  const until = firstEndOf(candidates, completed);
  for (const operation of open) {
    if (operation.start > until) break;
    const state = applyOperation(configuration.state, operation);
    if (state && state !== configuration.state) successors.push({ ...configuration, state });
  }
  return successors;
}

/** Looks for an order of the operations that the register allows and that keeps to their times. */
export function linearize(operations: Operation[], initial: RegisterState): Linearizability {
  const completed = operations.filter(isCompleted).sort(byStart);
  const open = operations.filter(isOpen).sort(byStart);
  const start: Configuration = { first: 0, ahead: [], state: initial };
  const seen = new Set<string>([textOf(start)]);
  const stack = [start];
  while (stack.length > 0) {
    const configuration = stack.pop()!;
    if (configuration.first === completed.length) return 'linearizable';
    for (const next of successorsOf(configuration, completed, open).reverse()) {
      const text = textOf(next);
      if (seen.has(text)) continue;
      if (seen.size >= MOST_CONFIGURATIONS) return 'undecided';
      seen.add(text);
      stack.push(next);
    }
  }
  return 'violation';
}
