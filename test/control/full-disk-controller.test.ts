import { Controller } from '../../src/control/controller';
import { Proc } from '../../tools/sim/process';
import { CoreRig, documentOf, makeCore, PATHS } from './deploymentrig';

/** An operator goes on to another controller after this silence, in ms. */
const PATIENCE_MS = 1000;

async function begin(seed: number, hasTasks = false): Promise<CoreRig> {
  const rig = makeCore(seed, { duties: hasTasks });
  const reply = await rig.settled(rig.insist(0, PATHS.replace, 0, documentOf(1, ['/a/']), 12000));
  expect(reply?.status).toBe(200);
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
  return rig.core.find(owns)!;
}

/** The revision that a controller describes, or what is wrong with its reply. */
async function describes(rig: CoreRig, process: Proc): Promise<number | string> {
  const askedAt = rig.w.now();
  const reply = await rig.settled(rig.call(process, 'GET', PATHS.describe));
  if (rig.w.now() - askedAt >= PATIENCE_MS) return 'late';
  return reply?.status === 200 ? (reply.body.revision as number) : `status ${reply?.status}`;
}

/** Has a change accepted, asked of one controller first; gives how long that took, in ms. */
async function change(rig: CoreRig, first: Proc, base: number): Promise<number | undefined> {
  const beganAt = rig.w.now();
  const document = documentOf(base + 1, ['/a/', `/v${base}/`]);
  const reply = await rig.settled(
    rig.insist(rig.core.indexOf(first), PATHS.replace, base, document, 9000),
  );
  return reply?.status === 200 ? rig.w.now() - beganAt : undefined;
}

type DiskFault = (rig: CoreRig, process: Proc, isOn: boolean) => void;

const DISK_FAULTS: Record<string, DiskFault> = { full, stalled };

function full(rig: CoreRig, process: Proc, isOn: boolean): void {
  rig.w.trace(`the disk of ${process.name} is ${isOn ? 'full' : 'free'}`);
  process.disk.full = isOn;
}

function stalled(rig: CoreRig, process: Proc, isOn: boolean): void {
  rig.w.stall(process, isOn);
}

/** Has all controllers lose power, and starts them again. */
async function loseAllPower(rig: CoreRig): Promise<void> {
  for (const process of rig.core) rig.w.kill(process, true);
  await rig.pass(500);
  for (const process of rig.core) {
    rig.w.revive(process);
    rig.start(process);
  }
  await rig.pass(3000);
}

/** One member's disk is at fault for a while: what went wrong with the changes and reads meanwhile and after. */
async function faultOfOne(fault: DiskFault, seed: number): Promise<string[]> {
  const wrong: string[] = [];
  const rig = await begin(seed);
  const victim = seed % 2 ? ownerOf(rig) : rig.core[seed % 3];
  let base = 1;
  async function changeAndRead(first: Proc): Promise<void> {
    const tookMs = await change(rig, first, base);
    if (tookMs === undefined || tookMs > 2000) wrong.push(`change on ${base} took ${tookMs}`);
    if (tookMs !== undefined) base++;
    const revision = await describes(rig, victim);
    if (revision !== base) wrong.push(`the member at fault tells ${revision}, not ${base}`);
  }
  fault(rig, victim, true);
  for (const process of [...rig.core, ...rig.core]) await changeAndRead(process);
  await rig.pass(8000);
  for (const process of rig.core) await changeAndRead(process);
  fault(rig, victim, false);
  await rig.pass(300);
  await changeAndRead(victim);
  if (!controllerAt(rig, victim).store.isWritable()) wrong.push('does not join again');
  await loseAllPower(rig);
  for (const process of rig.core) {
    const revision = await describes(rig, process);
    if (revision !== base)
      wrong.push(`after a loss of power ${process.name} tells ${revision}, not ${base}`);
  }
  return wrong;
}

