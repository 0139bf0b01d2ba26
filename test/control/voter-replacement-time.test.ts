/**
 * A controller that is gone for good, an empty one in its place a second later, and routers that lose their power as
 * the voters change: the set must bear the next losses `catchUpMs` after the new one's start.
 */

import { lose, makeOperator, until, votersOf } from '../../tools/sim/simcore';
import { makeSimFleet, SimFleet } from '../../tools/sim/simfleet';
import { all, applied } from './voter-set-rig';

const ROUTERS = 10;
const SUCCESSOR_AFTER_MS = 1000;
const CATCH_UP_MS = 4000;
const SEEDS = [1, 2, 3, 4, 5, 6];

async function fleetOfFive(seed: number): Promise<SimFleet> {
  const fleet = makeSimFleet(seed, 'saffron-bay', ROUTERS, 2, false, 5);
  Object.assign(fleet.told, { tolerated: 2, foundBy: 'majority', catchUpMs: CATCH_UP_MS });
  fleet.startAll();
  function isUp(): boolean {
    return votersOf(fleet) === '1 2 3 4 5';
  }
  expect(await until(fleet, 8000, isUp)).toBeDefined();
  fleet.told.bootstrap = false;
  return fleet;
}

/** Ms from the successor's start until it votes in a set that is not joint. */
async function repairTook(seed: number): Promise<{ f: SimFleet; ms: number }> {
  const fleet = await fleetOfFive(seed);
  const operator = makeOperator(fleet);
  await applied(fleet, operator);
  lose(fleet, 'core-2', true);
  await fleet.w.run(fleet.w.now() + SUCCESSOR_AFTER_MS);
  const began = fleet.w.now();
  fleet.lost.delete(fleet.spare.name);
  fleet.starts.get(fleet.spare.name)!();
  function isJoint(): boolean {
    for (const controller of fleet.controllers.values()) if (controller.voters()?.next) return true;
    return false;
  }
  expect(await until(fleet, began + 10000, isJoint, 5)).toBeDefined();
  for (const name of fleet.edge.slice(0, ROUTERS / 2)) lose(fleet, name, false);
  const reachedAt = await until(
    fleet,
    began + 10000,
    all(fleet, ['core-1', 'core-3', 'core-4', 'core-5', fleet.spare.name]),
    5,
  );
  expect(reachedAt).toBeDefined();
  return { f: fleet, ms: reachedAt! - began };
}

async function inTime(): Promise<void> {
  const took: number[] = [];
  for (const seed of SEEDS) took.push((await repairTook(seed)).ms);
  for (const ms of took) expect(ms).toBeLessThan(CATCH_UP_MS * 0.75);
}

test('a replacement votes well within the time after which the next losses may come', inTime);
