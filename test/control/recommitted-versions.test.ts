/**
 * A value that a later owner commits anew, unchanged: it is no news, and it bars no follower from its lease.
 */

import { makeVersionHistory } from '../../src/control/leases/version-history';
import {
  InlineChange,
  isCurrent,
  isAtLeast,
  readChange,
} from '../../src/shared/replication/change-message';
import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { VersionedValue } from '../../src/shared/state/versions';
import { back, lose, makeOperator, running, until } from '../../tools/sim/simcore';
import { SimFleet } from '../../tools/sim/simfleet';
import { all, applied, CORE, founded } from './voter-set-rig';

const VALUE = { routes: Array.from({ length: 200 }, nameOf) };

function nameOf(_: unknown, index: number): { name: string; path: string } {
  return { name: `route-${index}`, path: `/a/long/enough/path/${index}/` };
}

function version(epoch: number, by: string, number: number, value: unknown): VersionedValue {
  return { key: 'k', epoch, by, number, value };
}

function sameNumber(): void {
  const held = version(1, 'a', 5, VALUE);
  const anew = version(4, 'b', 5, VALUE);
  expect({ current: isCurrent(held, anew), reached: isAtLeast(held, anew) }).toEqual({
    current: true,
    reached: false,
  });
  expect(isCurrent(held, version(4, 'b', 6, VALUE))).toBe(false);
  expect(isCurrent(undefined, anew)).toBe(false);
}

/** A controller that started anew knows the value by the later epoch only; a follower holds it by the earlier one. */
function deltaAcrossEpochs(): void {
  const history = makeVersionHistory();
  const anew = version(4, 'b', 5, VALUE);
  const next = version(4, 'b', 6, { routes: [...VALUE.routes, nameOf(0, 200)] });
  history.note(anew);
  history.note(next);
  const held = version(1, 'a', 5, VALUE);
  const message = history.messageFor(next, held, false) as InlineChange;
  expect(message.kind).toBe('delta');
  expect(readChange(held, message)).toEqual(next);
}

function ownersOf(fleet: SimFleet): Set<string> {
  const owners = new Set<string>();
  for (const controller of running(fleet)) {
    const learned = controller.store.registers.get(CONTROL_KEYS.intents)?.learned;
    if (learned) owners.add(learned.by);
  }
  return owners;
}

function isJoint(fleet: SimFleet): boolean {
  for (const controller of running(fleet)) if (controller.voters()?.next) return true;
  return false;
}

/** While a joint set stands, keys are committed anew by the owners that they have. */
async function ownersStay(): Promise<void> {
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const fleet = await founded(seed, 5, 2);
    const operator = makeOperator(fleet);
    await applied(fleet, operator);
    lose(fleet, 'core-2', true);
    lose(fleet, 'core-4', true);
    await fleet.w.run(fleet.w.now() + 1500);
    const before = ownersOf(fleet);
    expect(before.size).toBe(1);
    back(fleet, 'core-2');
    back(fleet, 'core-4');
    function begun(): boolean {
      return isJoint(fleet);
    }
    expect(await until(fleet, fleet.w.now() + 5000, begun, 1)).toBeDefined();
    const seen = new Set<string>();
    while (isJoint(fleet)) {
      for (const by of ownersOf(fleet)) seen.add(by);
      await fleet.w.run(fleet.w.now() + 1);
    }
    expect({ seed, seen: [...seen] }).toEqual({ seed, seen: [...before] });
    expect(
      await until(fleet, fleet.w.now() + 5000, all(fleet, [...CORE, 'core-4', 'core-5']), 5),
    ).toBeDefined();
  }
}

test('a version that was committed anew is current, one with a later number is not', sameNumber);
test('a difference goes to a follower that holds the value by an earlier epoch', deltaAcrossEpochs);
test('the owners of keys stay the same while a joint set stands', ownersStay);
