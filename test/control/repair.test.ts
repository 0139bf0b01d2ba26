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

const FIVE = [...CORE, 'core-4', 'core-5'];
/** Keys that go on changing by themselves. */
const LIVELY = [CONTROL_KEYS.duty, CONTROL_KEYS.engines, CONTROL_KEYS.voters];
/** How much slower than others a newcomer's disk is. */
const SLOW_DISK = 30;
/** What a disk that is not slow needs for two syncs, one after the other. */
const SYNC_MS = 8;

function isJoint(c: Controller): boolean {
  return c.voters()?.next !== undefined;
}

/** Whether some running controller knows the set that ends a joint one, with a machine's new disk in it. */
function isTakenIn(f: SimFleet, name: string): boolean {
  const disk = f.controllers.get(name)?.store.diskId;
  function knows(c: Controller): boolean {
    const v = c.voters();
    return v !== undefined && !v.next && v.now.some(isNew);
  }
  function isNew(x: Voter): boolean {
    return x.disk === disk;
  }
  return disk !== undefined && running(f).some(knows);
}

async function addTenantKeys(f: SimFleet, count: number): Promise<void> {
  for (let i = 0; i < count; i++)
    expect((await asked(f, 'POST', `/v1/keys/tenant-${i}`)).status).toBeLessThan(300);
}

function isLively(key: string): boolean {
  function begins(prefix: string): boolean {
    return key.startsWith(prefix);
  }
  return LIVELY.some(begins);
}

function restingPlaces(c: Controller): VersionedValue[] {
  const out: VersionedValue[] = [];
  for (const [key, cell] of c.store.registers)
    if (cell.learned && !isLively(key)) out.push(cell.learned);
  return out;
}

/** Starts a machine again whose disk was lost, with a slow one. */
function backEmptied(f: SimFleet, name: string): void {
  procOf(f, name).disk.slow = SLOW_DISK;
  back(f, name);
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
    const f = await founded(seed);
    await addTenantKeys(f, 30);
    lose(f, 'core-3', true);
    await f.w.run(f.w.now() + 2500);
    backEmptied(f, 'core-3');
    function takenIn(): boolean {
      return isTakenIn(f, 'core-3');
    }
    expect(await until(f, f.w.now() + 6000, takenIn, 1)).toBeDefined();
    const wanted = restingPlaces(f.controllers.get('core-1')!);
    lose(f, 'core-3', false);
    back(f, 'core-3');
    function started(): boolean {
      return f.controllers.has('core-3');
    }
    await until(f, f.w.now() + 1000, started, 0.1);
    const { registers: cells } = f.controllers.get('core-3')!.store;
    const lacking: string[] = [];
    for (const n of wanted) if (!holdsChange(cells.get(n.key)?.learned, n)) lacking.push(n.key);
    expect({ seed, lacking }).toEqual({ seed, lacking: [] });
  }
}

/** Loses a machine's disk, starts it again with a slow one, and runs on until its joint set has begun. */
async function repairBegun(f: SimFleet, name: string): Promise<void> {
  lose(f, name, true);
  await f.w.run(f.w.now() + 2500);
  backEmptied(f, name);
  function begun(): boolean {
    return running(f).some(isJoint);
  }
  expect(await until(f, f.w.now() + 4000, begun, 1)).toBeDefined();
}

/** An old voter loses power at each moment of a joint set with a slow newcomer, and comes back. */
async function secondMachineInTheMidst(): Promise<void> {
  for (let step = 0; step < 30; step++) {
    const f = await founded(100 + step);
    const o = makeOperator(f);
    await applied(f, o);
    await repairBegun(f, 'core-3');
    await f.w.run(f.w.now() + step * 8);
    const second = CORE[step % 2];
    lose(f, second, false, step % 4 < 2);
    await f.w.run(f.w.now() + 600);
    back(f, second);
    const at = await until(f, f.w.now() + 5000, all(f, CORE), 10);
    expect({ step, whole: at !== undefined }).toEqual({ step, whole: true });
    await applied(f, o);
    expect({ step, newest: o.newest() }).toEqual({ step, newest: o.acked() });
  }
}

/** A newcomer with a slow disk goes again, and its disk with it, at each moment of its joint set. */
async function newcomerLostInTheMidst(): Promise<void> {
  for (let step = 0; step < 15; step++) {
    const f = await founded(140 + step);
    const o = makeOperator(f);
    await applied(f, o);
    await repairBegun(f, 'core-3');
    await f.w.run(f.w.now() + step * 16);
    lose(f, 'core-3', true);
    await f.w.run(f.w.now() + 1500);
    await applied(f, o);
    back(f, 'core-3');
    const at = await until(f, f.w.now() + 5000, all(f, CORE), 10);
    expect({ step, whole: at !== undefined }).toEqual({ step, whole: true });
    expect({ step, newest: o.newest() }).toEqual({ step, newest: o.acked() });
  }
}

/** Runs on until the machines that were there all along have on their synced disks that a joint set ended; before that, the disk that was lost still counts. */
async function repairEnded(f: SimFleet, names: readonly string[], kept: string[]): Promise<void> {
  function isPast(name: string): boolean {
    const v = f.controllers.get(name)?.voters();
    return v !== undefined && !v.next && names.every(votes);
    function votes(n: string): boolean {
      return isVoter(v, f.controllers.get(n)?.store.diskId ?? '');
    }
  }
  function isEnded(): boolean {
    return kept.every(isPast);
  }
  expect(await until(f, f.w.now() + 6000, isEnded, 1)).toBeDefined();
  await f.w.run(f.w.now() + SYNC_MS);
}

