/** Tallies at the controllers of a simulated core: additions, repeats, cuts, losses of power and of disks. */

import { CoreRig } from './deploymentrig';
import {
  add,
  cutOff,
  losePower,
  NOTICED_MS,
  startedCore,
  statusOfAdding,
  total,
  totals,
} from './tallies-rig';

const MERGE_MS = 3000;
const ALL = [0, 1, 2, 3, 4];

// Guards against SHORT: the calls about tallies were answered 404, and earned nothing.
async function everyControllerServesTallies(): Promise<void> {
  const rig = await startedCore(1);
  expect(await totals(rig, 't')).toEqual([0, 0, 0, 0, 0]);
  for (const index of ALL)
    expect(await statusOfAdding(rig, index, 't', `id-${index}`, 2 + index)).toBe(200);
  await rig.pass(100);
  expect(await totals(rig, 't')).toEqual([20, 20, 20, 20, 20]);
}

// Guards against LOST: reads of tallies at the end of a day were answered 404.
async function acknowledgedAdditionsOutlastTheClosingLoss(): Promise<void> {
  const rig = await startedCore(2);
  for (let i = 0; i < 10; i++)
    expect(await statusOfAdding(rig, i % 5, 't', `id-${i}`, 1)).toBe(200);
  await losePower(rig, rig.core, [rig.core[1], rig.core[3]]);
  await rig.pass(MERGE_MS);
  expect(await totals(rig, 't')).toEqual([10, 10, 10, 10, 10]);
}

// Guards against LOST: power is lost right after an acknowledgement, and the disk of who gave it goes with it.
async function anAdditionOutlastsWhoAcknowledgedIt(): Promise<void> {
  for (const seed of [3, 4, 5, 6]) {
    const rig = await startedCore(seed);
    expect(await statusOfAdding(rig, 2, 't', 'last', 7)).toBe(200);
    await losePower(rig, rig.core, [rig.core[2], rig.core[seed === 3 ? 0 : 4]]);
    await rig.pass(MERGE_MS);
    expect(await totals(rig, 't')).toEqual([7, 7, 7, 7, 7]);
  }
}

// Guards against LOST: an acknowledgement must wait for copies on disks that are slow, and not for messages only.
async function copiesOnSlowDisksAreWaitedFor(): Promise<void> {
  const SLOW_TIMES = 20;
  for (const seed of [31, 32, 33]) {
    const rig = await startedCore(seed);
    for (const proc of rig.core.slice(1)) proc.disk.slow = SLOW_TIMES;
    expect(await statusOfAdding(rig, 0, 't', 'last', 7)).toBe(200);
    await losePower(rig, rig.core, [rig.core[0], rig.core[seed % 4]]);
    await rig.pass(2 * MERGE_MS);
    expect(await totals(rig, 't')).toEqual([7, 7, 7, 7, 7]);
  }
}

// Guards against LOST: while connections are reset, an acknowledgement must not go without the copies that a moment later has.
async function resetConnectionsAreWaitedFor(): Promise<void> {
  for (const seed of [41, 42, 43]) {
    const rig = await startedCore(seed);
    expect(await statusOfAdding(rig, 0, 't', 'first', 1)).toBe(200);
    for (const other of rig.core.slice(1)) rig.net.reset(rig.core[0], other);
    await rig.pass(2);
    expect(await statusOfAdding(rig, 0, 't', 'last', 7)).toBe(200);
    await losePower(rig, rig.core, [rig.core[0], rig.core[1]]);
    await rig.pass(MERGE_MS);
    expect(await totals(rig, 't')).toEqual([8, 8, 8, 8, 8]);
  }
}

// Guards against LOST: the one disk that is left with an addition comes back a little later than the others.
async function readsWaitForAllThatComeBack(): Promise<void> {
  const rig = await startedCore(44);
  for (const proc of rig.core.slice(3)) proc.disk.stalled = true;
  expect(await statusOfAdding(rig, 0, 't', 'a', 7)).toBe(200);
  const [late, second, third, ...rest] = rig.core;
  for (const proc of rig.core) rig.w.kill(proc, true);
  for (const proc of rest) proc.disk.stalled = false;
  for (const proc of [second, third]) proc.files.clear();
  for (const proc of [second, third, ...rest, late]) {
    if (proc === late) await readUntil(rig, 1000);
    rig.controllers.delete(proc.name);
    rig.w.revive(proc);
    rig.start(proc);
  }
  await readUntil(rig, MERGE_MS);
  expect(await totals(rig, 't')).toEqual([7, 7, 7, 7, 7]);
}

