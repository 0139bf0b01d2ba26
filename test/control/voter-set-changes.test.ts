import { planVoterSet, VoterHealth } from '../../src/control/membership/voter-set-plan';
import { Voter } from '../../src/shared/state/voter-set';
import {
  back,
  isFounded,
  lose,
  makeOperator,
  procOf,
  running,
  until,
  votersOf,
} from '../../tools/sim/simcore';
import { all, applied, CORE, founded, started, wireOf } from './voter-set-rig';

function v(n: number, disk = `d${n}`): Voter {
  return { disk, at: `10.0.0.${n}:7000` };
}

function plan(
  now: Voter[],
  joiners: Voter[],
  target: number,
  stands: Record<string, VoterHealth> = {},
): string {
  function standing(x: Voter): VoterHealth {
    return stands[x.disk] ?? 'here';
  }
  function disk(x: Voter): string {
    return x.disk;
  }
  return planVoterSet(now, joiners, standing, target)?.map(disk).join(' ') ?? 'as it is';
}

function plans(): void {
  const three = [v(1), v(2), v(3)];
  const five = [...three, v(4), v(5)];
  expect({
    alone: plan(three, [], 3),
    full: plan(three, [v(4)], 3),
    emptied: plan(three, [v(2, 'new')], 3, { d2: 'emptied' }),
    twoEmptied: plan(five, [v(2, 'n2'), v(4, 'n4')], 5, { d2: 'emptied', d4: 'emptied' }),
    emptiedNotSeenYet: plan(five, [v(2, 'n2')], 5, { d2: 'away', d5: 'lost' }),
    emptiedAndLost: plan(five, [v(2, 'n2')], 5, { d2: 'lost', d1: 'lost' }),
    emptiedInFour: plan([v(1), v(2), v(3), v(4)], [v(2, 'n2')], 5, { d2: 'away' }),
    emptiedNotAsking: plan(three, [], 3, { d2: 'emptied' }),
    frozen: plan(three, [v(4)], 3, { d2: 'away' }),
    lostWithout: plan(three, [], 3, { d2: 'lost' }),
    lost: plan(three, [v(4)], 3, { d2: 'lost' }),
    leaving: plan(three, [v(4), v(5)], 3, { d3: 'leaving' }),
    pair: plan(three, [v(4), v(5)], 5),
    half: plan(three, [v(4)], 5),
    evenSet: plan([v(1), v(2)], [v(3)], 3),
    one: plan([v(1)], [v(2), v(3)], 3),
    lostAndPair: plan(three, [v(4), v(5), v(6)], 5, { d1: 'lost' }),
    tooMany: plan(five, [], 3, { d4: 'lost', d5: 'leaving' }),
    tooManyOne: plan(five, [], 3, { d4: 'lost' }),
  }).toEqual({
    alone: 'as it is',
    full: 'as it is',
    emptied: 'd1 new d3',
    twoEmptied: 'd1 n2 d3 n4 d5',
    emptiedNotSeenYet: 'as it is',
    emptiedAndLost: 'd1 n2 d3 d4 d5',
    emptiedInFour: 'as it is',
    emptiedNotAsking: 'as it is',
    frozen: 'as it is',
    lostWithout: 'as it is',
    lost: 'd1 d4 d3',
    leaving: 'd1 d2 d4',
    pair: 'd1 d2 d3 d4 d5',
    half: 'as it is',
    evenSet: 'd1 d2 d3',
    one: 'd1 d2 d3',
    lostAndPair: 'd4 d2 d3 d5 d6',
    tooMany: 'd1 d2 d3',
    tooManyOne: 'as it is',
  });
}

async function quickFounding(): Promise<void> {
  for (const seed of [1, 2, 3]) {
    const f = started(seed, 3, CORE);
    function up(): boolean {
      return votersOf(f) === '1 2 3' && isFounded(f) && running(f).every(knows);
    }
    expect((await until(f, 3000, up, 5))!).toBeLessThan(400);
  }
  function knows(c: { committedValue: (key: string) => unknown }): boolean {
    return c.committedValue('voters') !== undefined;
  }
}

async function lateFounder(): Promise<void> {
  const f = started(4, 3, ['core-1', 'core-3']);
  const o = makeOperator(f);
  f.told.foundBy = 'majority';
  await f.w.run(1500);
  await applied(f, o, 3000);
  f.lost.delete('core-2');
  f.starts.get('core-2')!();
  const began = f.w.now();
  expect((await until(f, began + 5000, all(f, CORE), 5))! - began).toBeLessThan(1500);
  lose(f, 'core-1', false);
  await f.w.run(f.w.now() + 1500);
  await applied(f, o);
  expect(o.newest()).toBe(o.acked());
}

