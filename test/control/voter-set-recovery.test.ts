import {
  back,
  lose,
  makeOperator,
  procOf,
  running,
  until,
  votersOf,
} from '../../tools/sim/simcore';
import { all, applied, CORE, founded, started, wireOf } from './voter-set-rig';

/** The acknowledgement came of two disks; the third was cut off then, and both others lose theirs, one after the other. */
async function acknowledgedByTwoDisks(): Promise<void> {
  for (let seed = 31; seed <= 34; seed++) {
    const fleet = await founded(seed);
    const operator = makeOperator(fleet);
    await applied(fleet, operator);
    const ip = procOf(fleet, 'core-3').ip;
    for (const proc of fleet.w.procs())
      if (proc.ip !== ip)
        for (const [from, to] of [
          [proc.ip, ip],
          [ip, proc.ip],
        ])
          fleet.w.cut(from, to, true);
    await fleet.w.run(fleet.w.now() + 1500);
    await applied(fleet, operator);
    lose(fleet, 'core-1', true);
    fleet.w.healLinks();
    await fleet.w.run(fleet.w.now() + 600);
    back(fleet, 'core-1');
    expect({
      seed,
      at: (await until(fleet, fleet.w.now() + 4000, all(fleet, CORE), 5)) !== undefined,
    }).toEqual({ seed, at: true });
    lose(fleet, 'core-2', true);
    await applied(fleet, operator);
    expect({ seed, newest: operator.newest() }).toEqual({ seed, newest: operator.acked() });
  }
}

async function routerFindsControllersBySeeds(): Promise<void> {
  const fleet = started(14, 6, CORE);
  await until(fleet, 3000, all(fleet, CORE));
  fleet.told.bootstrap = false;
  const operator = makeOperator(fleet);
  await applied(fleet, operator);
  fleet.seeds.splice(0, 3, ...fleet.d.core.slice(3).map(wireOf));
  const edge = procOf(fleet, 'edge-1');
  for (const proc of fleet.w.procs())
    if (proc !== edge)
      for (const [from, to] of [
        [proc.ip, edge.ip],
        [edge.ip, proc.ip],
      ])
        fleet.w.cut(from, to, true);
  for (const [i, name] of CORE.entries()) {
    const into = `core-${i + 4}`;
    fleet.lost.delete(into);
    fleet.starts.get(into)!();
    await fleet.w.run(fleet.w.now() + 300);
    void fleet.controllers.get(name)!.drain();
    await fleet.w.run(fleet.w.now() + 2500);
    lose(fleet, name, true);
    fleet.lost.add(name);
    fleet.controllers.delete(name);
  }
  expect(votersOf(fleet)).toBe('4 5 6');
  fleet.w.healLinks();
  function known(): boolean {
    function isEdge(member: { name: string }): boolean {
      return member.name === 'edge-1';
    }
    return running(fleet)[0].leases.members().some(isEdge);
  }
  expect(await until(fleet, fleet.w.now() + 9000, known)).toBeDefined();
}

test(
  'what two disks acknowledged survives the loss of both, one after the other, also if the third had missed it',
  acknowledgedByTwoDisks,
);
test(
  'a router that was partitioned while all controllers were replaced finds them by its seeds',
  routerFindsControllersBySeeds,
);