/** Reads at all for a while; no read may lack what was acknowledged. */
async function readUntil(rig: CoreRig, ms: number): Promise<void> {
  const STEP_MS = 50;
  const until = rig.w.now() + ms;
  while (rig.w.now() < until) {
    for (const read of await totals(rig, 't')) expect([undefined, 7]).toContain(read);
    await rig.pass(STEP_MS);
  }
}

// Guards against a controller that ends for lack of memory: additions beyond its share of it are refused, and all else goes on.
async function additionsAreBoundedByMemory(): Promise<void> {
  const SMALL_MB = 0.01;
  const rig = await startedCore(45);
  for (const { settings } of rig.controllers.values()) settings.memoryMb = SMALL_MB;
  const statuses: (number | undefined)[] = [];
  for (let i = 0; i < 20; i++) statuses.push(await statusOfAdding(rig, i % 5, 't', `id-${i}`, 1));
  const taken = statuses.indexOf(503);
  expect(taken).toBeGreaterThan(10);
  expect(new Set(statuses.slice(taken))).toEqual(new Set([503]));
  expect(await statusOfAdding(rig, 0, 't', 'id-0', 1)).toBe(200);
  expect(await totals(rig, 't')).toEqual(Array(5).fill(taken));
}

// Guards against TWICE: an id that comes again, at any controller, counted again.
async function anIdCountsOnce(): Promise<void> {
  const rig = await startedCore(7);
  for (const index of [...ALL, ...ALL])
    expect(await statusOfAdding(rig, index, 't', 'same', 4)).toBe(200);
  expect(await statusOfAdding(rig, 0, 'other', 'same', 5)).toBe(200);
  expect(await totals(rig, 't')).toEqual([4, 4, 4, 4, 4]);
  expect(await total(rig, 1, 'other')).toBe(5);
}

// Guards against SHORT, STALE and TWICE around a cut: both sides go on, and agree after it.
async function bothSidesOfACutAdd(): Promise<void> {
  const rig = await startedCore(8);
  cutOff(rig, [0, 1], true);
  await rig.pass(NOTICED_MS);
  for (const index of ALL) {
    expect(await statusOfAdding(rig, index, 't', `id-${index}`, 1)).toBe(200);
    expect(await statusOfAdding(rig, index, 't', 'both sides', 100)).toBe(200);
  }
  await rig.pass(200);
  expect(await totals(rig, 't')).toEqual([102, 102, 103, 103, 103]);
  cutOff(rig, [0, 1], false);
  await rig.pass(MERGE_MS);
  expect(await totals(rig, 't')).toEqual([105, 105, 105, 105, 105]);
  expect(isLevelEverywhere(rig)).toBe(true);
}

// Guards against STALE: an amount that differs between two sides must be chosen in the same way by all, and no total falls.
async function differingAmountsAreChosenAlike(): Promise<void> {
  const rig = await startedCore(9);
  cutOff(rig, [4], true);
  await rig.pass(NOTICED_MS);
  expect(await statusOfAdding(rig, 4, 't', 'id', 3)).toBe(200);
  expect(await statusOfAdding(rig, 0, 't', 'id', 8)).toBe(200);
  cutOff(rig, [4], false);
  await rig.pass(MERGE_MS);
  expect(await totals(rig, 't')).toEqual([8, 8, 8, 8, 8]);
}

// Guards against STALE: two that can't reach each other, while the others reach both, know of each other's additions.
async function additionsGoRoundABrokenBridge(): Promise<void> {
  const rig = await startedCore(10);
  rig.w.cut(rig.core[0].ip, rig.core[1].ip, true);
  rig.w.cut(rig.core[1].ip, rig.core[0].ip, true);
  await rig.pass(NOTICED_MS);
  expect(await statusOfAdding(rig, 0, 't', 'a', 1)).toBe(200);
  expect(await statusOfAdding(rig, 1, 't', 'b', 1)).toBe(200);
  await rig.pass(MERGE_MS);
  expect(await totals(rig, 't')).toEqual([2, 2, 2, 2, 2]);
}

