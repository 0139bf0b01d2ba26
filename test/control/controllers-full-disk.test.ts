import { Controller } from '../../src/control/controller';
import { Proc } from '../../tools/sim/simworld';
import { CoreRig, documentOf, makeCore, PATHS } from './deploymentrig';

/** An operator goes on to another controller after this silence. */
const SECOND = 1000;

async function begin(seed: number, duties = false): Promise<CoreRig> {
  const f = makeCore(seed, { duties });
  const first = await f.settled(f.insist(0, PATHS.replace, 0, documentOf(1, ['/a/']), 12000));
  expect(first?.status).toBe(200);
  await f.pass(1500);
  return f;
}

function controllerAt(f: CoreRig, p: Proc): Controller {
  return f.controllers.get(p.name)!;
}

function ownerOf(f: CoreRig): Proc {
  function owns(p: Proc): boolean {
    return controllerAt(f, p).keyOwner.owns('deployment');
  }
  return f.core.filter(owns)[0];
}

async function describes(f: CoreRig, p: Proc): Promise<number | string> {
  const began = f.w.now();
  const r = await f.settled(f.call(p, 'GET', PATHS.describe));
  if (f.w.now() - began >= SECOND) return 'late';
  return r?.status === 200 ? (r.body.revision as number) : `status ${r?.status}`;
}

/** Has a change taken, asked of one controller first; gives how long that took. */
async function change(f: CoreRig, first: Proc, base: number): Promise<number | undefined> {
  const began = f.w.now();
  const doc = documentOf(base + 1, ['/a/', `/v${base}/`]);
  const r = await f.settled(f.insist(f.core.indexOf(first), PATHS.replace, base, doc, 9000));
  return r?.status === 200 ? f.w.now() - began : undefined;
}

type Trouble = (f: CoreRig, p: Proc, on: boolean) => void;

const TROUBLES: Record<string, Trouble> = { full, stalled };

function full(f: CoreRig, p: Proc, on: boolean): void {
  f.w.trace(`the disk of ${p.name} is ${on ? 'full' : 'free'}`);
  p.disk.full = on;
}

function stalled(f: CoreRig, p: Proc, on: boolean): void {
  f.w.stall(p, on);
}

async function oneMember(): Promise<void> {
  const faults: string[] = [];
  for (const [name, trouble] of Object.entries(TROUBLES)) {
    for (let seed = 1; seed <= 4; seed++) {
      const f = await begin(seed);
      const victim = seed % 2 ? ownerOf(f) : f.core[seed % 3];
      let base = 1;
      function note(what: string): void {
        faults.push(`${name} seed ${seed}: ${what}`);
      }
      async function step(first: Proc, most: number): Promise<void> {
        const took = await change(f, first, base);
        if (took === undefined || took > most) note(`change on ${base} took ${took}`);
        if (took !== undefined) base++;
        const r = await describes(f, victim);
        if (r !== base) note(`the troubled member tells ${r} where ${base} stands`);
      }
      trouble(f, victim, true);
      for (const p of [...f.core, ...f.core]) await step(p, 2000);
      await f.pass(8000);
      for (const p of f.core) await step(p, 2000);
      trouble(f, victim, false);
      await f.pass(300);
      await step(victim, 2000);
      if (!controllerAt(f, victim).store.isWritable()) note('does not join again');
      for (const p of f.core) f.w.kill(p, true);
      await f.pass(500);
      for (const p of f.core) {
        f.w.revive(p);
        f.start(p);
      }
      await f.pass(3000);
      for (const p of f.core) {
        const r = await describes(f, p);
        if (r !== base) note(`after a loss of power ${p.name} tells ${r} where ${base} stands`);
      }
    }
  }
  expect(faults).toEqual([]);
}

/** Where a majority of the disks takes no writes, changes get no clear answer but reads do, and all goes on by itself. */
async function twoMembers(): Promise<void> {
  const faults: string[] = [];
  for (const [name, trouble] of Object.entries(TROUBLES)) {
    const f = await begin(20);
    const [a, b] = [ownerOf(f), ...f.core].slice(0, 3).filter(isFirst);
    function isFirst(p: Proc, i: number, all: Proc[]): boolean {
      return all.indexOf(p) === i;
    }
    for (const p of [a, b]) trouble(f, p, true);
    for (const p of f.core) {
      const r = await describes(f, p);
      if (r !== 1) faults.push(`${name}: ${p.name} tells ${r}`);
    }
    for (const p of f.core) {
      const began = f.w.now();
      const o = f.call(p, 'POST', PATHS.replace, 1, documentOf(2, ['/a/']));
      const r = await f.settled(o);
      if (r?.status !== 503 || f.w.now() - began >= SECOND)
        faults.push(`${name}: ${p.name} answers ${r?.status} after ${f.w.now() - began}`);
    }
    await f.pass(6000);
    for (const p of [a, b]) trouble(f, p, false);
    const took = await f.settled(f.insist(0, PATHS.replace, 1, documentOf(2, ['/a/']), 6000));
    if (took?.status !== 200) faults.push(`${name}: no change once there is room`);
  }
  expect(faults).toEqual([]);
}

/** A member that starts while its disk hangs or is full answers reads, and votes once it can write. */
async function startsInTrouble(): Promise<void> {
  const faults: string[] = [];
  for (const [name, trouble] of Object.entries(TROUBLES)) {
    for (const wiped of [false, true]) {
      const f = await begin(30, true);
      const p = f.core[1];
      f.w.kill(p, true);
      if (wiped) p.files.clear();
      await f.pass(500);
      trouble(f, p, true);
      f.w.revive(p);
      f.controllers.delete(p.name);
      f.start(p);
      await f.pass(2500);
      const r = await describes(f, p);
      if (r !== 1) faults.push(`${name} wiped ${wiped}: tells ${r}`);
      const took = await change(f, f.core[0], 1);
      if (took === undefined || took > 2000)
        faults.push(`${name} wiped ${wiped}: change took ${took}`);
      trouble(f, p, false);
      await f.pass(6000);
      if (!f.controllers.get(p.name)?.store.isWritable())
        faults.push(`${name} wiped ${wiped}: not fit with room`);
      f.w.kill(f.core[2], true);
      const alone = await change(f, f.core[0], 2);
      if (alone === undefined) faults.push(`${name} wiped ${wiped}: does not vote with room`);
    }
  }
  expect(faults).toEqual([]);
}

test('one member with a full or hanging disk holds nothing up and joins again', oneMember);
test('a majority of full or hanging disks takes no change and still tells what stands', twoMembers);
test('a member that starts on a full or hanging disk tells what stands', startsInTrouble);