async function fiveOfThreeSeeds(): Promise<void> {
  const f = await founded(5, 5, 2);
  const o = makeOperator(f);
  await applied(f, o);
  lose(f, 'core-1', true);
  lose(f, 'core-4', true);
  await f.w.run(f.w.now() + 1500);
  await applied(f, o);
  const began = f.w.now();
  back(f, 'core-1');
  back(f, 'core-4');
  expect((await until(f, began + 6000, all(f, f.core), 5))! - began).toBeLessThan(1500);
  lose(f, 'core-2', true);
  lose(f, 'core-3', true);
  await f.w.run(f.w.now() + 1500);
  await applied(f, o);
  expect(o.newest()).toBe(o.acked());
}

async function emptiedAtTheAck(): Promise<void> {
  for (let seed = 1; seed <= 12; seed++) {
    const f = await founded(seed);
    const o = makeOperator(f);
    await applied(f, o);
    await applied(f, o);
    const victim = CORE[seed % 3];
    const others = CORE.filter(isOther);
    function isOther(n: string): boolean {
      return n !== victim;
    }
    lose(f, victim, true);
    if (seed % 2 === 0) for (const n of others) lose(f, n, false);
    await f.w.run(f.w.now() + 900);
    if (seed % 2 === 0) for (const n of others) back(f, n);
    if (seed % 4 === 0) await f.w.run(f.w.now() + 700);
    const began = f.w.now();
    back(f, victim);
    const at = await until(f, began + 6000, all(f, CORE), 5);
    expect({ seed, quick: at !== undefined && at - began < 1500 }).toEqual({ seed, quick: true });
    for (const n of others) lose(f, n, false);
    await f.w.run(f.w.now() + 500);
    back(f, others[0]);
    lose(f, others[1], true);
    await applied(f, o);
    expect({ seed, newest: o.newest() }).toEqual({ seed, newest: o.acked() });
  }
}

async function turnover(leaves: boolean): Promise<void> {
  const f = started(6, 6, CORE);
  await until(f, 3000, all(f, CORE));
  f.told.bootstrap = false;
  const o = makeOperator(f);
  o.go();
  for (const [i, n] of CORE.entries()) {
    const into = `core-${i + 4}`;
    f.lost.delete(into);
    f.starts.get(into)!();
    await f.w.run(f.w.now() + 300);
    if (leaves) {
      void f.controllers.get(n)!.drain();
      await f.w.run(f.w.now() + 100);
    }
    lose(f, n, leaves);
    f.lost.add(n);
    f.controllers.delete(n);
    const began = f.w.now();
    expect((await until(f, began + 10000, all(f, [into])))! - began).toBeLessThan(
      leaves ? 1500 : 4000,
    );
    await f.w.run(f.w.now() + 3000);
  }
  o.halt();
  await f.w.run(f.w.now() + 1000);
  expect(votersOf(f)).toBe('4 5 6');
  expect(o.longest()).toBeLessThan(4000);
  expect(o.newest()).toBe(o.acked());
  f.seeds.splice(0, 3, ...f.d.core.slice(3).map(wireOf));
  for (const n of f.core.slice(3)) lose(f, n, false, false);
  await f.w.run(f.w.now() + 300);
  for (const n of f.core.slice(3)) back(f, n);
  await applied(f, o);
}

async function leavingTurnover(): Promise<void> {
  await turnover(true);
}

async function lostTurnover(): Promise<void> {
  await turnover(false);
}

async function awayThroughTurnover(): Promise<void> {
  const f = started(8, 6, CORE);
  await until(f, 3000, all(f, CORE));
  f.told.bootstrap = false;
  const o = makeOperator(f);
  await applied(f, o);
  lose(f, 'core-1', false);
  for (const n of ['core-4', 'core-5', 'core-6']) {
    f.lost.delete(n);
    f.starts.get(n)!();
  }
  function settled(): boolean {
    return /^2 3 [456]$/.test(votersOf(f));
  }
  expect(await until(f, f.w.now() + 8000, settled)).toBeDefined();
  for (const n of ['core-2', 'core-3']) {
    void f.controllers.get(n)!.drain();
    await f.w.run(f.w.now() + 1000);
    lose(f, n, true);
    f.controllers.delete(n);
    await f.w.run(f.w.now() + 3000);
  }
  await applied(f, o);
  f.seeds.splice(0, 3, f.d.core[4].wire);
  back(f, 'core-1');
  const c = 'core-1';
  function knows(): boolean {
    return (
      f.controllers.get(c)?.committedValue<unknown>('intents')?.place.number === o.acked() &&
      f.controllers.get(c)!.hasQuorum()
    );
  }
  expect(await until(f, f.w.now() + 6000, knows)).toBeDefined();
}

