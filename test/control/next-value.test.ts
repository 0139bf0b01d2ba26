import {
  isApplied,
  nextValueInDoubt,
  withDoubt,
} from '../../src/control/configuration/change-doubt';
import { computeNextValue } from '../../src/control/configuration/next-value';
import { controlKeyOf, Operation } from '../../src/control/configuration/operations';
import { errorOrValue, failure, Result } from '../../src/shared/errors/errors';
import { IntentsValue } from '../../src/shared/state/intents';
import { VersionedValue } from '../../src/shared/state/versions';

const DOCUMENT = { tenants: [{ id: 't', sharing: 'walled' }], models: [{ id: 'm' }] };

function committed(operation: Operation, number: number, value: unknown): VersionedValue {
  return { key: controlKeyOf(operation), epoch: 1, by: 'a', number, value };
}

function codeOf(result: Result<unknown>): string | undefined {
  const [error] = errorOrValue(result);
  return error?.code;
}

function comparesAndSets(): void {
  const intents: Operation = { kind: 'intents', basedOn: 2, doc: DOCUMENT };
  const voters: Operation = { kind: 'voters', basedOn: 2, voters: { now: [] } };
  for (const operation of [intents, voters]) {
    expect(codeOf(computeNextValue(operation, undefined))).toBe('conflict');
    expect(codeOf(computeNextValue(operation, committed(operation, 3, {})))).toBe('conflict');
    expect(computeNextValue(operation, committed(operation, 2, undefined)).isRight()).toBe(true);
  }
  const invalid: Operation = { kind: 'intents', basedOn: 0, doc: { other: [] } };
  expect(codeOf(computeNextValue(invalid, undefined))).toBe('bad-intents');
}

function tenantKeys(): void {
  const add: Operation = { kind: 'key-add', tenant: 't', id: 'k1', hash: 'h1' };
  const first = computeNextValue(add, undefined).extract();
  expect(first).toEqual({ tenant: 't', keys: [{ id: 'k1', hash: 'h1' }] });
  const both = computeNextValue({ ...add, id: 'k2', hash: 'h2' }, committed(add, 1, first));
  const replaced = computeNextValue({ ...add, hash: 'h3' }, committed(add, 2, both.extract()));
  expect(replaced.extract()).toEqual({
    tenant: 't',
    keys: [
      { id: 'k2', hash: 'h2' },
      { id: 'k1', hash: 'h3' },
    ],
  });
  const drop: Operation = { kind: 'key-drop', tenant: 't', id: 'k2' };
  const dropped = computeNextValue(drop, committed(drop, 3, replaced.extract()));
  expect(dropped.extract()).toEqual({ tenant: 't', keys: [{ id: 'k1', hash: 'h3' }] });
}

function retiredWeights(): void {
  const operation: Operation = { kind: 'weights-end', model: 'm', ended: ['1'] };
  expect(codeOf(computeNextValue(operation, undefined))).toBe('conflict');
  const named = { model: 'm', weights: '3', older: ['1', '2'] };
  expect(computeNextValue(operation, committed(operation, 1, named)).extract()).toEqual({
    ...named,
    older: ['2'],
  });
}

function singletonRoles(): void {
  const acquire: Operation = { kind: 'duty', duty: 'r', holder: 'b', at: 'b:1', basedOn: 4 };
  const held = { holder: 'a', at: 'a:1', fence: 3 };
  expect(computeNextValue(acquire, committed(acquire, 4, held)).extract()).toEqual({
    holder: 'b',
    at: 'b:1',
    fence: 5,
  });
  expect(codeOf(computeNextValue(acquire, committed(acquire, 5, held)))).toBe('conflict');
  const confirm: Operation = { kind: 'duty', duty: 'r', holder: 'a', at: 'a:1' };
  expect(computeNextValue(confirm, committed(confirm, 9, held)).extract()).toBe(held);
}

function appliedBefore(): void {
  const operation: Operation = { kind: 'intents', basedOn: 2, doc: DOCUMENT };
  const value = computeNextValue(operation, committed(operation, 2, undefined)).extract();
  expect(isApplied(operation, committed(operation, 3, value))).toBe(true);
  expect(isApplied(operation, committed(operation, 4, value))).toBe(false);
  expect(isApplied(operation, undefined)).toBe(false);
  const { doc } = value as IntentsValue;
  const other = { ...(value as IntentsValue), doc: { ...doc, models: [] } };
  expect(isApplied(operation, committed(operation, 3, other))).toBe(false);
}

function doubt(): void {
  const conflict = failure<unknown>('apply', 'k', 'other', 'refused', 'conflict');
  const voters: Operation = { kind: 'voters', basedOn: 2, voters: { now: [] } };
  const deployment: Operation = { kind: 'deployment', base: 2 };
  expect(codeOf(nextValueInDoubt(voters, conflict))).toBe('in-doubt');
  expect(codeOf(nextValueInDoubt(deployment, conflict))).toBe('conflict');
  const [busy] = errorOrValue(withDoubt(failure('change', 'n', 'no', 'refused', 'no-quorum')));
  expect(busy?.certainty).toBe('unknown');
  const [refused] = errorOrValue(withDoubt(conflict));
  expect(refused?.certainty).toBe('refused');
}

test('values are replaced only on the revision that an operation builds on', comparesAndSets);
test('keys of a tenant are added, replaced by id, and removed', tenantKeys);
test('only the weights that are named as retired are', retiredWeights);
test('a role is acquired on its last number, under a new fencing token', singletonRoles);
test('a change that was applied before is recognized by its value and number', appliedBefore);
test('a conflict of a change that may have been applied leaves it in doubt', doubt);
