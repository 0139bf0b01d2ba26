/**
 * Voters that lose their disks and are replaced by new ones, with further faults meanwhile.
 */

import { Right } from 'purify-ts';
import { Controller } from '../../src/control/controller';
import { Result } from '../../src/shared/errors/errors';
import { syncReplica } from '../../src/control/consensus/replica-sync';
import { RegisterState, ControlStore } from '../../src/control/storage/control-store';
import { isVoter, Voter } from '../../src/shared/state/voter-set';
import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { VersionedValue } from '../../src/shared/state/versions';
import { asked, back, lose, makeOperator, procOf, running, until } from '../../tools/sim/simcore';
import { SimFleet } from '../../tools/sim/simfleet';
import { all, applied, CORE, founded } from './voter-set-rig';

const FIVE_VOTERS = [...CORE, 'core-4', 'core-5'];
/** Keys that go on changing by themselves. */
const CHANGING_KEYS = [CONTROL_KEYS.duty, CONTROL_KEYS.engines, CONTROL_KEYS.voters];
/** How much slower than others a newcomer's disk is. */
const SLOW_DISK_FACTOR = 30;
/** What a disk that is not slow needs for two syncs, one after the other. */
const SYNC_MS = 8;

function isJoint(controller: Controller): boolean {
  return controller.voters()?.next !== undefined;
}

/** Whether some running controller knows the set that ends a joint one, with a machine's new disk in it. */
function hasJoined(fleet: SimFleet, name: string): boolean {
  const disk = fleet.controllers.get(name)?.store.diskId;
  function knows(controller: Controller): boolean {
    const voterSet = controller.voters();
    return voterSet !== undefined && !voterSet.next && voterSet.now.some(isNew);
  }
  function isNew(voter: Voter): boolean {
    return voter.disk === disk;
  }
  return disk !== undefined && running(fleet).some(knows);
}

async function addTenantKeys(fleet: SimFleet, count: number): Promise<void> {
  for (let i = 0; i < count; i++)
    expect((await asked(fleet, 'POST', `/v1/keys/tenant-${i}`)).status).toBeLessThan(300);
}

function isChanging(key: string): boolean {
  function begins(prefix: string): boolean {
    return key.startsWith(prefix);
  }
  return CHANGING_KEYS.some(begins);
}

function restingValues(controller: Controller): VersionedValue[] {
  const out: VersionedValue[] = [];
  for (const [key, register] of controller.store.registers)
    if (register.learned && !isChanging(key)) out.push(register.learned);
  return out;
}

/** Starts a machine again whose disk was lost, with a slow one. */
function restartWithSlowDisk(fleet: SimFleet, name: string): void {
  procOf(fleet, name).disk.slow = SLOW_DISK_FACTOR;
  back(fleet, name);
}

/** Whether a disk holds a change or a later one; a takeover gives the same change a higher epoch, and may come from the newcomer itself. */
function holdsChange(learned: VersionedValue | undefined, change: VersionedValue): boolean {
  if (!learned || learned.number < change.number) return false;
  const isSame = JSON.stringify(learned.value) === JSON.stringify(change.value);
  return learned.number > change.number || isSame;
}

/** When a joint set ends, the newcomer's synced disk holds every key that the others had learned. */
async function newcomerHoldsAll(): Promise<void> {
  for (let seed = 71; seed <= 74; seed++) {
    const fleet = await founded(seed);
    await addTenantKeys(fleet, 30);
    lose(fleet, 'core-3', true);
    await fleet.w.run(fleet.w.now() + 2500);
    restartWithSlowDisk(fleet, 'core-3');
    function takenIn(): boolean {
      return hasJoined(fleet, 'core-3');
    }
    expect(await until(fleet, fleet.w.now() + 6000, takenIn, 1)).toBeDefined();
    const wanted = restingValues(fleet.controllers.get('core-1')!);
    lose(fleet, 'core-3', false);
    back(fleet, 'core-3');
    function started(): boolean {
      return fleet.controllers.has('core-3');
    }
    await until(fleet, fleet.w.now() + 1000, started, 0.1);
    const { registers: cells } = fleet.controllers.get('core-3')!.store;
    const lacking: string[] = [];
    for (const value of wanted)
      if (!holdsChange(cells.get(value.key)?.learned, value)) lacking.push(value.key);
    expect({ seed, lacking }).toEqual({ seed, lacking: [] });
  }
}

/** Loses a machine's disk, starts it again with a slow one, and runs on until its joint set has begun. */
async function beginReplacement(fleet: SimFleet, name: string): Promise<void> {
  lose(fleet, name, true);
  await fleet.w.run(fleet.w.now() + 2500);
  restartWithSlowDisk(fleet, name);
  function begun(): boolean {
    return running(fleet).some(isJoint);
  }
  expect(await until(fleet, fleet.w.now() + 4000, begun, 1)).toBeDefined();
}

