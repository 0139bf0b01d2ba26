/** The sequential specification: a compare-and-set register, and one whose revisions only rise. */

/** What a register holds. An undefined revision may be any; an undefined hash belongs to a document that was not recorded. */
export interface RegisterState {
  revision?: number;
  hash?: string;
  /** A revision that is not below this one, where it is not known. */
  atLeast?: number;
}

/** What one operation does in the model. `set` needs its base, `raise` never lowers, `read` and `reject` change nothing. */
export type OperationKind = 'set' | 'raise' | 'read' | 'reject';

/** An operation on a register that must take effect at one moment from its start to its end. */
export interface Operation {
  kind: OperationKind;
  start: number;
  /** Infinity for an operation that may take effect at any later time, or never. */
  end: number;
  base: number;
  revision: number;
  hash?: string;
  /** The lines that the operation was made of. */
  lines: number[];
}

/** A register before its first change. */
export const EMPTY_REGISTER: RegisterState = { revision: 0 };

/** A register of which nothing is known. */
export const ANY_REGISTER: RegisterState = {};

/** A register's next state, or undefined where the operation can't happen in this one. An operation without an effect returns the same object. */
export function applyOperation(
  state: RegisterState,
  operation: Operation,
): RegisterState | undefined {
  switch (operation.kind) {
    case 'set':
      return applySet(state, operation);
    case 'raise':
      return applyRaise(state, operation);
    case 'read':
      return applyRead(state, operation);
    case 'reject':
      return state.revision === operation.base ? undefined : state;
  }
}

function applySet(state: RegisterState, operation: Operation): RegisterState | undefined {
  const isOnBase = state.revision === undefined || state.revision === operation.base;
  if (!isOnBase || operation.revision <= operation.base) return undefined;
  return { revision: operation.revision, hash: operation.hash };
}

function applyRaise(state: RegisterState, operation: Operation): RegisterState {
  if (operation.revision <= (state.revision ?? state.atLeast ?? -1)) return state;
  if (state.revision === undefined) return { atLeast: operation.revision };
  return { revision: operation.revision, hash: operation.hash };
}

function applyRead(state: RegisterState, operation: Operation): RegisterState | undefined {
  if (state.revision === undefined) {
    const isTooLow = operation.revision < (state.atLeast ?? 0);
    return isTooLow ? undefined : { revision: operation.revision, hash: operation.hash };
  }
  if (state.revision !== operation.revision) return undefined;
  if (operation.hash === undefined || state.hash === operation.hash) return state;
  return state.hash === undefined ? { ...state, hash: operation.hash } : undefined;
}
