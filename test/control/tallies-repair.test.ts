/** Repair of tallies after a long cut, in the number of differences; and controllers of the release before. */

import { Tallies } from '../../src/control/tallies/tallies';
import { CoreRig } from './deploymentrig';
import { cutOff, losePower, NOTICED_MS, startedCore, statusOfAdding, totals } from './tallies-rig';

const MERGE_MS = 3000;
const ADD_TIMEOUT_MS = 900;
/** Additions that are made side by side. */
const AT_ONCE = 500;
const DIGESTS = 'tally-digests';
const RANGES = 'tally-ranges';
const MISSING = 'tally-missing';

function talliesOf(rig: CoreRig, controller: number): Tallies {
  return rig.controllers.get(rig.core[controller].name)!.tallies!;
}

/** Makes many additions of 1 at one controller. */
async function addMany(
  rig: CoreRig,
  controller: number,
  count: number,
  name: string,
): Promise<void> {
  for (let begun = 0; begun < count; begun += AT_ONCE) {
    const added: ReturnType<Tallies['add']>[] = [];
    for (let i = begun; i < begun + AT_ONCE; i++)
      added.push(talliesOf(rig, controller).add('t', `${name}-${i}`, 1, ADD_TIMEOUT_MS));
    for (const result of (await rig.settled(Promise.all(added)))!)
      expect(result.isRight()).toBe(true);
  }
}

/** Counts the messages of a type that pass from now on. */
function countMessages(rig: CoreRig, type: string): () => number {
  let count = 0;
  function weigh(_: string, message: { type?: string }): void {
    if (message.type === type) count++;
  }
  const { traffic } = rig.net;
  rig.net.traffic = { ...traffic, weigh: both } as typeof traffic;
  function both(name: string, message: never): void {
    traffic?.weigh(name, message);
    weigh(name, message);
  }
  function counted(): number {
    return count;
  }
  return counted;
}

// Guards against STALE: after a long cut both sides must be level within `mergeMs`, with thousands of differences.
async function aLongCutIsLevelInTime(): Promise<void> {
  const rig = await startedCore(51);
  await addMany(rig, 2, 1000, 'before');
  cutOff(rig, [0, 1], true);
  await rig.pass(NOTICED_MS);
  await addMany(rig, 0, 2000, 'one side');
  await addMany(rig, 3, 2000, 'other side');
  await addMany(rig, 1, 500, 'other side');
  cutOff(rig, [0, 1], false);
  await rig.pass(MERGE_MS);
  expect(await totals(rig, 't')).toEqual(Array(5).fill(5000));
}

// Guards against STALE: a heal that is cut off again goes on where it was, and ends.
async function anInterruptedRepairGoesOn(): Promise<void> {
  const rig = await startedCore(52);
  cutOff(rig, [4], true);
  await rig.pass(NOTICED_MS);
  await addMany(rig, 0, 4000, 'others');
  for (let i = 0; i < 3; i++) {
    cutOff(rig, [4], false);
    await rig.pass(400);
    cutOff(rig, [4], true);
    await rig.pass(NOTICED_MS);
  }
  cutOff(rig, [4], false);
  await rig.pass(MERGE_MS);
  expect(await totals(rig, 't')).toEqual(Array(5).fill(4000));
}

// Guards against a repair that costs as much as there are additions: a few that differ are found by a few requests.
async function aComparisonCostsWhatDiffers(): Promise<void> {
  const rig = await startedCore(53);
  await addMany(rig, 0, 10_000, 'before');
  await rig.pass(1000);
  cutOff(rig, [4], true);
  await rig.pass(NOTICED_MS);
  expect(await statusOfAdding(rig, 0, 't', 'during', 1)).toBe(200);
  const digests = countMessages(rig, DIGESTS);
  const ranges = countMessages(rig, RANGES);
  const missing = countMessages(rig, MISSING);
  cutOff(rig, [4], false);
  await rig.pass(MERGE_MS);
  expect(await totals(rig, 't')).toEqual(Array(5).fill(10_001));
  expect(digests()).toBeGreaterThan(0);
  expect(missing()).toBeLessThanOrEqual(8);
  expect(ranges()).toBeLessThanOrEqual(16);
}

// Guards against STALE: an empty disk is filled by the same way, and gives no total before.
async function anEmptyDiskIsFilled(): Promise<void> {
  const rig = await startedCore(54);
  await addMany(rig, 0, 5000, 'before');
  await losePower(rig, [rig.core[4]], [rig.core[4]]);
  for (let i = 0; i < 40; i++) {
    const [read] = (await totals(rig, 't')).slice(4);
    expect([undefined, 5000]).toContain(read);
    await rig.pass(50);
  }
  expect(await totals(rig, 't')).toEqual(Array(5).fill(5000));
}

// Guards against SHORT during an upgrade: controllers of the release before don't know the messages, and are not waited for.
async function theReleaseBeforeIsNotWaitedFor(): Promise<void> {
  const rig = await startedCore(55);
  for (const index of [2, 3, 4]) {
    const { handlers, tallies } = rig.controllers.get(rig.core[index].name)!;
    handlers.splice(handlers.indexOf(tallies!), 1);
  }
  expect(await statusOfAdding(rig, 0, 't', 'a', 1)).toBe(200);
  expect(await statusOfAdding(rig, 1, 't', 'b', 1)).toBe(200);
  await rig.pass(100);
  expect((await totals(rig, 't')).slice(0, 2)).toEqual([2, 2]);
}

// Guards against files and messages where nobody keeps tallies.
async function withoutAdditionsThereIsNoFileAndNoMessage(): Promise<void> {
  const rig = await startedCore(56);
  const digests = countMessages(rig, DIGESTS);
  await rig.pass(5000);
  expect(digests()).toBe(0);
  for (const proc of rig.core) expect([...proc.files.keys()].filter(isOfTallies)).toEqual([]);
  expect(await totals(rig, 't')).toEqual([0, 0, 0, 0, 0]);
}

function isOfTallies(name: string): boolean {
  return name.startsWith('tallies');
}

test('a long cut is level in time', aLongCutIsLevelInTime);
test('an interrupted repair goes on', anInterruptedRepairGoesOn);
test('a comparison costs what differs', aComparisonCostsWhatDiffers);
test('an empty disk is filled', anEmptyDiskIsFilled);
test('the release before is not waited for', theReleaseBeforeIsNotWaitedFor);
test(
  'without additions there is no file and no message',
  withoutAdditionsThereIsNoFileAndNoMessage,
);