async function killedInTheMidst(): Promise<void> {
  for (let step = 0; step < 30; step++) {
    const f = await founded(20 + step);
    const o = makeOperator(f);
    await applied(f, o);
    lose(f, 'core-2', true);
    await f.w.run(f.w.now() + 2500);
    back(f, 'core-2');
    function begun(): boolean {
      return running(f).some(isJoint);
    }
    expect(await until(f, f.w.now() + 4000, begun, 1)).toBeDefined();
    await f.w.run(f.w.now() + step * 3);
    const owner = running(f).find(ownsVoters)!.name;
    lose(f, owner, false, step % 2 === 0);
    await f.w.run(f.w.now() + 600);
    back(f, owner);
    expect({
      step,
      at: (await until(f, f.w.now() + 4000, all(f, CORE), 10)) !== undefined,
    }).toEqual({ step, at: true });
    await applied(f, o);
    expect({ step, newest: o.newest() }).toEqual({ step, newest: o.acked() });
  }
  function isJoint(c: { voters: () => { next?: unknown } | undefined }): boolean {
    return c.voters()?.next !== undefined;
  }
  function ownsVoters(c: { keyOwner: { owns: (key: string) => boolean }; name: string }): boolean {
    return c.keyOwner.owns('voters');
  }
}

async function frozenWhileAdding(): Promise<void> {
  for (const n of CORE) {
    const f = started(9, 5, CORE, 2);
    await until(f, 3000, all(f, CORE));
    const o = makeOperator(f);
    await applied(f, o);
    f.w.freeze(procOf(f, n));
    for (const x of ['core-4', 'core-5']) {
      f.lost.delete(x);
      f.starts.get(x)!();
    }
    const began = f.w.now();
    const at = await until(f, began + 8000, all(f, ['core-4', 'core-5']), 10);
    expect({ n, quick: at !== undefined && at - began < 4500 }).toEqual({ n, quick: true });
    f.w.wake(procOf(f, n));
    await f.w.run(f.w.now() + 2000);
    expect({ n, voters: votersOf(f) }).toEqual({ n, voters: '1 2 3 4 5' });
    await applied(f, o);
  }
}

async function newcomerGone(): Promise<void> {
  for (let step = 0; step < 12; step++) {
    const f = await founded(60 + step);
    const o = makeOperator(f);
    await applied(f, o);
    lose(f, 'core-3', true);
    await f.w.run(f.w.now() + 2500);
    back(f, 'core-3');
    function begun(): boolean {
      return running(f).some(isJoint);
    }
    await until(f, f.w.now() + 4000, begun, 1);
    await f.w.run(f.w.now() + step * 4);
    lose(f, 'core-3', true);
    await f.w.run(f.w.now() + 1500);
    await applied(f, o);
    back(f, 'core-3');
    expect({
      step,
      at: (await until(f, f.w.now() + 4000, all(f, CORE), 10)) !== undefined,
    }).toEqual({ step, at: true });
  }
  function isJoint(c: { voters: () => { next?: unknown } | undefined }): boolean {
    return c.voters()?.next !== undefined;
  }
}

async function shortAway(): Promise<void> {
  for (const kind of ['freeze', 'cut']) {
    const f = started(10, 4, [...CORE, 'core-4']);
    await until(f, 3000, all(f, CORE));
    await f.w.run(3000);
    expect(votersOf(f)).toBe('1 2 3');
    const ip = procOf(f, 'core-2').ip;
    for (const p of f.w.procs()) if (kind === 'cut' && p.ip !== ip) f.w.cut(ip, p.ip, true);
    if (kind === 'freeze') f.w.freeze(procOf(f, 'core-2'));
    await f.w.run(f.w.now() + 1800);
    if (kind === 'freeze') f.w.wake(procOf(f, 'core-2'));
    f.w.healLinks();
    await f.w.run(f.w.now() + 3000);
    expect({ kind, voters: votersOf(f) }).toEqual({ kind, voters: '1 2 3' });
  }
}

test(
  'the next voter set: emptied machines at once, lost and leaving ones for machines that are here, odd numbers',
  plans,
);
test('three seeds that are up found within 0.4 s', quickFounding);
test(
  'where it is vouched for, a majority of the founders founds without the late one, which votes in its place when it comes',
  lateFounder,
);
test(
  'five core machines of three seeds all vote, and two may lose their disks, twice',
  fiveOfThreeSeeds,
);
test(
  'nothing acknowledged is lost with a disk at that moment, while the others lose power, and the emptied one counts within 1.5 s',
  emptiedAtTheAck,
);
test('every machine gives way to another one, each leaving, under changes', leavingTurnover);
test(
  'every machine gives way to another one, each lost without a word, under changes',
  lostTurnover,
);
test(
  'a machine that was away while all others were exchanged finds the core by the seeds',
  awayThroughTurnover,
);
test('the owner is killed at each step of a joint set, and another ends it', killedInTheMidst);
test('two machines are added while a voter is frozen, which stays', frozenWhileAdding);
test('a newcomer that is gone again in the midst holds nothing up', newcomerGone);
test(
  'a voter that is away for a short while keeps its place, also where another machine waits',
  shortAway,
);
