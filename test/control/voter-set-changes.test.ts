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

function voter(index: number, disk = `d${index}`): Voter {
  return { disk, at: `10.0.0.${index}:7000` };
}

function describePlan(
  current: Voter[],
  candidates: Voter[],
  targetSize: number,
  healthByDisk: Record<string, VoterHealth> = {},
): string {
  function healthOf(voter: Voter): VoterHealth {
    return healthByDisk[voter.disk] ?? 'here';
  }
  function diskOf(voter: Voter): string {
    return voter.disk;
  }
  return (
    planVoterSet(current, candidates, healthOf, targetSize)?.map(diskOf).join(' ') ?? 'as it is'
  );
}

function plansVoterSets(): void {
  const three = [voter(1), voter(2), voter(3)];
  const five = [...three, voter(4), voter(5)];
  expect({
    alone: describePlan(three, [], 3),
    full: describePlan(three, [voter(4)], 3),
    emptied: describePlan(three, [voter(2, 'new')], 3, { d2: 'emptied' }),
    twoEmptied: describePlan(five, [voter(2, 'n2'), voter(4, 'n4')], 5, {
      d2: 'emptied',
      d4: 'emptied',
    }),
    emptiedNotSeenYet: describePlan(five, [voter(2, 'n2')], 5, { d2: 'away', d5: 'lost' }),
    emptiedAndLost: describePlan(five, [voter(2, 'n2')], 5, { d2: 'lost', d1: 'lost' }),
    emptiedInFour: describePlan([voter(1), voter(2), voter(3), voter(4)], [voter(2, 'n2')], 5, {
      d2: 'away',
    }),
    emptiedNotAsking: describePlan(three, [], 3, { d2: 'emptied' }),
    frozen: describePlan(three, [voter(4)], 3, { d2: 'away' }),
    lostWithout: describePlan(three, [], 3, { d2: 'lost' }),
    lost: describePlan(three, [voter(4)], 3, { d2: 'lost' }),
    leaving: describePlan(three, [voter(4), voter(5)], 3, { d3: 'leaving' }),
    pair: describePlan(three, [voter(4), voter(5)], 5),
    half: describePlan(three, [voter(4)], 5),
    evenSet: describePlan([voter(1), voter(2)], [voter(3)], 3),
    one: describePlan([voter(1)], [voter(2), voter(3)], 3),
    lostAndPair: describePlan(three, [voter(4), voter(5), voter(6)], 5, { d1: 'lost' }),
    tooMany: describePlan(five, [], 3, { d4: 'lost', d5: 'leaving' }),
    tooManyOne: describePlan(five, [], 3, { d4: 'lost' }),
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

async function bootstrapsQuickly(): Promise<void> {
  for (const seed of [1, 2, 3]) {
    const fleet = started(seed, 3, CORE);
    function up(): boolean {
      return votersOf(fleet) === '1 2 3' && isFounded(fleet) && running(fleet).every(knows);
    }
    expect((await until(fleet, 3000, up, 5))!).toBeLessThan(400);
  }
  function knows(controller: { committedValue: (key: string) => unknown }): boolean {
    return controller.committedValue('voters') !== undefined;
  }
}

async function lateFounder(): Promise<void> {
  const fleet = started(4, 3, ['core-1', 'core-3']);
  const operator = makeOperator(fleet);
  fleet.told.foundBy = 'majority';
  await fleet.w.run(1500);
  await applied(fleet, operator, 3000);
  fleet.lost.delete('core-2');
  fleet.starts.get('core-2')!();
  const began = fleet.w.now();
  expect((await until(fleet, began + 5000, all(fleet, CORE), 5))! - began).toBeLessThan(1500);
  lose(fleet, 'core-1', false);
  await fleet.w.run(fleet.w.now() + 1500);
  await applied(fleet, operator);
  expect(operator.newest()).toBe(operator.acked());
}

async function fiveOfThreeSeeds(): Promise<void> {
  const fleet = await founded(5, 5, 2);
  const operator = makeOperator(fleet);
  await applied(fleet, operator);
  lose(fleet, 'core-1', true);
  lose(fleet, 'core-4', true);
  await fleet.w.run(fleet.w.now() + 1500);
  await applied(fleet, operator);
  const began = fleet.w.now();
  back(fleet, 'core-1');
  back(fleet, 'core-4');
  expect((await until(fleet, began + 6000, all(fleet, fleet.core), 5))! - began).toBeLessThan(1500);
  lose(fleet, 'core-2', true);
  lose(fleet, 'core-3', true);
  await fleet.w.run(fleet.w.now() + 1500);
  await applied(fleet, operator);
  expect(operator.newest()).toBe(operator.acked());
}

async function diskLostAtAcknowledgement(): Promise<void> {
  for (let seed = 1; seed <= 12; seed++) {
    const fleet = await founded(seed);
    const operator = makeOperator(fleet);
    await applied(fleet, operator);
    await applied(fleet, operator);
    const victim = CORE[seed % 3];
    const others = CORE.filter(isOther);
    function isOther(name: string): boolean {
      return name !== victim;
    }
    lose(fleet, victim, true);
    if (seed % 2 === 0) for (const name of others) lose(fleet, name, false);
    await fleet.w.run(fleet.w.now() + 900);
    if (seed % 2 === 0) for (const name of others) back(fleet, name);
    if (seed % 4 === 0) await fleet.w.run(fleet.w.now() + 700);
    const began = fleet.w.now();
    back(fleet, victim);
    const reachedAt = await until(fleet, began + 6000, all(fleet, CORE), 5);
    expect({ seed, quick: reachedAt !== undefined && reachedAt - began < 1500 }).toEqual({
      seed,
      quick: true,
    });
    for (const name of others) lose(fleet, name, false);
    await fleet.w.run(fleet.w.now() + 500);
    back(fleet, others[0]);
    lose(fleet, others[1], true);
    await applied(fleet, operator);
    expect({ seed, newest: operator.newest() }).toEqual({ seed, newest: operator.acked() });
  }
}

async function turnover(leaves: boolean): Promise<void> {
  const fleet = started(6, 6, CORE);
  await until(fleet, 3000, all(fleet, CORE));
  fleet.told.bootstrap = false;
  const operator = makeOperator(fleet);
  operator.go();
  for (const [i, name] of CORE.entries()) {
    const into = `core-${i + 4}`;
    fleet.lost.delete(into);
    fleet.starts.get(into)!();
    await fleet.w.run(fleet.w.now() + 300);
    if (leaves) {
      void fleet.controllers.get(name)!.drain();
      await fleet.w.run(fleet.w.now() + 100);
    }
    lose(fleet, name, leaves);
    fleet.lost.add(name);
    fleet.controllers.delete(name);
    const began = fleet.w.now();
    expect((await until(fleet, began + 10000, all(fleet, [into])))! - began).toBeLessThan(
      leaves ? 1500 : 4000,
    );
    await fleet.w.run(fleet.w.now() + 3000);
  }
  operator.halt();
  await fleet.w.run(fleet.w.now() + 1000);
  expect(votersOf(fleet)).toBe('4 5 6');
  expect(operator.longest()).toBeLessThan(4000);
  expect(operator.newest()).toBe(operator.acked());
  fleet.seeds.splice(0, 3, ...fleet.d.core.slice(3).map(wireOf));
  for (const name of fleet.core.slice(3)) lose(fleet, name, false, false);
  await fleet.w.run(fleet.w.now() + 300);
  for (const name of fleet.core.slice(3)) back(fleet, name);
  await applied(fleet, operator);
}

async function leavingTurnover(): Promise<void> {
  await turnover(true);
}

async function lostTurnover(): Promise<void> {
  await turnover(false);
}

async function awayThroughTurnover(): Promise<void> {
  const fleet = started(8, 6, CORE);
  await until(fleet, 3000, all(fleet, CORE));
  fleet.told.bootstrap = false;
  const operator = makeOperator(fleet);
  await applied(fleet, operator);
  lose(fleet, 'core-1', false);
  for (const name of ['core-4', 'core-5', 'core-6']) {
    fleet.lost.delete(name);
    fleet.starts.get(name)!();
  }
  function settled(): boolean {
    return /^2 3 [456]$/.test(votersOf(fleet));
  }
  expect(await until(fleet, fleet.w.now() + 8000, settled)).toBeDefined();
  for (const name of ['core-2', 'core-3']) {
    void fleet.controllers.get(name)!.drain();
    await fleet.w.run(fleet.w.now() + 1000);
    lose(fleet, name, true);
    fleet.controllers.delete(name);
    await fleet.w.run(fleet.w.now() + 3000);
  }
  await applied(fleet, operator);
  fleet.seeds.splice(0, 3, fleet.d.core[4].wire);
  back(fleet, 'core-1');
  const returning = 'core-1';
  function knows(): boolean {
    return (
      fleet.controllers.get(returning)?.committedValue<unknown>('intents')?.place.number ===
        operator.acked() && fleet.controllers.get(returning)!.hasQuorum()
    );
  }
  expect(await until(fleet, fleet.w.now() + 6000, knows)).toBeDefined();
}

async function ownerKilledDuringJointSet(): Promise<void> {
  for (let step = 0; step < 30; step++) {
    const fleet = await founded(20 + step);
    const operator = makeOperator(fleet);
    await applied(fleet, operator);
    lose(fleet, 'core-2', true);
    await fleet.w.run(fleet.w.now() + 2500);
    back(fleet, 'core-2');
    function begun(): boolean {
      return running(fleet).some(isJoint);
    }
    expect(await until(fleet, fleet.w.now() + 4000, begun, 1)).toBeDefined();
    await fleet.w.run(fleet.w.now() + step * 3);
    const owner = running(fleet).find(ownsVoters)!.name;
    lose(fleet, owner, false, step % 2 === 0);
    await fleet.w.run(fleet.w.now() + 600);
    back(fleet, owner);
    expect({
      step,
      at: (await until(fleet, fleet.w.now() + 4000, all(fleet, CORE), 10)) !== undefined,
    }).toEqual({ step, at: true });
    await applied(fleet, operator);
    expect({ step, newest: operator.newest() }).toEqual({ step, newest: operator.acked() });
  }
  function isJoint(controller: { voters: () => { next?: unknown } | undefined }): boolean {
    return controller.voters()?.next !== undefined;
  }
  function ownsVoters(controller: {
    keyOwner: { owns: (key: string) => boolean };
    name: string;
  }): boolean {
    return controller.keyOwner.owns('voters');
  }
}

async function frozenWhileAdding(): Promise<void> {
  for (const name of CORE) {
    const fleet = started(9, 5, CORE, 2);
    await until(fleet, 3000, all(fleet, CORE));
    const operator = makeOperator(fleet);
    await applied(fleet, operator);
    fleet.w.freeze(procOf(fleet, name));
    for (const added of ['core-4', 'core-5']) {
      fleet.lost.delete(added);
      fleet.starts.get(added)!();
    }
    const began = fleet.w.now();
    const reachedAt = await until(fleet, began + 8000, all(fleet, ['core-4', 'core-5']), 10);
    expect({ n: name, quick: reachedAt !== undefined && reachedAt - began < 4500 }).toEqual({
      n: name,
      quick: true,
    });
    fleet.w.wake(procOf(fleet, name));
    await fleet.w.run(fleet.w.now() + 2000);
    expect({ n: name, voters: votersOf(fleet) }).toEqual({ n: name, voters: '1 2 3 4 5' });
    await applied(fleet, operator);
  }
}

async function newVoterGoneDuringJointSet(): Promise<void> {
  for (let step = 0; step < 12; step++) {
    const fleet = await founded(60 + step);
    const operator = makeOperator(fleet);
    await applied(fleet, operator);
    lose(fleet, 'core-3', true);
    await fleet.w.run(fleet.w.now() + 2500);
    back(fleet, 'core-3');
    function begun(): boolean {
      return running(fleet).some(isJoint);
    }
    await until(fleet, fleet.w.now() + 4000, begun, 1);
    await fleet.w.run(fleet.w.now() + step * 4);
    lose(fleet, 'core-3', true);
    await fleet.w.run(fleet.w.now() + 1500);
    await applied(fleet, operator);
    back(fleet, 'core-3');
    expect({
      step,
      at: (await until(fleet, fleet.w.now() + 4000, all(fleet, CORE), 10)) !== undefined,
    }).toEqual({ step, at: true });
  }
  function isJoint(controller: { voters: () => { next?: unknown } | undefined }): boolean {
    return controller.voters()?.next !== undefined;
  }
}

async function awayForShortTime(): Promise<void> {
  for (const kind of ['freeze', 'cut']) {
    const fleet = started(10, 4, [...CORE, 'core-4']);
    await until(fleet, 3000, all(fleet, CORE));
    await fleet.w.run(3000);
    expect(votersOf(fleet)).toBe('1 2 3');
    const ip = procOf(fleet, 'core-2').ip;
    for (const proc of fleet.w.procs())
      if (kind === 'cut' && proc.ip !== ip) fleet.w.cut(ip, proc.ip, true);
    if (kind === 'freeze') fleet.w.freeze(procOf(fleet, 'core-2'));
    await fleet.w.run(fleet.w.now() + 1800);
    if (kind === 'freeze') fleet.w.wake(procOf(fleet, 'core-2'));
    fleet.w.healLinks();
    await fleet.w.run(fleet.w.now() + 3000);
    expect({ kind, voters: votersOf(fleet) }).toEqual({ kind, voters: '1 2 3' });
  }
}

test(
  'the planned voter set replaces emptied machines at once, lost and leaving ones by candidates, and stays odd',
  plansVoterSets,
);
test('three founders that are up bootstrap the cluster within 0.4 s', bootstrapsQuickly);
test(
  'where the settings allow it, a majority of the founders bootstraps without the late one, which votes once it starts',
  lateFounder,
);
test(
  'five controllers with three seeds all vote, and two may lose their disks, twice',
  fiveOfThreeSeeds,
);
test(
  'nothing acknowledged is lost with a disk at that moment, while the others lose power, and the emptied one votes within 1.5 s',
  diskLostAtAcknowledgement,
);
test('every machine is replaced, each leaving gracefully, under changes', leavingTurnover);
test('every machine is replaced, each lost without notice, under changes', lostTurnover);
test(
  'a machine that was away while all others were replaced finds the voters by the seeds',
  awayThroughTurnover,
);
test(
  'the owner is killed at each step of a joint set, and another node completes it',
  ownerKilledDuringJointSet,
);
test('two machines are added while a voter is frozen, which stays a voter', frozenWhileAdding);
test('a new voter that is gone during the joint set blocks nothing', newVoterGoneDuringJointSet);
test(
  'a voter that is away for a short time keeps its place, also where a candidate waits',
  awayForShortTime,
);
