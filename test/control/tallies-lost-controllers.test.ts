/**
 * Additions while most of the core is down: what is acknowledged outlasts the loss of two disks, whatever took the other
 * controllers away. Only a cut lets one copy do.
 */

import { Proc } from '../../tools/sim/process';
import { LOSSES, loseDisk } from './controller-losses';
import {
  cutOff,
  cutZones,
  killProcesses,
  NOTICED_MS,
  restart,
  startedCore,
  statusOfAdding,
  TallyRig,
  totals,
} from './tallies-rig';

const MERGE_MS = 3000;
const RECOVERY_MS = 6000;
/** Between the trouble and the calls: a moment, as long as connections that end are waited for, and well beyond any notice. */
const CALLS_AFTER_MS = [20, 450, 2 * NOTICED_MS];
const ROUNDS = 3;
const ROUTER_COUNTS = [0, 2];
const HELD_UP_MS = 6000;

/** Adds to a tally at one controller, each time by another id; the sum of what is acknowledged. */
class Additions {
  acknowledged = 0;
  private count = 0;

  constructor(private readonly rig: TallyRig) {}

  async add(controller: number, amount: number): Promise<number | undefined> {
    const id = `id-${this.count++}`;
    const status = await statusOfAdding(this.rig, controller, 't', id, amount);
    if (status === 200) this.acknowledged += amount;
    return status;
  }

  async expectAll(): Promise<void> {
    for (const total of await totals(this.rig, 't'))
      expect(total).toBeGreaterThanOrEqual(this.acknowledged);
  }
}

// Guards against LOST: while the other controllers are gone, one acknowledges with its own copy only, and its disk is lost.
async function oneLeftOfFive(name: string, routersPerZone: number): Promise<void> {
  const rig = await startedCore(61, routersPerZone);
  const additions = new Additions(rig);
  const { take, giveBack } = LOSSES[name];
  for (let round = 0; round < ROUNDS; round++) {
    const left = round % rig.core.length;
    const others = rig.core.filter(isOther.bind(undefined, rig.core[left]));
    expect(await additions.add(left, 1)).toBe(200);
    take(rig, others);
    await rig.pass(CALLS_AFTER_MS[round % CALLS_AFTER_MS.length]);
    for (let i = 0; i < 3; i++) await additions.add(left, 100);
    loseDisk(rig, rig.core[left]);
    giveBack(rig, others);
    await rig.pass(100);
    restart(rig, [rig.core[left]]);
    await rig.pass(RECOVERY_MS + MERGE_MS);
    await additions.expectAll();
  }
}

function isOther(proc: Proc, other: Proc): boolean {
  return proc !== other;
}

// Guards against LOST: two controllers are left, and both lose their disks.
async function twoLeftOfFive(name: string, routersPerZone: number): Promise<void> {
  const rig = await startedCore(62, routersPerZone);
  const additions = new Additions(rig);
  const { take, giveBack } = LOSSES[name];
  const [first, second, ...others] = rig.core;
  expect(await additions.add(0, 1)).toBe(200);
  take(rig, others);
  await rig.pass(NOTICED_MS);
  for (let i = 0; i < 4; i++) await additions.add(i % 2, 100);
  for (const proc of [first, second]) loseDisk(rig, proc);
  giveBack(rig, others);
  await rig.pass(100);
  restart(rig, [first, second]);
  await rig.pass(RECOVERY_MS + MERGE_MS);
  await additions.expectAll();
}

// Guards against LOST: a controller that starts while no other runs acknowledges before it has met any.
async function theFirstToStartOfAll(): Promise<void> {
  for (const routersPerZone of ROUTER_COUNTS) {
    const rig = await startedCore(63, routersPerZone);
    const additions = new Additions(rig);
    const [first, ...others] = rig.core;
    expect(await additions.add(0, 1)).toBe(200);
    killProcesses(rig, rig.core);
    restart(rig, [first]);
    for (let i = 0; i < 10; i++) {
      await additions.add(0, 100);
      await rig.pass(MERGE_MS / 6);
    }
    loseDisk(rig, first);
    restart(rig, others);
    await rig.pass(100);
    restart(rig, [first]);
    await rig.pass(RECOVERY_MS + MERGE_MS);
    await additions.expectAll();
  }
}

// Guards against LOST: a process that was held up finds all connections silent, and takes this for a cut.
async function aControllerThatWasHeldUp(): Promise<void> {
  for (const isSuspended of [false, true]) {
    const rig = await startedCore(64);
    const additions = new Additions(rig);
    const [first, ...others] = rig.core;
    expect(await additions.add(0, 1)).toBe(200);
    rig.w.freeze(first, isSuspended);
    await rig.pass(HELD_UP_MS);
    killProcesses(rig, others);
    rig.w.wake(first);
    for (let i = 0; i < 10; i++) {
      await additions.add(0, 100);
      await rig.pass(40);
    }
    loseDisk(rig, first);
    restart(rig, others);
    await rig.pass(100);
    restart(rig, [first]);
    await rig.pass(RECOVERY_MS + MERGE_MS);
    await additions.expectAll();
  }
}