async function oneMember(): Promise<void> {
  for (const [name, fault] of Object.entries(DISK_FAULTS))
    for (let seed = 1; seed <= 4; seed++)
      expect({ name, seed, wrong: await faultOfOne(fault, seed) }).toEqual({
        name,
        seed,
        wrong: [],
      });
}

/** The owner of the deployment's key and another member. */
function ownerAndAnother(rig: CoreRig): Proc[] {
  const owner = ownerOf(rig);
  function isOther(process: Proc): boolean {
    return process !== owner;
  }
  return [owner, ...rig.core.filter(isOther)].slice(0, 2);
}

/** What went wrong with reads and changes at each controller while a majority takes no writes. */
async function checkWithoutMajority(rig: CoreRig): Promise<string[]> {
  const wrong: string[] = [];
  for (const process of rig.core) {
    const revision = await describes(rig, process);
    if (revision !== 1) wrong.push(`${process.name} tells ${revision}`);
  }
  for (const process of rig.core) {
    const askedAt = rig.w.now();
    const reply = await rig.settled(
      rig.call(process, 'POST', PATHS.replace, 1, documentOf(2, ['/a/'])),
    );
    const tookMs = rig.w.now() - askedAt;
    if (reply?.status !== 503 || tookMs >= PATIENCE_MS)
      wrong.push(`${process.name} answers ${reply?.status} after ${tookMs}`);
  }
  return wrong;
}

/** Where a majority of the disks takes no writes, changes get no clear answer but reads do, and all goes on by itself. */
async function twoMembers(): Promise<void> {
  for (const [name, fault] of Object.entries(DISK_FAULTS)) {
    const rig = await begin(20);
    const victims = ownerAndAnother(rig);
    for (const process of victims) fault(rig, process, true);
    expect([name, ...(await checkWithoutMajority(rig))]).toEqual([name]);
    await rig.pass(6000);
    for (const process of victims) fault(rig, process, false);
    const document = documentOf(2, ['/a/']);
    const reply = await rig.settled(rig.insist(0, PATHS.replace, 1, document, 6000));
    expect([name, reply?.status]).toEqual([name, 200]);
  }
}

/** A member starts while its disk is at fault: what went wrong with its reads, and with its vote after. */
async function startWithFault(fault: DiskFault, isWiped: boolean): Promise<string[]> {
  const wrong: string[] = [];
  const rig = await begin(30, true);
  const [other, victim, third] = rig.core;
  rig.w.kill(victim, true);
  if (isWiped) victim.files.clear();
  await rig.pass(500);
  fault(rig, victim, true);
  rig.w.revive(victim);
  rig.controllers.delete(victim.name);
  rig.start(victim);
  await rig.pass(2500);
  const revision = await describes(rig, victim);
  if (revision !== 1) wrong.push(`tells ${revision}`);
  const tookMs = await change(rig, other, 1);
  if (tookMs === undefined || tookMs > 2000) wrong.push(`change took ${tookMs}`);
  fault(rig, victim, false);
  await rig.pass(6000);
  if (!rig.controllers.get(victim.name)?.store.isWritable()) wrong.push('not writable with room');
  rig.w.kill(third, true);
  const withoutThirdMs = await change(rig, other, 2);
  if (withoutThirdMs === undefined) wrong.push('does not vote with room');
  return wrong;
}

/** A member that starts while its disk hangs or is full answers reads, and votes once it can write. */
async function startsWithFault(): Promise<void> {
  for (const [name, fault] of Object.entries(DISK_FAULTS))
    for (const isWiped of [false, true])
      expect({ name, isWiped, wrong: await startWithFault(fault, isWiped) }).toEqual({
        name,
        isWiped,
        wrong: [],
      });
}

test('one member with a full or hanging disk holds nothing up and joins again', oneMember);
test('a majority of full or hanging disks takes no change and still tells what stands', twoMembers);
test('a member that starts on a full or hanging disk tells what stands', startsWithFault);