// Guards against LOST: a controller whose disk takes no writes must not acknowledge, and must say so before it does anything.
async function aDiskThatTakesNoWritesIsNoSuccess(): Promise<void> {
  const rig = await startedCore(11);
  rig.core[0].disk.full = true;
  const first = await statusOfAdding(rig, 0, 't', 'a', 1);
  expect(first).toBe(504);
  expect(await statusOfAdding(rig, 0, 't', 'b', 1)).toBe(503);
  expect(await statusOfAdding(rig, 1, 't', 'c', 10)).toBe(200);
  rig.core[0].disk.full = false;
  await rig.pass(1000);
  expect(await statusOfAdding(rig, 0, 't', 'a', 1)).toBe(200);
  expect(await totals(rig, 't')).toEqual([11, 11, 11, 11, 11]);
}

// Guards against LOST and a late answer: a stalled disk is told within the time that callers wait, then at once.
async function aStalledDiskIsTold(): Promise<void> {
  const rig = await startedCore(12);
  rig.w.stall(rig.core[0], true);
  const beganAt = rig.w.now();
  expect(await statusOfAdding(rig, 0, 't', 'a', 1)).toBe(504);
  expect(rig.w.now() - beganAt).toBeLessThan(1000);
  const refusedAt = rig.w.now();
  expect(await statusOfAdding(rig, 0, 't', 'b', 1)).toBe(503);
  expect(rig.w.now() - refusedAt).toBeLessThan(100);
  expect(await statusOfAdding(rig, 1, 't', 'c', 10)).toBe(200);
  rig.w.stall(rig.core[0], false);
  await rig.pass(1000);
  expect(await statusOfAdding(rig, 0, 't', 'a', 1)).toBe(200);
  expect(await total(rig, 0, 't')).toBe(11);
}

// Guards against STALE: a controller whose disk was emptied gives no totals before it has caught up.
async function anEmptiedDiskCatchesUpFirst(): Promise<void> {
  const rig = await startedCore(13);
  for (let i = 0; i < 5; i++) expect(await statusOfAdding(rig, 0, 't', `id-${i}`, 1)).toBe(200);
  await losePower(rig, [rig.core[4]], [rig.core[4]]);
  for (let i = 0; i < 60; i++) {
    const read = await total(rig, 4, 't');
    expect([undefined, 5]).toContain(read);
    await rig.pass(50);
  }
  expect(await total(rig, 4, 't')).toBe(5);
}

interface BadCall {
  method: string;
  path: string;
  body?: unknown;
  status: number;
  names: string;
}

const BAD_CALLS: BadCall[] = [
  { method: 'POST', path: 'Update/t', body: { actor: 1 }, status: 400, names: 'instanceId' },
  {
    method: 'POST',
    path: 'Update/t',
    body: { instanceId: 7, actor: 1 },
    status: 400,
    names: 'instanceId',
  },
  {
    method: 'POST',
    path: 'Update/t',
    body: { instanceId: '', actor: 1 },
    status: 400,
    names: 'instanceId',
  },
  {
    method: 'POST',
    path: 'Update/t',
    body: { instanceId: 'x'.repeat(600), actor: 1 },
    status: 400,
    names: 'instanceId',
  },
  {
    method: 'POST',
    path: 'Update/t',
    body: '{"instanceId":"\\ud800","actor":1}',
    status: 400,
    names: 'instanceId',
  },
  { method: 'POST', path: 'Update/t', body: { instanceId: 'a' }, status: 400, names: 'actor' },
  {
    method: 'POST',
    path: 'Update/t',
    body: { instanceId: 'a', actor: '4' },
    status: 400,
    names: 'actor',
  },
  {
    method: 'POST',
    path: 'Update/t',
    body: { instanceId: 'a', actor: 1.5 },
    status: 400,
    names: 'actor',
  },
  {
    method: 'POST',
    path: 'Update/t',
    body: '{"instanceId":"a","actor":1e400}',
    status: 400,
    names: 'actor',
  },
  { method: 'POST', path: 'Update/t', body: '{"instanceId":', status: 400, names: '' },
  { method: 'POST', path: 'Update/t', body: '[]', status: 400, names: 'instanceId' },
  { method: 'POST', path: 'Update/t', body: '7', status: 400, names: 'instanceId' },
  {
    method: 'POST',
    path: 'Update/',
    body: { instanceId: 'a', actor: 1 },
    status: 400,
    names: 'path',
  },
  {
    method: 'POST',
    path: 'Update/a/b',
    body: { instanceId: 'a', actor: 1 },
    status: 400,
    names: 'path',
  },
  {
    method: 'POST',
    path: 'Update/%ff',
    body: { instanceId: 'a', actor: 1 },
    status: 400,
    names: 'path',
  },
  { method: 'GET', path: 'Describe/', status: 400, names: 'path' },
  { method: 'GET', path: 'Update/t', status: 405, names: '' },
  { method: 'POST', path: 'Describe/t', body: {}, status: 405, names: '' },
];

