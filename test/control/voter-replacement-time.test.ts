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
  const f = makeSimFleet(seed, 'saffron-bay', ROUTERS, 2, false, 5);
  Object.assign(f.told, { tolerated: 2, foundBy: 'majority', catchUpMs: CATCH_UP_MS });
  f.startAll();
  function isUp(): boolean {
    return votersOf(f) === '1 2 3 4 5';
  }
  expect(await until(f, 8000, isUp)).toBeDefined();
  f.told.bootstrap = false;
  return f;
}

/** Ms from the successor's start until it votes in a set that is not joint. */
async function repairTook(seed: number): Promise<{ f: SimFleet; ms: number }> {
  const f = await fleetOfFive(seed);
  const o = makeOperator(f);
  await applied(f, o);
  lose(f, 'core-2', true);
  await f.w.run(f.w.now() + SUCCESSOR_AFTER_MS);
  const began = f.w.now();
  f.lost.delete(f.spare.name);
  f.starts.get(f.spare.name)!();
  function isJoint(): boolean {
    for (const c of f.controllers.values()) if (c.voters()?.next) return true;
    return false;
  }
  expect(await until(f, began + 10000, isJoint, 5)).toBeDefined();
  for (const name of f.edge.slice(0, ROUTERS / 2)) lose(f, name, false);
  const at = await until(
    f,
    began + 10000,
    all(f, ['core-1', 'core-3', 'core-4', 'core-5', f.spare.name]),
    5,
  );
  expect(at).toBeDefined();
  return { f, ms: at! - began };
}

async function inTime(): Promise<void> {
  const took: number[] = [];
  for (const seed of SEEDS) took.push((await repairTook(seed)).ms);
  for (const ms of took) expect(ms).toBeLessThan(CATCH_UP_MS * 0.75);
}

test('a successor votes well within the time after which the next losses may come', inTime);
