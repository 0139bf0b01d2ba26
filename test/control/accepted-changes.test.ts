import { Packr } from 'msgpackr';
import {
  DeploymentOperation,
  computeDeployment,
  makeDeploymentOperation,
} from '../../src/control/configuration/deployment-change';
import { MAX_ACCEPTED_CHANGES } from '../../src/control/configuration/accepted-changes';
import { DeploymentValue } from '../../src/shared/state/deployment';
import { OperationError } from '../../src/shared/errors/errors';
import { VersionedValue } from '../../src/shared/state/versions';
import { usersPlatform } from '../../platform/adapter';
import { documentOf } from './deploymentrig';

/** How many orders releases before this one kept. */
const EARLIER_REMEMBERED = 32;

/** A caller's pause, a minute, at ten changes a second. */
const CHANGES_IN_A_PAUSE = 600;

function standing(value: DeploymentValue | undefined): VersionedValue | undefined {
  return value && { key: 'deployment', epoch: 1, by: 'a', number: 1, value };
}

function replace(base: number, revision: number): DeploymentOperation {
  return { kind: 'deployment', base, doc: documentOf(revision, ['/a/']) };
}

function take(value: DeploymentValue | undefined, op: DeploymentOperation): DeploymentValue {
  return computeDeployment(op, standing(value), usersPlatform).extract() as DeploymentValue;
}

function refusal(
  value: DeploymentValue | undefined,
  op: DeploymentOperation,
): Partial<OperationError> {
  const outcome = computeDeployment(op, standing(value), usersPlatform);
  expect(outcome.isLeft()).toBe(true);
  const { code, certainty: sort } = outcome.extract() as OperationError;
  return { code, certainty: sort };
}

/** Takes orders whose revisions are 10, 20, 30 and so on. */
function takeMany(count: number): DeploymentValue {
  let value: DeploymentValue | undefined;
  for (let i = 1; i <= count; i++) value = take(value, replace((i - 1) * 10, i * 10));
  return value!;
}

function sumOf(entry: { sum: string }): string {
  return entry.sum;
}

function knownAfterPause(): void {
  const value = takeMany(CHANGES_IN_A_PAUSE + 1);
  expect(refusal(value, replace(0, 10))).toEqual({ code: 'stands', certainty: 'refused' });
  expect(refusal(value, replace(10, 20)).code).toBe('stands');
}

function olderThanMemory(): void {
  const value = takeMany(MAX_ACCEPTED_CHANGES + 3);
  const oldestBase = 30;
  expect(value.taken.length).toBe(MAX_ACCEPTED_CHANGES);
  expect(value.taken[0]).toMatchObject({ base: oldestBase, revision: oldestBase + 10 });
  expect(refusal(value, replace(10, 20))).toEqual({ code: 'forgotten', certainty: 'unknown' });
  expect(refusal(value, replace(20, oldestBase))).toEqual({
    code: 'forgotten',
    certainty: 'unknown',
  });
  const change = { revision: 20, remove: { routes: ['r-a-'] } };
  expect(refusal(value, { kind: 'deployment', base: 10, change }).code).toBe('forgotten');
}

function neverTaken(): void {
  const value = takeMany(MAX_ACCEPTED_CHANGES + 3);
  const oldestBase = 30;
  const conflict = { code: 'conflict', certainty: 'refused' };
  expect(refusal(value, replace(10, oldestBase + 1))).toEqual(conflict);
  expect(refusal(value, replace(10, 10))).toEqual(conflict);
  expect(refusal(value, replace(10, 5))).toEqual(conflict);
  expect(refusal(value, replace(oldestBase, oldestBase + 5))).toEqual(conflict);
  expect(refusal(value, { kind: 'deployment', base: 10, doc: { revision: 20 } })).toEqual({
    code: 'bad-deployment',
    certainty: 'refused',
  });
}

function wholeIdentity(): void {
  const value = take(take(undefined, replace(0, 10)), replace(10, 20));
  expect(refusal(value, replace(10, 20)).code).toBe('stands');
  expect(refusal(value, replace(20, 20)).code).toBe('bad-deployment');
  expect(refusal(value, replace(0, 20)).code).toBe('conflict');
  expect(refusal(value, replace(5, 20)).code).toBe('conflict');
  expect(refusal(value, replace(20, 10)).code).toBe('bad-deployment');
  const { doc } = replace(10, 20);
  expect(refusal(value, { kind: 'deployment', base: 10, change: doc }).code).toBe('conflict');
}

