/**
 * Additions to tallies, and the form in which they are sent and stored. The field names are sent and stored.
 */

import { isPlainObject } from '../../shared/util/plain-object';

/** One addition. Its dot, the replica that recorded it first and its place in that replica's sequence, is its name. */
export interface Addition {
  /** The incarnation of a controller that recorded it first. */
  readonly replica: string;
  /** Counts that replica's additions from 1. */
  readonly sequence: number;
  readonly tally: string;
  /** The caller's id: within a tally, additions with the same one count once. */
  readonly id: string;
  /** A whole number. */
  readonly amount: number;
}

/** Additions of one replica that follow each other in its sequence, by columns. */
export interface AdditionRun {
  replica: string;
  /** The sequence number of the first one. */
  first: number;
  tallies: string[];
  ids: string[];
  amounts: number[];
}

/** Packs additions as runs, in their order; a run ends where the next addition does not follow. */
export function toRuns(additions: Iterable<Addition>): AdditionRun[] {
  const runs: AdditionRun[] = [];
  for (const addition of additions) {
    let run = runs.at(-1);
    if (!run || !follows(run, addition)) {
      const { replica, sequence } = addition;
      run = { replica, first: sequence, tallies: [], ids: [], amounts: [] };
      runs.push(run);
    }
    run.tallies.push(addition.tally);
    run.ids.push(addition.id);
    run.amounts.push(addition.amount);
  }
  return runs;
}

function follows(run: AdditionRun, { replica, sequence }: Addition): boolean {
  return run.replica === replica && run.first + run.ids.length === sequence;
}

/** The additions of runs. */
export function* additionsOf(runs: Iterable<AdditionRun>): Generator<Addition> {
  for (const { replica, first, tallies, ids, amounts } of runs)
    for (const [index, id] of ids.entries())
      yield {
        replica,
        sequence: first + index,
        tally: tallies[index],
        id,
        amount: amounts[index],
      };
}

/** Whether a received value is a list of runs. */
export function areRuns(value: unknown): value is AdditionRun[] {
  return Array.isArray(value) && value.every(isRun);
}

function isRun(value: unknown): value is AdditionRun {
  if (!isPlainObject(value)) return false;
  const { replica, first, tallies, ids, amounts } = value;
  if (typeof replica !== 'string' || !Number.isSafeInteger(first) || (first as number) < 1)
    return false;
  if (!Array.isArray(tallies) || !Array.isArray(ids) || !Array.isArray(amounts)) return false;
  const isSameLength = tallies.length === ids.length && amounts.length === ids.length;
  return (
    isSameLength &&
    tallies.every(isText) &&
    ids.every(isText) &&
    amounts.every(Number.isSafeInteger)
  );
}

function isText(value: unknown): value is string {
  return typeof value === 'string';
}