async function badCallsAreRefused(): Promise<void> {
  const rig = await startedCore(14);
  for (const { method, path, body, status, names } of BAD_CALLS) {
    const heard = await rig.settled(
      rig.call(rig.core[0], method, `/api/Tallies.${path}`, undefined, body),
    );
    const message = (heard?.body.error as { message: string } | undefined)?.message ?? '';
    expect({ path, body, status: heard?.status, names: message.includes(names) }).toEqual({
      path,
      body,
      status,
      names: true,
    });
  }
  expect(await totals(rig, 't')).toEqual([0, 0, 0, 0, 0]);
}

async function namesOfAllKindsAreServed(): Promise<void> {
  const rig = await startedCore(15);
  for (const name of ['__proto__', 'constructor', '%C3%A9t%C3%A9', 'a%2Fb', '..%2F'])
    expect(await statusOfAdding(rig, 0, name, '__proto__', -3)).toBe(200);
  await rig.pass(50);
  expect(await totals(rig, '__proto__')).toEqual([-3, -3, -3, -3, -3]);
  expect(await total(rig, 1, 'a%2Fb')).toBe(-3);
}

async function amountsBeyondSafeIntegersAddExactly(): Promise<void> {
  const rig = await startedCore(16);
  const most = Number.MAX_SAFE_INTEGER;
  for (const [index, amount] of [most, most, -most, 1, -most].entries())
    expect(await statusOfAdding(rig, index, 't', `id-${index}`, amount)).toBe(200);
  await rig.pass(100);
  expect(await totals(rig, 't')).toEqual([1, 1, 1, 1, 1]);
}

// Guards against SHORT: additions side by side share syncs and messages, and each is answered within its aim.
async function additionsSideBySideAreAnsweredInTime(): Promise<void> {
  const rig = await startedCore(17);
  const beganAt = rig.w.now();
  const answers: ReturnType<typeof add>[] = [];
  for (let i = 0; i < 200; i++)
    answers.push(
      rig.call(rig.core[i % 5], 'POST', '/api/Tallies.Update/t', undefined, {
        instanceId: `id-${i}`,
        actor: 1,
      }),
    );
  const heard = await rig.settled(Promise.all(answers));
  expect(rig.w.now() - beganAt).toBeLessThan(100);
  for (const answer of heard!) expect(answer?.status).toBe(200);
  await rig.pass(100);
  expect(await totals(rig, 't')).toEqual([200, 200, 200, 200, 200]);
}

function isLevelEverywhere(rig: CoreRig): boolean {
  for (const controller of rig.controllers.values())
    for (const { isLevel } of controller.tallies!.status().peers) if (!isLevel) return false;
  return true;
}

test('every controller serves tallies', everyControllerServesTallies);
test('acknowledged additions outlast the closing loss', acknowledgedAdditionsOutlastTheClosingLoss);
test('an addition outlasts who acknowledged it', anAdditionOutlastsWhoAcknowledgedIt);
test('copies on slow disks are waited for', copiesOnSlowDisksAreWaitedFor);
test('reset connections are waited for', resetConnectionsAreWaitedFor);
test('reads wait for all that come back', readsWaitForAllThatComeBack);
test('additions are bounded by memory', additionsAreBoundedByMemory);
test('an id counts once', anIdCountsOnce);
test('both sides of a cut add', bothSidesOfACutAdd);
test('differing amounts are chosen alike', differingAmountsAreChosenAlike);
test('additions go round a broken bridge', additionsGoRoundABrokenBridge);
test('a disk that takes no writes is no success', aDiskThatTakesNoWritesIsNoSuccess);
test('a stalled disk is told', aStalledDiskIsTold);
test('an emptied disk catches up first', anEmptiedDiskCatchesUpFirst);
test('bad calls are refused', badCallsAreRefused);
test('names of all kinds are served', namesOfAllKindsAreServed);
test('amounts beyond safe integers add exactly', amountsBeyondSafeIntegersAddExactly);
test('additions side by side are answered in time', additionsSideBySideAreAnsweredInTime);
