/**
 * Five voters in zones of 2, 2 and 1, of which any one may go: a zone is cut off for long, heals, and another zone goes, or
 * two disks are lost as the others lose power. Nothing that was acknowledged is lost, and changes go on.
 */

import { addressOf, allVoters } from '../../src/shared/state/voter-set';
import {
  back,
  isFounded,
  lose,
  makeOperator,
  procOf,
  until,
  votersOf,
} from '../../tools/sim/simcore';
import { makeSimFleet, SimFleet } from '../../tools/sim/simfleet';
import { applied } from './voter-set-rig';

const CUT_MS = 11000;
const ZONE_A = ['core-1', 'core-4'];
const ZONE_B = ['core-2', 'core-5'];
/** The machine that is added, and where. */
const SPARE = 'core-6';
type SpareZone = 'none' | 'zone-a' | 'zone-c';

async function startFive(seed: number, spareZone: SpareZone): Promise<SimFleet> {
  const fleet = makeSimFleet(seed, 'saffron-bay', 2, 2, false, 5);
  Object.assign(fleet.told, { tolerated: 2, toleratedZones: 1, foundBy: 'majority' });
  fleet.startAll();
  function isUp(): boolean {
    return votersOf(fleet) === '1 2 3 4 5' && isFounded(fleet);
  }
  expect(await until(fleet, 6000, isUp)).toBeDefined();
  fleet.told.bootstrap = false;
  fleet.spare.zone = spareZone;
  if (spareZone !== 'none') fleet.starts.get(SPARE)!();
  await fleet.w.run(fleet.w.now() + 2000);
  expect(votersAt(fleet, 'core-1')).toBe('1 2 3 4 5');
  return fleet;
}

/** The voters as one controller knows them, by the last digits of their addresses. */
function votersAt(fleet: SimFleet, name: string): string {
  const voters = fleet.controllers.get(name)!.voters();
  function numberOf(address: string): string {
    return address.split(':')[0].split('.')[3];
  }
  return voters ? allVoters(voters).map(addressOf).map(numberOf).sort().join(' ') : '';
}

/** Cuts the machines of a zone off from all other controllers. */
function cutOff(fleet: SimFleet, zone: readonly string[]): void {
  for (const name of fleet.controllers.keys())
    for (const inside of zone) {
      if (zone.includes(name)) continue;
      const [one, other] = [procOf(fleet, name).ip, procOf(fleet, inside).ip];
      fleet.w.cut(one, other, true);
      fleet.w.cut(other, one, true);
    }
}

/** A zone is cut off while changes go on; gives the voters that the others had in the end. */
async function cutForLong(
  fleet: SimFleet,
  operator: ReturnType<typeof makeOperator>,
): Promise<string> {
  await applied(fleet, operator);
  cutOff(fleet, ZONE_B);
  const healAt = fleet.w.now() + CUT_MS;
  while (fleet.w.now() < healAt) {
    await applied(fleet, operator);
    await fleet.w.run(fleet.w.now() + 500);
  }
  const voters = votersAt(fleet, 'core-1');
  fleet.w.healLinks();
  return voters;
}

/** Before, a spare machine in zone a took the place of a voter of the zone that was cut off, and zone a had three. */
async function anotherZoneGoes(spareZone: SpareZone): Promise<void> {
  const lostZone = spareZone === 'zone-a' ? [...ZONE_A, SPARE] : ZONE_A;
  for (let seed = 1; seed <= 3; seed++) {
    const fleet = await startFive(seed, spareZone);
    const operator = makeOperator(fleet);
    const voters = await cutForLong(fleet, operator);
    if (spareZone === 'zone-c') expect(['1 3 4 5 6', '1 2 3 4 6']).toContain(voters);
    else expect(voters).toBe('1 2 3 4 5');
    await fleet.w.run(fleet.w.now() + 500 * seed);
    for (const name of lostZone) lose(fleet, name, false);
    await fleet.w.run(fleet.w.now() + 3000);
    await applied(fleet, operator);
    expect([spareZone, seed, operator.newest()]).toEqual([spareZone, seed, operator.acked()]);
    for (const name of lostZone) back(fleet, name);
    await fleet.w.run(fleet.w.now() + 6000);
    await applied(fleet, operator);
    expect(operator.newest()).toBe(operator.acked());
  }
}

/** The disks are lost and all power goes at the moment of an acknowledgement soon after the heal. */
async function disksAfterHeal(): Promise<void> {
  const victims = [
    ZONE_A,
    ['core-1', 'core-3'],
    ['core-3', 'core-4'],
    ZONE_B,
    ['core-2', 'core-3'],
  ];
  for (const [seed, wiped] of victims.entries())
    for (const spareZone of ['none', 'zone-c'] as const) {
      const fleet = await startFive(20 + seed, spareZone);
      const operator = makeOperator(fleet);
      await cutForLong(fleet, operator);
      await fleet.w.run(fleet.w.now() + 50 + 400 * seed);
      await applied(fleet, operator);
      const acked = operator.acked();
      const names = [...fleet.controllers.keys()];
      for (const name of names) lose(fleet, name, wiped.includes(name));
      await fleet.w.run(fleet.w.now() + 3000);
      for (const name of names) back(fleet, name);
      await fleet.w.run(fleet.w.now() + 7500);
      expect([wiped, spareZone, operator.newest() >= acked]).toEqual([wiped, spareZone, true]);
      await applied(fleet, operator);
      expect(operator.newest()).toBe(operator.acked());
    }
}

test.each(['none', 'zone-a', 'zone-c'] as const)(
  'after a zone was cut off for long and healed, another may go; spare machine in: %s',
  anotherZoneGoes,
);
test('soon after a heal two disks may be lost as the others lose power', disksAfterHeal);
