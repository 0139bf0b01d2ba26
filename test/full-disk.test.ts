import { Controller } from '../src/control/controller';
import { Acceptor } from '../src/control/register';
import { openSlots, Slots } from '../src/control/slots';
import { KeptVotes, readVotes, Votes } from '../src/control/votes';
import { dispatch } from '../src/shared/edge';
import { bad, open, Outcome } from '../src/shared/errors';
import { Numbered, Voters } from '../src/shared/words';
import { makeNet, SimNet } from '../tools/sim/simwire';
import { makeWorld, Proc, World } from '../tools/sim/simworld';
import { CoreRig, documentOf, makeCore, PATHS } from './deploymentrig';

/** An operator goes on to another controller after this silence. */
const SECOND = 1000;
/** The log is short here, so that slots take turns often. */
const MOST_LOG = 1200;
/** A disk that hangs is opened all the same after this. */
const OPEN_WITHIN = 500;

async function settled<T>(w: World, p: Promise<T>, most = 5000): Promise<T | undefined> {
  let got: { v: T } | undefined;
  function told(v: T): void {
    got = { v };
  }
  void p.then(told);
  for (let i = 0; i < most && !got; i++) await w.run(w.now() + 1);
  return got?.v;
}

interface Machine {
  w: World;
  net: SimNet;
  p: Proc;
}

function machine(seed: number): Machine {
  const w = makeWorld(seed, false);
  return { w, net: makeNet(w), p: w.proc('node', '10.1.0.1') };
}

interface Opened {
  slots: Slots;
  votes: Votes;
}

function openAll(m: Machine): Promise<Opened> {
  const ports = m.net.ports(m.p);
  async function run(): Promise<Opened> {
    const kept = (await readVotes(ports)).extract() as KeptVotes;
    const slots = (await openSlots(ports, MOST_LOG, kept, OPEN_WITHIN)).extract() as Slots;
    function voters(): Voters {
      return { now: [{ disk: slots.disk, at: '10.1.0.1:7000' }] };
    }
    const votes = new Votes(slots, ports, voters, 400);
    await votes.begin(kept, OPEN_WITHIN);
    return { slots, votes };
  }
  return run();
}

function accepted(number: number): Numbered {
  return { key: 'k', epoch: 1, by: 'a.1', number, value: 'v'.repeat(50 + number * 7) };
}

/** Writes on while there is room and after, and shows at each step what a restart would find. */
async function fullFrom(room: number, refused: number, seed: number): Promise<string[]> {
  const faults: string[] = [];
  const m = machine(seed);
  const { slots, votes } = (await settled(m.w, openAll(m)))!;
  const voted: string[] = [];
  let acked = 0;
  m.p.disk.room = room;
  for (let n = 1; n <= 24; n++) {
    if (m.p.disk.room < -refused) m.p.disk.room = Infinity;
    const change = accepted(n);
    const [f] = open(
      (await settled(
        m.w,
        slots.put({ key: 'k', promised: { epoch: 1, by: 'a.1' }, accepted: change }),
      ))!,
    );
    if (!f) acked = n;
    const learned = (await settled(m.w, slots.put({ key: 'k', learned: true })))!;
    const vote = (await settled(m.w, votes.vote({ key: `x${n}`, run: `r${n}` })))!;
    if (vote.isRight()) voted.push(`x${n}`);
    if (m.p.disk.room === Infinity && n > room + refused + 2 && (f || learned.isLeft()))
      faults.push(`change ${n} is not taken though there is room`);
    faults.push(...(await foundAnew(m, slots, acked, voted.slice(-20))));
  }
  if (!slots.fit()) faults.push('not fit at the end');
  return faults;
}

/** What a restart from the files as they are would have lost. */
async function foundAnew(
  m: Machine,
  was: Slots,
  acked: number,
  voted: string[],
): Promise<string[]> {
  const faults: string[] = [];
  const copy = machine(7);
  for (const [name, bytes] of m.p.files) copy.p.files.set(name, bytes);
  const { slots, votes } = (await settled(copy.w, openAll(copy)))!;
  const number = slots.cells.get('k')?.accepted?.number ?? 0;
  if (slots.disk !== was.disk || slots.spoilt) faults.push(`counts as a new disk at ${acked}`);
  if (number < acked) faults.push(`holds ${number} where ${acked} was acknowledged`);
  const held = (await settled(copy.w, votes.held({ begins: 'x' })))!;
  const keys = new Set<string>();
  for (const v of (held.extract() as { votes: { key: string }[] }).votes) keys.add(v.key);
  for (const key of voted) if (!keys.has(key)) faults.push(`lost the vote for ${key}`);
  return faults;
}

async function everyWrite(): Promise<void> {
  const faults: string[] = [];
  for (let room = 0; room < 40; room++)
    for (const refused of [0, 1, 2, 7])
      for (const x of await fullFrom(room, refused, room + 1))
        faults.push(`room ${room} refused ${refused}: ${x}`);
  expect(faults).toEqual([]);
}

