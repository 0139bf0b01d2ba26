/**
 * Controllers whose disks are full or hang.
 */

import { Controller } from '../../src/control/controller';
import { Proc } from '../../tools/sim/simworld';
import { CoreRig, documentOf, makeCore, PATHS } from './deploymentrig';

/** An operator goes on to another controller after this silence. */
const MAX_ANSWER_MS = 1000;

async function startCore(seed: number, duties = false): Promise<CoreRig> {
  const rig = makeCore(seed, { duties });
  const first = await rig.settled(rig.insist(0, PATHS.replace, 0, documentOf(1, ['/a/']), 12000));
  expect(first?.status).toBe(200);
  await rig.pass(1500);
  return rig;
}

function controllerAt(rig: CoreRig, process: Proc): Controller {
  return rig.controllers.get(process.name)!;
}

function ownerOf(rig: CoreRig): Proc {
  function owns(process: Proc): boolean {
    return controllerAt(rig, process).keyOwner.owns('deployment');
  }
  return rig.core.filter(owns)[0];
}

async function describedRevision(rig: CoreRig, process: Proc): Promise<number | string> {
  const began = rig.w.now();
  const response = await rig.settled(rig.call(process, 'GET', PATHS.describe));
  if (rig.w.now() - began >= MAX_ANSWER_MS) return 'late';
  return response?.status === 200
    ? (response.body.revision as number)
    : `status ${response?.status}`;
}

/** Has a change taken, asked of one controller first; gives how long that took. */
async function change(rig: CoreRig, first: Proc, base: number): Promise<number | undefined> {
  const began = rig.w.now();
  const doc = documentOf(base + 1, ['/a/', `/v${base}/`]);
  const response = await rig.settled(
    rig.insist(rig.core.indexOf(first), PATHS.replace, base, doc, 9000),
  );
  return response?.status === 200 ? rig.w.now() - began : undefined;
}

type DiskFault = (rig: CoreRig, process: Proc, on: boolean) => void;

const DISK_FAULTS: Record<string, DiskFault> = { fillDisk, stallDisk };

function fillDisk(rig: CoreRig, process: Proc, on: boolean): void {
  rig.w.trace(`the disk of ${process.name} is ${on ? 'full' : 'free'}`);
  process.disk.full = on;
}

function stallDisk(rig: CoreRig, process: Proc, on: boolean): void {
  rig.w.stall(process, on);
}

async function oneMember(): Promise<void> {
  const faults: string[] = [];
  for (const [name, trouble] of Object.entries(DISK_FAULTS)) {
    for (let seed = 1; seed <= 4; seed++) {
      const rig = await startCore(seed);
      const victim = seed % 2 ? ownerOf(rig) : rig.core[seed % 3];
      let base = 1;
      function note(what: string): void {
        faults.push(`${name} seed ${seed}: ${what}`);
      }
      async function step(first: Proc, most: number): Promise<void> {
        const took = await change(rig, first, base);
        if (took === undefined || took > most) note(`change on ${base} took ${took}`);
        if (took !== undefined) base++;
        const r = await describedRevision(rig, victim);
        if (r !== base) note(`the troubled member tells ${r} where ${base} stands`);
      }
      trouble(rig, victim, true);
      for (const process of [...rig.core, ...rig.core]) await step(process, 2000);
      await rig.pass(8000);
      for (const process of rig.core) await step(process, 2000);
      trouble(rig, victim, false);
      await rig.pass(300);
      await step(victim, 2000);
      if (!controllerAt(rig, victim).store.isWritable()) note('does not join again');
      for (const process of rig.core) rig.w.kill(process, true);
      await rig.pass(500);
      for (const process of rig.core) {
        rig.w.revive(process);
        rig.start(process);
      }
      await rig.pass(3000);
      for (const process of rig.core) {
        const r = await describedRevision(rig, process);
        if (r !== base)
          note(`after a loss of power ${process.name} tells ${r} where ${base} stands`);
      }
    }
  }
  expect(faults).toEqual([]);
}

/** Where a majority of the disks takes no writes, changes get no clear answer but reads do, and all goes on by itself. */
async function twoMembers(): Promise<void> {
  const faults: string[] = [];
  for (const [name, trouble] of Object.entries(DISK_FAULTS)) {
    const rig = await startCore(20);
    const [a, b] = [ownerOf(rig), ...rig.core].slice(0, 3).filter(isFirst);
    function isFirst(process: Proc, i: number, all: Proc[]): boolean {
      return all.indexOf(process) === i;
    }
    for (const process of [a, b]) trouble(rig, process, true);
    for (const process of rig.core) {
      const r = await describedRevision(rig, process);
      if (r !== 1) faults.push(`${name}: ${process.name} tells ${r}`);
    }
    for (const process of rig.core) {
      const began = rig.w.now();
      const o = rig.call(process, 'POST', PATHS.replace, 1, documentOf(2, ['/a/']));
      const response = await rig.settled(o);
      if (response?.status !== 503 || rig.w.now() - began >= MAX_ANSWER_MS)
        faults.push(
          `${name}: ${process.name} answers ${response?.status} after ${rig.w.now() - began}`,
        );
    }
    await rig.pass(6000);
    for (const process of [a, b]) trouble(rig, process, false);
    const took = await rig.settled(rig.insist(0, PATHS.replace, 1, documentOf(2, ['/a/']), 6000));
    if (took?.status !== 200) faults.push(`${name}: no change once there is room`);
  }
  expect(faults).toEqual([]);
}

/** A member that starts while its disk hangs or is full answers reads, and votes once it can write. */
async function startsOnFaultyDisk(): Promise<void> {
  const faults: string[] = [];
  for (const [name, trouble] of Object.entries(DISK_FAULTS)) {
    for (const wiped of [false, true]) {
      const rig = await startCore(30, true);
      const process = rig.core[1];
      rig.w.kill(process, true);
      if (wiped) process.files.clear();
      await rig.pass(500);
      trouble(rig, process, true);
      rig.w.revive(process);
      rig.controllers.delete(process.name);
      rig.start(process);
      await rig.pass(2500);
      const r = await describedRevision(rig, process);
      if (r !== 1) faults.push(`${name} wiped ${wiped}: tells ${r}`);
      const took = await change(rig, rig.core[0], 1);
      if (took === undefined || took > 2000)
        faults.push(`${name} wiped ${wiped}: change took ${took}`);
      trouble(rig, process, false);
      await rig.pass(6000);
      if (!rig.controllers.get(process.name)?.store.isWritable())
        faults.push(`${name} wiped ${wiped}: not fit with room`);
      rig.w.kill(rig.core[2], true);
      const alone = await change(rig, rig.core[0], 2);
      if (alone === undefined) faults.push(`${name} wiped ${wiped}: does not vote with room`);
    }
  }
  expect(faults).toEqual([]);
}

test('one member with a full or hanging disk holds nothing up and joins again', oneMember);
test('a majority of full or hanging disks takes no change and still answers reads', twoMembers);
test('a member that starts on a full or hanging disk answers reads', startsOnFaultyDisk);