/** An old voter loses power at each moment of a joint set with a slow newcomer, and comes back. */
async function voterLosesPowerMeanwhile(): Promise<void> {
  for (let step = 0; step < 30; step++) {
    const fleet = await founded(100 + step);
    const operator = makeOperator(fleet);
    await applied(fleet, operator);
    await beginReplacement(fleet, 'core-3');
    await fleet.w.run(fleet.w.now() + step * 8);
    const second = CORE[step % 2];
    lose(fleet, second, false, step % 4 < 2);
    await fleet.w.run(fleet.w.now() + 600);
    back(fleet, second);
    const reachedAt = await until(fleet, fleet.w.now() + 5000, all(fleet, CORE), 10);
    expect({ step, whole: reachedAt !== undefined }).toEqual({ step, whole: true });
    await applied(fleet, operator);
    expect({ step, newest: operator.newest() }).toEqual({ step, newest: operator.acked() });
  }
}

/** A newcomer with a slow disk goes again, and its disk with it, at each moment of its joint set. */
async function newcomerLostMeanwhile(): Promise<void> {
  for (let step = 0; step < 15; step++) {
    const fleet = await founded(140 + step);
    const operator = makeOperator(fleet);
    await applied(fleet, operator);
    await beginReplacement(fleet, 'core-3');
    await fleet.w.run(fleet.w.now() + step * 16);
    lose(fleet, 'core-3', true);
    await fleet.w.run(fleet.w.now() + 1500);
    await applied(fleet, operator);
    back(fleet, 'core-3');
    const reachedAt = await until(fleet, fleet.w.now() + 5000, all(fleet, CORE), 10);
    expect({ step, whole: reachedAt !== undefined }).toEqual({ step, whole: true });
    expect({ step, newest: operator.newest() }).toEqual({ step, newest: operator.acked() });
  }
}

/** Runs on until the machines that were there all along have on their synced disks that a joint set ended; before that, the disk that was lost still counts. */
async function endReplacement(
  fleet: SimFleet,
  names: readonly string[],
  kept: string[],
): Promise<void> {
  function isPast(name: string): boolean {
    const voterSet = fleet.controllers.get(name)?.voters();
    return voterSet !== undefined && !voterSet.next && names.every(votes);
    function votes(n: string): boolean {
      return isVoter(voterSet, fleet.controllers.get(n)?.store.diskId ?? '');
    }
  }
  function isEnded(): boolean {
    return kept.every(isPast);
  }
  expect(await until(fleet, fleet.w.now() + 6000, isEnded, 1)).toBeDefined();
  await fleet.w.run(fleet.w.now() + SYNC_MS);
}

/** Right after a joint set has ended a second disk is lost while all others lose power, and after its repair a third. */
async function secondDiskRightAfter(): Promise<void> {
  for (let step = 0; step < 12; step++) {
    const fleet = await founded(160 + step);
    const operator = makeOperator(fleet);
    await applied(fleet, operator);
    await beginReplacement(fleet, 'core-3');
    await endReplacement(fleet, ['core-3'], ['core-1', 'core-2']);
    await fleet.w.run(fleet.w.now() + step * 2);
    procOf(fleet, 'core-3').disk.slow = 1;
    const [second, third] = step % 2 === 0 ? ['core-1', 'core-2'] : ['core-2', 'core-1'];
    lose(fleet, second, true);
    lose(fleet, third, false);
    lose(fleet, 'core-3', false);
    await fleet.w.run(fleet.w.now() + 700);
    for (const name of [third, 'core-3']) back(fleet, name);
    await applied(fleet, operator);
    back(fleet, second);
    const reachedAt = await until(fleet, fleet.w.now() + 5000, all(fleet, CORE), 1);
    expect({ step, whole: reachedAt !== undefined }).toEqual({ step, whole: true });
    lose(fleet, third, true);
    await applied(fleet, operator);
    expect({ step, newest: operator.newest() }).toEqual({ step, newest: operator.acked() });
  }
}

/** Of five voters two disks are lost and replaced, and right after that two others. */
async function twoAndTwo(): Promise<void> {
  for (let seed = 181; seed <= 184; seed++) {
    const fleet = await founded(seed, 5, 2);
    const operator = makeOperator(fleet);
    await applied(fleet, operator);
    for (const name of ['core-4', 'core-5']) lose(fleet, name, true);
    await fleet.w.run(fleet.w.now() + 2500);
    for (const name of ['core-4', 'core-5']) restartWithSlowDisk(fleet, name);
    await endReplacement(fleet, ['core-4', 'core-5'], CORE);
    for (const name of ['core-2', 'core-3']) lose(fleet, name, true);
    for (const name of ['core-4', 'core-5']) procOf(fleet, name).disk.slow = 1;
    await applied(fleet, operator);
    expect({ seed, newest: operator.newest() }).toEqual({ seed, newest: operator.acked() });
    for (const name of ['core-2', 'core-3']) back(fleet, name);
    expect(await until(fleet, fleet.w.now() + 5000, all(fleet, FIVE_VOTERS), 1)).toBeDefined();
    for (const name of ['core-1', 'core-4']) lose(fleet, name, true);
    await applied(fleet, operator);
    expect({ seed, newest: operator.newest() }).toEqual({ seed, newest: operator.acked() });
  }
}