async function fullAtOpen(): Promise<void> {
  for (const kept of [false, true]) {
    const m = machine(3);
    if (kept) {
      const first = (await settled(m.w, openAll(m)))!;
      await settled(m.w, first.slots.put({ key: 'k', accepted: accepted(1) }));
    }
    m.p.disk.full = true;
    const { slots, votes } = (await settled(m.w, openAll(m)))!;
    expect(slots.fit()).toBe(false);
    expect(slots.cells.get('k')?.accepted?.number).toBe(kept ? 1 : undefined);
    const line = { key: 'k', accepted: accepted(2) };
    expect((await settled(m.w, slots.put(line)))!.isLeft()).toBe(true);
    expect((await settled(m.w, votes.vote({ key: 'x', run: 'r' })))!.isLeft()).toBe(true);
    m.p.disk.full = false;
    expect((await settled(m.w, slots.put(line)))!.isRight()).toBe(true);
    expect((await settled(m.w, votes.vote({ key: 'x', run: 'r' })))!.isRight()).toBe(true);
    expect(slots.fit()).toBe(true);
  }
}

/** What a hanging disk holds up at the start is the votes of this node, and nothing else. */
async function hangsAtOpen(): Promise<void> {
  for (const kept of [false, true]) {
    const m = machine(4);
    if (kept) {
      const first = (await settled(m.w, openAll(m)))!;
      await settled(m.w, first.slots.put({ key: 'k', accepted: accepted(1) }));
    }
    m.w.stall(m.p, true);
    const opened = await settled(m.w, openAll(m), 1500);
    expect({ kept, opened: opened !== undefined }).toEqual({ kept, opened: true });
    const { slots, votes } = opened!;
    expect(slots.fit()).toBe(false);
    expect(slots.cells.get('k')?.accepted?.number).toBe(kept ? 1 : undefined);
    const put = slots.put({ key: 'k', accepted: accepted(2) });
    const vote = votes.vote({ key: 'x', run: 'r' });
    expect(await settled(m.w, put, 300)).toBeUndefined();
    m.w.stall(m.p, false);
    expect((await settled(m.w, put))!.isRight()).toBe(true);
    expect((await settled(m.w, vote))!.isRight()).toBe(true);
    expect(slots.fit()).toBe(true);
    expect(await foundAnew(m, slots, 2, ['x'])).toEqual([]);
  }
}

/** While one write is under way, and after it has failed, nothing is answered by what is in memory only. */
async function answersWhenSynced(): Promise<void> {
  const m = machine(5);
  const { slots } = (await settled(m.w, openAll(m)))!;
  function voters(): Voters {
    return { now: [{ disk: slots.disk, at: '10.1.0.1:7000' }] };
  }
  function nothing(): void {}
  async function nobody(): Promise<Outcome<unknown>> {
    return bad('ask', '', 'nobody', 'refused', 'none');
  }
  const reach = {
    by: 'a.1',
    within: 1,
    voters,
    ask: nobody,
    learned: nothing,
    learnHere: nobody,
  };
  const acceptor = new Acceptor(slots, reach, m.net.ports(m.p));
  const change = { ...accepted(1), epoch: 5 };
  const asks: [string, object][] = [
    ['accept', { change }],
    ['accept', { change }],
    ['learn-accepted', { place: { key: 'k', epoch: 5, by: 'a.1', number: 1 } }],
    ['learn', { change }],
    ['prepare', { key: 'k', epoch: 6, by: 'b.1' }],
    ['prepare', { key: 'k', epoch: 7, by: 'c.1' }],
  ];
  function send([type, body]: [string, object]): Promise<Outcome<unknown>> {
    return dispatch([acceptor], type, body, undefined, 'node');
  }
  m.w.stall(m.p, true);
  const told = asks.map(send);
  for (const o of told) expect(await settled(m.w, o, 50)).toBeUndefined();
  const stale = (await settled(m.w, send(['prepare', { key: 'k', epoch: 6, by: 'd.1' }])))!;
  expect(stale.extract()).toMatchObject({ ok: false });
  m.p.disk.full = true;
  m.w.stall(m.p, false);
  for (const o of told) expect((await settled(m.w, o))!.isLeft()).toBe(true);
  expect((await settled(m.w, send(asks[3])))!.isLeft()).toBe(true);
  m.p.disk.full = false;
  const next = (await settled(m.w, send(['prepare', { key: 'k', epoch: 8, by: 'e.1' }])))!;
  expect(next.extract()).toMatchObject({ ok: true, accepted: change });
  const copy = machine(8);
  for (const [name, bytes] of m.p.files) copy.p.files.set(name, bytes);
  const again = (await settled(copy.w, openAll(copy)))!.slots.cells.get('k')!;
  expect(again).toEqual({
    promised: { epoch: 8, by: 'e.1' },
    accepted: change,
    learned: change,
  });
}

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
    return controllerAt(f, p).owner.owns('deployment');
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
      if (!controllerAt(f, victim).slots.fit()) note('does not join again');
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
      if (!f.controllers.get(p.name)?.slots.fit())
        faults.push(`${name} wiped ${wiped}: not fit with room`);
      f.w.kill(f.core[2], true);
      const alone = await change(f, f.core[0], 2);
      if (alone === undefined) faults.push(`${name} wiped ${wiped}: does not vote with room`);
    }
  }
  expect(faults).toEqual([]);
}

test('a disk that is full from any write on loses nothing, and is written again', everyWrite);
test('prepare, accept and learn are answered by what is synced only', answersWhenSynced);
test('a node starts on a full disk, and votes once there is room', fullAtOpen);
test('a node starts on a disk that hangs, and votes once that goes on', hangsAtOpen);
test('one member with a full or hanging disk holds nothing up and joins again', oneMember);
test('a majority of full or hanging disks takes no change and still tells what stands', twoMembers);
test('a member that starts on a full or hanging disk tells what stands', startsInTrouble);