// Guards against LOST: once a cut has healed, what was taken for cut off counts as reachable again, also where it goes down.
async function aHealedCutIsNoCut(): Promise<void> {
  const rig = await startedCore(65);
  const additions = new Additions(rig);
  const [first, ...others] = rig.core;
  cutOff(rig, [0], true);
  await rig.pass(NOTICED_MS);
  expect(await additions.add(0, 1)).toBe(200);
  cutOff(rig, [0], false);
  await rig.pass(MERGE_MS);
  killProcesses(rig, others);
  await rig.pass(NOTICED_MS);
  for (let i = 0; i < 3; i++) await additions.add(0, 100);
  loseDisk(rig, first);
  restart(rig, others);
  await rig.pass(100);
  restart(rig, [first]);
  await rig.pass(RECOVERY_MS + MERGE_MS);
  await additions.expectAll();
}

// Guards against LOST: routers that ended long ago are no evidence that their zone is cut off when its controller goes.
async function zonesWhoseRoutersAreGone(): Promise<void> {
  const rig = await startedCore(66);
  const additions = new Additions(rig);
  const [first, ...others] = rig.core;
  for (const routers of rig.routers.slice(1)) killProcesses(rig, routers);
  await rig.pass(2 * NOTICED_MS);
  expect(await additions.add(0, 1)).toBe(200);
  killProcesses(rig, others);
  await rig.pass(2 * NOTICED_MS);
  for (let i = 0; i < 3; i++) expect(await additions.add(0, 100)).toBe(503);
  loseDisk(rig, first);
  restart(rig, others);
  await rig.pass(100);
  restart(rig, [first]);
  await rig.pass(RECOVERY_MS + MERGE_MS);
  await additions.expectAll();
}

// Guards against SHORT: a zone that is cut off, both ways or one way, several times, goes on with one copy.
async function cutZonesGoOn(): Promise<void> {
  const rig = await startedCore(67);
  const additions = new Additions(rig);
  for (const isOneWay of [false, true, false]) {
    for (const other of [1, 2, 3, 4]) {
      cutZones(rig, 0, other, true);
      if (!isOneWay) cutZones(rig, other, 0, true);
    }
    await rig.pass(NOTICED_MS);
    for (const controller of rig.core.keys()) expect(await additions.add(controller, 1)).toBe(200);
    for (const other of [1, 2, 3, 4]) {
      cutZones(rig, 0, other, false);
      cutZones(rig, other, 0, false);
    }
    await rig.pass(MERGE_MS);
    expect(await totals(rig, 't')).toEqual(Array(5).fill(additions.acknowledged));
  }
}

// Guards against a broken promise: 503 tells that nothing was done, so what it answers is in no total, and is not known.
async function aRefusalDoesNothing(): Promise<void> {
  const rig = await startedCore(68, 0);
  const [, ...others] = rig.core;
  expect(await statusOfAdding(rig, 0, 't', 'first', 1)).toBe(200);
  killProcesses(rig, others);
  await rig.pass(NOTICED_MS);
  for (let i = 0; i < 3; i++) expect(await statusOfAdding(rig, 0, 't', `id-${i}`, 100)).toBe(503);
  restart(rig, others);
  await rig.pass(RECOVERY_MS + MERGE_MS);
  expect(await totals(rig, 't')).toEqual(Array(5).fill(1));
}

// Guards against LOST and SHORT: a controller that starts in a cut knows nothing of the other zones; it refuses, and goes on after the heal.
async function aStartInTheMiddleOfACut(): Promise<void> {
  const rig = await startedCore(69);
  const additions = new Additions(rig);
  const [first] = rig.core;
  expect(await additions.add(0, 1)).toBe(200);
  cutOff(rig, [0], true);
  await rig.pass(NOTICED_MS);
  expect(await additions.add(0, 1)).toBe(200);
  killProcesses(rig, [first]);
  restart(rig, [first]);
  await rig.pass(MERGE_MS);
  expect(await additions.add(0, 100)).toBe(503);
  expect(await additions.add(1, 1)).toBe(200);
  cutOff(rig, [0], false);
  await rig.pass(MERGE_MS);
  expect(await additions.add(0, 1)).toBe(200);
  await rig.pass(MERGE_MS);
  expect(await totals(rig, 't')).toEqual(Array(5).fill(4));
}

for (const name of Object.keys(LOSSES))
  for (const count of ROUTER_COUNTS) {
    test(
      `one is left of five, ${name}, ${count} routers in a zone`,
      oneLeftOfFive.bind(undefined, name, count),
    );
    test(
      `two are left of five, ${name}, ${count} routers in a zone`,
      twoLeftOfFive.bind(undefined, name, count),
    );
  }
test('the first to start of all', theFirstToStartOfAll);
test('a controller that was held up', aControllerThatWasHeldUp);
test('a healed cut is no cut', aHealedCutIsNoCut);
test('zones whose routers are gone', zonesWhoseRoutersAreGone);
test('cut zones go on', cutZonesGoOn);
test('a start in the middle of a cut', aStartInTheMiddleOfACut);
test('a refusal does nothing', aRefusalDoesNothing);