/** A newcomer whose disk takes no writes does not hold a joint set up; it counts once its disk is well. */
async function fullNewcomer(): Promise<void> {
  const fleet = await founded(190);
  const operator = makeOperator(fleet);
  await applied(fleet, operator);
  await beginReplacement(fleet, 'core-3');
  procOf(fleet, 'core-3').disk.full = true;
  function isReturned(): boolean {
    return !running(fleet).some(isJoint);
  }
  expect(await until(fleet, fleet.w.now() + 4000, isReturned, 1)).toBeDefined();
  await applied(fleet, operator);
  expect(hasJoined(fleet, 'core-3')).toBe(false);
  procOf(fleet, 'core-3').disk.full = false;
  lose(fleet, 'core-3', false);
  await fleet.w.run(fleet.w.now() + 300);
  back(fleet, 'core-3');
  expect(await until(fleet, fleet.w.now() + 5000, all(fleet, CORE), 10)).toBeDefined();
}

/** An emptied machine's new disk stalls until its time to catch up is over, and then another disk is lost: the old set would have no majority any more, the new one has. */
async function stalledNewcomer(): Promise<void> {
  const fleet = await founded(191);
  const operator = makeOperator(fleet);
  await applied(fleet, operator);
  await beginReplacement(fleet, 'core-3');
  fleet.w.stall(procOf(fleet, 'core-3'), true);
  await fleet.w.run(fleet.w.now() + fleet.controllers.get('core-1')!.settings.catchUpMs);
  lose(fleet, 'core-1', true);
  await fleet.w.run(fleet.w.now() + 1000);
  fleet.w.stall(procOf(fleet, 'core-3'), false);
  procOf(fleet, 'core-3').disk.slow = 1;
  await applied(fleet, operator);
  back(fleet, 'core-1');
  expect(await until(fleet, fleet.w.now() + 5000, all(fleet, CORE), 10)).toBeDefined();
  expect(operator.newest()).toBe(operator.acked());
}

/** What a far voter is asked and sent, told by an imagined voter that lacks everything. */
async function boundedBatches(): Promise<void> {
  const cells = new Map<string, RegisterState>();
  for (let i = 0; i < 1000; i++) {
    const learned: VersionedValue = { key: `keys/${i}`, epoch: 1, by: 'a', number: 1, value: i };
    cells.set(learned.key, { promised: { epoch: 1, by: 'a' }, learned });
  }
  const to: Voter = { disk: 'd9', at: '10.0.0.9:7000' };
  const has = new Set<string>();
  let mostPlaces = 0;
  let mostOnWay = 0;
  let onWay = 0;
  async function askVoter(_: Voter, type: string, body: unknown): Promise<Result<unknown>> {
    if (type === 'lacking') return Right(lacking(body as { places: { key: string }[] }));
    onWay++;
    mostOnWay = Math.max(mostOnWay, onWay);
    await Promise.resolve();
    onWay--;
    has.add((body as { change: VersionedValue }).change.key);
    return Right({ disk: to.disk });
  }
  function lacking({ places }: { places: { key: string }[] }): object {
    mostPlaces = Math.max(mostPlaces, places.length);
    return { disk: to.disk, lacking: places.map(keyOf).filter(isLacking) };
  }
  function keyOf(x: { key: string }): string {
    return x.key;
  }
  function isLacking(key: string): boolean {
    return !has.has(key);
  }
  const result = await syncReplica(
    { store: { registers: cells } as ControlStore, requestVoter: askVoter },
    to,
  );
  expect({ fine: result.isRight(), has: has.size }).toEqual({ fine: true, has: 1000 });
  expect(mostPlaces).toBeLessThanOrEqual(256);
  expect(mostOnWay).toBeLessThanOrEqual(16);
}

test('when a joint set ends, the newcomer has all keys on its synced disk', newcomerHoldsAll);
test('an old voter loses power at each moment of a joint set', voterLosesPowerMeanwhile);
test('a slow newcomer is lost again at each moment of its joint set', newcomerLostMeanwhile);
test('a second disk is lost right after a repair, and then a third', secondDiskRightAfter);
test('of five voters, two disks are lost right after two others were replaced', twoAndTwo);
test('a newcomer whose disk is full is refused, and counts once it is not', fullNewcomer);
test('a newcomer whose disk stalls for all its time leaves a majority', stalledNewcomer);
test('a voter that is far behind is brought up to date in bounded batches', boundedBatches);
