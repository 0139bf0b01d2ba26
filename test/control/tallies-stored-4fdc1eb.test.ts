/**
 * The additions on the disks of release 4fdc1eb, as a run of review/1 left them: ten that five controllers hold, and ten
 * that it had acknowledged with one copy.
 */

import { readFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { killProcesses, restart, startedCore, statusOfAdding, total, totals } from './tallies-rig';

const FIXTURES = resolve(__dirname, '../../../test/fixtures/tallies-4fdc1eb');
const FILE = 'tallies-1';
const TALLY = 'tally-1';
const MERGE_MS = 3000;
const RECOVERY_MS = 6000;
/** What all five hold, and what the first one alone holds beside it. */
const COMMON_TOTAL = 10;
const ALONE_TOTAL = 1000;

type Rig = Awaited<ReturnType<typeof startedCore>>;

/** A core whose controllers start on the additions that the release before has left, but for some lost disks. */
async function startedOnFiles(seed: number, lost: readonly number[]): Promise<Rig> {
  const rig = await startedCore(seed);
  killProcesses(rig, rig.core);
  for (const [index, proc] of rig.core.entries())
    if (!lost.includes(index))
      proc.files.set(FILE, readFileSync(resolve(FIXTURES, `core-${index + 1}`, FILE)));
  restart(rig, rig.core);
  await rig.pass(RECOVERY_MS + MERGE_MS);
  return rig;
}

// Guards against LOST at an upgrade: what the release before acknowledged with one copy reaches all once it is read.
async function aLoneCopyReachesAll(): Promise<void> {
  const rig = await startedOnFiles(81, []);
  expect(await totals(rig, TALLY)).toEqual(Array(5).fill(COMMON_TOTAL + ALONE_TOTAL));
  expect(await statusOfAdding(rig, 2, TALLY, 'late-3', 100)).toBe(200);
  expect(await total(rig, 2, TALLY)).toBe(COMMON_TOTAL + ALONE_TOTAL);
}

// Guards against TWICE and LOST: the disks that went on without the lone copy give what they hold, and take it again once.
async function withoutTheLoneCopy(): Promise<void> {
  const rig = await startedOnFiles(82, [0]);
  expect(await totals(rig, TALLY)).toEqual(Array(5).fill(COMMON_TOTAL));
  for (const controller of [1, 3])
    expect(await statusOfAdding(rig, controller, TALLY, 'late-3', 100)).toBe(200);
  await rig.pass(MERGE_MS);
  expect(await totals(rig, TALLY)).toEqual(Array(5).fill(COMMON_TOTAL + 100));
}

test('a lone copy of the release before reaches all', aLoneCopyReachesAll);
test('the disks of the release before without the lone copy', withoutTheLoneCopy);