/** Text that the connections between controllers do not carry as it is. */
const ODD_NOTES = ['"\\ud800"', '{"__proto__":{"a":1}}', '{"10":1,"2":[0.1,1e21,-0]}'];

function asForwarded(op: DeploymentOperation): DeploymentOperation {
  const packr = new Packr({ useRecords: false });
  return packr.unpack(packr.pack(op)) as DeploymentOperation;
}

/** An order may reach the key's owner from its operator, or by way of another controller. */
function identityAsSent(): void {
  const text = JSON.stringify(documentOf(10, ['/a/']));
  for (const note of ODD_NOTES) {
    const body: unknown = JSON.parse(`${text.slice(0, -1)},"note":${note}}`);
    const op = makeDeploymentOperation(0, 'replace', body);
    expect([note, refusal(take(undefined, op), asForwarded(op)).code]).toEqual([note, 'stands']);
    expect([note, refusal(take(undefined, asForwarded(op)), op).code]).toEqual([note, 'stands']);
  }
}

function appendOnly(): void {
  let value = takeMany(MAX_ACCEPTED_CHANGES - 2);
  for (let i = MAX_ACCEPTED_CHANGES - 1; i < MAX_ACCEPTED_CHANGES + 3; i++) {
    const next = take(value, replace((i - 1) * 10, i * 10));
    const dropped = Math.max(0, value.taken.length + 1 - MAX_ACCEPTED_CHANGES);
    expect(next.taken.slice(0, -1)).toEqual(value.taken.slice(dropped));
    expect(next.taken.at(-1)).toMatchObject({ base: value.revision, revision: i * 10 });
    value = next;
  }
  expect(new Set(value.taken.map(sumOf)).size).toBe(MAX_ACCEPTED_CHANGES);
  expect(JSON.stringify(value.taken).length).toBeLessThan(64 * 1024);
}

/** A value as earlier releases wrote it: without bases, and with the last few orders only. */
function earlierValue(count: number): DeploymentValue {
  const value = takeMany(count);
  function withoutBase(entry: { revision: number; sum: string }): {
    revision: number;
    sum: string;
  } {
    return { revision: entry.revision, sum: entry.sum };
  }
  return { ...value, taken: value.taken.map(withoutBase).slice(-EARLIER_REMEMBERED) };
}

function earlierWhole(): void {
  const value = earlierValue(EARLIER_REMEMBERED - 1);
  const newest = value.revision;
  for (const v of [value, take(value, replace(newest, newest + 10))]) {
    expect(refusal(v, replace(0, 10)).code).toBe('stands');
    expect(refusal(v, replace(newest - 10, newest)).code).toBe('stands');
    expect(refusal(v, replace(0, newest)).code).toBe('conflict');
    expect(refusal(v, replace(newest, newest)).code).not.toBe('stands');
    expect(refusal(v, replace(0, 5)).code).toBe('conflict');
  }
}

function earlierPartial(): void {
  const value = earlierValue(EARLIER_REMEMBERED + 5);
  const newest = value.revision;
  const next = take(value, replace(newest, newest + 10));
  for (const v of [value, next]) {
    expect(refusal(v, replace(60, 70)).code).toBe('stands');
    expect(refusal(v, replace(50, 60)).code).toBe('forgotten');
    expect(refusal(v, replace(10, 20)).code).toBe('forgotten');
    expect(refusal(v, replace(60, 65)).code).toBe('conflict');
    expect(refusal(v, replace(10, 75)).code).toBe('conflict');
  }
  for (const entry of next.taken) expect(typeof entry.base).toBe('number');
}

test('an order that was taken is known again after 600 more changes', knownAfterPause);
test(
  'an order that builds on less than is remembered, and may have been taken, is left open',
  olderThanMemory,
);
test('an order that was certainly never taken is refused, however old its base', neverTaken);
test('an order is its path, its base and its body: none of them may differ', wholeIdentity);
test('orders are remembered in their order, each once, within 64 KiB', appendOnly);
test('orders that an earlier release kept without their bases are known', earlierWhole);
test(
  'where an earlier release kept a part of the orders, older ones are left open',
  earlierPartial,
);
test('an order is known by what was sent, whichever way it came', identityAsSent);