/** Right after a joint set has ended a second disk is lost while all others lose power, and after its repair a third. */
async function secondDiskRightAfter(): Promise<void> {
  for (let step = 0; step < 12; step++) {
    const f = await founded(160 + step);
    const o = makeOperator(f);
    await applied(f, o);
    await repairBegun(f, 'core-3');
    await repairEnded(f, ['core-3'], ['core-1', 'core-2']);
    await f.w.run(f.w.now() + step * 2);
    procOf(f, 'core-3').disk.slow = 1;
    const [second, third] = step % 2 === 0 ? ['core-1', 'core-2'] : ['core-2', 'core-1'];
    lose(f, second, true);
    lose(f, third, false);
    lose(f, 'core-3', false);
    await f.w.run(f.w.now() + 700);
    for (const n of [third, 'core-3']) back(f, n);
    await applied(f, o);
    back(f, second);
    const at = await until(f, f.w.now() + 5000, all(f, CORE), 1);
    expect({ step, whole: at !== undefined }).toEqual({ step, whole: true });
    lose(f, third, true);
    await applied(f, o);
    expect({ step, newest: o.newest() }).toEqual({ step, newest: o.acked() });
  }
}

/** Of five voters two disks are lost and replaced, and right after that two others. */
async function twoAndTwo(): Promise<void> {
  for (let seed = 181; seed <= 184; seed++) {
    const f = await founded(seed, 5, 2);
    const o = makeOperator(f);
    await applied(f, o);
    for (const n of ['core-4', 'core-5']) lose(f, n, true);
    await f.w.run(f.w.now() + 2500);
    for (const n of ['core-4', 'core-5']) backEmptied(f, n);
    await repairEnded(f, ['core-4', 'core-5'], CORE);
    for (const n of ['core-2', 'core-3']) lose(f, n, true);
    for (const n of ['core-4', 'core-5']) procOf(f, n).disk.slow = 1;
    await applied(f, o);
    expect({ seed, newest: o.newest() }).toEqual({ seed, newest: o.acked() });
    for (const n of ['core-2', 'core-3']) back(f, n);
    expect(await until(f, f.w.now() + 5000, all(f, FIVE), 1)).toBeDefined();
    for (const n of ['core-1', 'core-4']) lose(f, n, true);
    await applied(f, o);
    expect({ seed, newest: o.newest() }).toEqual({ seed, newest: o.acked() });
  }
}

/** A newcomer whose disk takes no writes does not hold a joint set up; it counts once its disk is well. */
async function fullNewcomer(): Promise<void> {
  const f = await founded(190);
  const o = makeOperator(f);
  await applied(f, o);
  await repairBegun(f, 'core-3');
  procOf(f, 'core-3').disk.full = true;
  function isReturned(): boolean {
    return !running(f).some(isJoint);
  }
  expect(await until(f, f.w.now() + 4000, isReturned, 1)).toBeDefined();
  await applied(f, o);
  expect(isTakenIn(f, 'core-3')).toBe(false);
  procOf(f, 'core-3').disk.full = false;
  lose(f, 'core-3', false);
  await f.w.run(f.w.now() + 300);
  back(f, 'core-3');
  expect(await until(f, f.w.now() + 5000, all(f, CORE), 10)).toBeDefined();
}

/** An emptied machine's new disk stalls until its time to catch up is over, and then another disk is lost: the old set would have no majority any more, the new one has. */
async function stalledNewcomer(): Promise<void> {
  const f = await founded(191);
  const o = makeOperator(f);
  await applied(f, o);
  await repairBegun(f, 'core-3');
  f.w.stall(procOf(f, 'core-3'), true);
  await f.w.run(f.w.now() + f.controllers.get('core-1')!.settings.catchUpMs);
  lose(f, 'core-1', true);
  await f.w.run(f.w.now() + 1000);
  f.w.stall(procOf(f, 'core-3'), false);
  procOf(f, 'core-3').disk.slow = 1;
  await applied(f, o);
  back(f, 'core-1');
  expect(await until(f, f.w.now() + 5000, all(f, CORE), 10)).toBeDefined();
  expect(o.newest()).toBe(o.acked());
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
  const o = await syncReplica(
    { store: { registers: cells } as ControlStore, requestVoter: askVoter },
    to,
  );
  expect({ fine: o.isRight(), has: has.size }).toEqual({ fine: true, has: 1000 });
  expect(mostPlaces).toBeLessThanOrEqual(256);
  expect(mostOnWay).toBeLessThanOrEqual(16);
}

test('when a joint set ends, the newcomer has all keys on its synced disk', newcomerHoldsAll);
test('an old voter loses power at each moment of a joint set', secondMachineInTheMidst);
test('a slow newcomer is lost again at each moment of its joint set', newcomerLostInTheMidst);
test('a second disk is lost right after a repair, and then a third', secondDiskRightAfter);
test('of five voters, two disks are lost right after two others were replaced', twoAndTwo);
test('a newcomer whose disk is full is refused, and counts once it is not', fullNewcomer);
test('a newcomer whose disk stalls for all its time leaves a majority', stalledNewcomer);
test('a voter that is far behind is brought up to date in bounded batches', boundedBatches);
