/**
 * A change that comes twice to one node, and what its sender may conclude from a refusal.
 */

import { Left, Right } from 'purify-ts';
import { AttemptedChanges } from '../../src/control/configuration/attempted-changes';
import { Operation } from '../../src/control/configuration/operations';
import { Certainty, errorOrValue, makeError, Result } from '../../src/shared/errors/errors';

const NAMING: Operation = { kind: 'weights', model: 'm', weights: 'w2', rank: 2 };
const OTHER_NAMING: Operation = { ...NAMING, weights: 'w3', rank: 3 };
const BACKGROUND: Operation = { kind: 'engines', engines: [] };

const MADE: Result<string> = Right('made');
const NO_QUORUM: Result<string> = Left(
  makeError('accept', 'node-2', 'said no', 'unknown', 'no-quorum'),
);
const NOT_ACQUIRED: Result<string> = Left(
  makeError('own', 'node-2', 'said no', 'refused', 'no-quorum'),
);
const INVALID: Result<string> = Left(
  makeError('apply', 'node-2', 'has faults', 'refused', 'bad-deployment'),
);

/** An attempt that ends when it is told to. */
class HeldAttempt {
  private end: (result: Result<string>) => void = unbegun;
  readonly start = this.begin.bind(this);

  finish(result: Result<string>): void {
    this.end(result);
  }

  private begin(): Promise<Result<string>> {
    return new Promise(this.onBegun.bind(this));
  }

  private onBegun(end: (result: Result<string>) => void): void {
    this.end = end;
  }
}

function unbegun(): never {
  throw new Error('the attempt has not begun');
}

function endingAs(result: Result<string>): () => Promise<Result<string>> {
  function attempt(): Promise<Result<string>> {
    return Promise.resolve(result);
  }
  return attempt;
}

function certaintyOf(result: Result<string>): Certainty | undefined {
  const [error] = errorOrValue(result as unknown as Result<object>);
  return error?.certainty;
}

async function refusedAfter(first: Result<string>, second: Operation): Promise<unknown> {
  const attempts = new AttemptedChanges();
  await attempts.run(NAMING, endingAs(first));
  return certaintyOf(await attempts.run(second, endingAs(NOT_ACQUIRED)));
}

async function doubled(): Promise<void> {
  const attempts = new AttemptedChanges();
  const first = new HeldAttempt();
  const firstResult = attempts.run(NAMING, first.start);
  const second = await attempts.run(NAMING, endingAs(NOT_ACQUIRED));
  expect(certaintyOf(second)).toBe('unknown');
  first.finish(NO_QUORUM);
  expect(certaintyOf(await firstResult)).toBe('unknown');
}

async function afterUnknown(): Promise<void> {
  expect(await refusedAfter(NO_QUORUM, NAMING)).toBe('unknown');
}

async function afterSuccess(): Promise<void> {
  expect(await refusedAfter(MADE, NAMING)).toBe('unknown');
}

async function certainRefusals(): Promise<void> {
  expect(await refusedAfter(NOT_ACQUIRED, NAMING)).toBe('refused');
  expect(await refusedAfter(NO_QUORUM, OTHER_NAMING)).toBe('refused');
}

async function verdicts(): Promise<void> {
  const attempts = new AttemptedChanges();
  await attempts.run(NAMING, endingAs(NO_QUORUM));
  expect(await attempts.run(NAMING, endingAs(INVALID))).toEqual(INVALID);
}

async function background(): Promise<void> {
  const attempts = new AttemptedChanges();
  await attempts.run(BACKGROUND, endingAs(NO_QUORUM));
  expect(certaintyOf(await attempts.run(BACKGROUND, endingAs(NOT_ACQUIRED)))).toBe('refused');
}

function tests(): void {
  // Guards against a change that was told as refused and came into force, as its double had been accepted by a disk.
  test('a change that comes twice is not refused while its double is in progress', doubled);
  test('nor after its double ended with unknown effect', afterUnknown);
  test('nor after its double was made', afterSuccess);
  test('a change is refused where no other attempt may have had an effect', certainRefusals);
  test('a verdict on the change itself stays as it is', verdicts);
  test('changes of background tasks are not remembered', background);
}
describe('attempts at one change', tests);
