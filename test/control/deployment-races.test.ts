import { seededDice } from '../../tools/sim/dice';
import { Proc } from '../../tools/sim/process';
import { CoreRig, documentOf, Heard, makeCore, PATHS } from './deploymentrig';

interface Sent {
  base: number;
  revision: number;
  doc: Record<string, unknown>;
  heard?: Heard;
  over: boolean;
}

/** Sends a change as an operator would and notes the answer. */
function send(f: CoreRig, base: number, revision: number, first: number, most: number): Sent {
  const s: Sent = { base, revision, doc: documentOf(revision, [`/v${revision}/`]), over: false };
  function told(h: Heard | undefined): void {
    s.heard = h;
    s.over = true;
  }
  void f.insist(first, PATHS.replace, base, s.doc, most).then(told);
  return s;
}

function isTaken(s: Sent): boolean {
  return s.heard?.status === 200;
}

function isOver(s: Sent): boolean {
  return s.over;
}

async function finish(f: CoreRig, all: Sent[]): Promise<void> {
  for (let i = 0; i < 2000 && !all.every(isOver); i++) await f.pass(20);
  expect(all.every(isOver)).toBe(true);
}

/** What all controllers give back, asked again and again as an operator would. */
async function describe3(f: CoreRig): Promise<number[]> {
  const out: number[] = [];
  for (const p of f.core) {
    for (let i = 0; i < 40 && out.length < f.core.indexOf(p) + 1; i++) {
      const r = await f.settled(f.call(p, 'GET', PATHS.describe));
      if (r?.status === 200) out.push(r.body.revision as number);
      else await f.pass(100);
    }
  }
  return out;
}

/** Whatever became of each change: no base has two that were acknowledged, and what stands is the newest acknowledged or one whose fate was left open. */
async function judge(f: CoreRig, all: Sent[]): Promise<void> {
  const byBase = new Map<number, number[]>();
  for (const s of all.filter(isTaken))
    byBase.set(s.base, [...(byBase.get(s.base) ?? []), s.revision]);
  for (const [base, revisions] of byBase) expect([base, revisions.length]).toEqual([base, 1]);
  const newest = Math.max(0, ...all.filter(isTaken).map(revisionOf));
  const stands = await describe3(f);
  expect(stands.length).toBe(3);
  for (const r of stands) {
    expect(r).toBeGreaterThanOrEqual(newest);
    const of = all.find(isOf);
    function isOf(s: Sent): boolean {
      return s.revision === r;
    }
    expect([r, of?.heard?.status ?? 200]).toEqual([r, 200]);
  }
}

function revisionOf(s: Sent): number {
  return s.revision;
}

function back(f: CoreRig, p: Proc, wiped: boolean): void {
  if (wiped) p.files.clear();
  f.w.revive(p);
  f.start(p);
}

async function begin(seed: number): Promise<{ f: CoreRig; first: Sent }> {
  const f = makeCore(seed);
  const first = send(f, 0, 1, 0, 12000);
  await finish(f, [first]);
  expect(first.heard?.status).toBe(200);
  return { f, first };
}

async function racers(): Promise<void> {
  for (let seed = 1; seed <= 12; seed++) {
    const dice = seededDice(seed);
    const { f, first } = await begin(seed);
    const all = [first];
    let base = 1;
    for (let n = 0; n < 4; n++) {
      const pair = [
        send(f, base, 10 * n + 11, Math.floor(dice.next() * 3), 6000),
        send(f, base, 10 * n + 12, Math.floor(dice.next() * 3), 6000),
      ];
      all.push(...pair);
      await f.pass(dice.next() * 30);
      const victim = f.core[Math.floor(dice.next() * 3)];
      const others = f.core.filter(isOther);
      function isOther(p: Proc): boolean {
        return p !== victim;
      }
      const how = Math.floor(dice.next() * 4);
      if (how === 0) f.w.kill(victim, dice.next() < 0.5);
      if (how === 1) for (const o of others) f.w.cut(victim.ip, o.ip, true);
      if (how === 2) for (const o of others) f.w.cut(o.ip, victim.ip, true);
      if (how === 3) f.w.freeze(victim);
      await f.pass(200 + dice.next() * 3000);
      if (how === 0) back(f, victim, false);
      if (how === 3) f.w.wake(victim);
      f.w.healLinks();
      await finish(f, pair);
      base = (await describe3(f))[0];
    }
    await judge(f, all);
  }
}

async function powerAfterAck(): Promise<void> {
  for (let seed = 1; seed <= 10; seed++) {
    const { f, first } = await begin(seed);
    const next = send(f, 1, 2, seed, 8000);
    for (let i = 0; i < 4000 && !next.over; i++) await f.pass(1);
    expect(next.heard?.status).toBe(200);
    for (const p of f.core) f.w.kill(p, true);
    await f.pass(800);
    for (const p of f.core) back(f, p, false);
    await judge(f, [first, next]);
    const after = send(f, 2, 3, 0, 8000);
    await finish(f, [after]);
    expect(after.heard?.status).toBe(200);
  }
}

async function wipeAfterAck(): Promise<void> {
  for (let seed = 1; seed <= 9; seed++) {
    const { f, first } = await begin(seed);
    const next = send(f, 1, 2, seed, 8000);
    for (let i = 0; i < 4000 && !next.over; i++) await f.pass(1);
    expect(next.heard?.status).toBe(200);
    const lost = f.core[seed % 3];
    for (const p of f.core) f.w.kill(p, true);
    await f.pass(800);
    for (const p of f.core) back(f, p, p === lost);
    expect((await describe3(f)).slice(0, 2).every(isTwo)).toBe(true);
    await judge(f, [first, next]);
  }
  function isTwo(r: number): boolean {
    return r === 2;
  }
}

async function quick(): Promise<void> {
  const { f, first } = await begin(5);
  for (const lost of f.core) {
    f.w.kill(lost, true);
    await f.pass(3000);
    const began = f.w.now();
    const next = send(f, first.revision, first.revision + 1, f.core.indexOf(lost) + 1, 9000);
    await finish(f, [next]);
    expect(next.heard?.status).toBe(200);
    expect(f.w.now() - began).toBeLessThan(2000);
    first.revision++;
    back(f, lost, false);
    await f.pass(3000);
  }
}

test(
  'of two changes on one base one wins, whatever is killed, cut off or frozen meanwhile',
  racers,
);
test('what was acknowledged stands after all lost power at once', powerAfterAck);
test('what was acknowledged stands after one disk is lost and all lost power', wipeAfterAck);
test('with a core machine dark, a change is taken within two seconds', quick);
