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
async function carried(): Promise<void> {
  for (let seed = 31; seed <= 34; seed++) {
    const f = await founded(seed);
    const o = makeOperator(f);
    await applied(f, o);
    const ip = procOf(f, 'core-3').ip;
    for (const p of f.w.procs())
      if (p.ip !== ip)
        for (const [a, b] of [
          [p.ip, ip],
          [ip, p.ip],
        ])
          f.w.cut(a, b, true);
    await f.w.run(f.w.now() + 1500);
    await applied(f, o);
    lose(f, 'core-1', true);
    f.w.healLinks();
    await f.w.run(f.w.now() + 600);
    back(f, 'core-1');
    expect({ seed, at: (await until(f, f.w.now() + 4000, all(f, CORE), 5)) !== undefined }).toEqual(
      { seed, at: true },
    );
    lose(f, 'core-2', true);
    await applied(f, o);
    expect({ seed, newest: o.newest() }).toEqual({ seed, newest: o.acked() });
  }
}

async function routerFindsAnew(): Promise<void> {
  const f = started(14, 6, CORE);
  await until(f, 3000, all(f, CORE));
  f.told.bootstrap = false;
  const o = makeOperator(f);
  await applied(f, o);
  f.seeds.splice(0, 3, ...f.d.core.slice(3).map(wireOf));
  const edge = procOf(f, 'edge-1');
  for (const p of f.w.procs())
    if (p !== edge)
      for (const [a, b] of [
        [p.ip, edge.ip],
        [edge.ip, p.ip],
      ])
        f.w.cut(a, b, true);
  for (const [i, n] of CORE.entries()) {
    const into = `core-${i + 4}`;
    f.lost.delete(into);
    f.starts.get(into)!();
    await f.w.run(f.w.now() + 300);
    void f.controllers.get(n)!.drain();
    await f.w.run(f.w.now() + 2500);
    lose(f, n, true);
    f.lost.add(n);
    f.controllers.delete(n);
  }
  expect(votersOf(f)).toBe('4 5 6');
  f.w.healLinks();
  function known(): boolean {
    function isEdge(m: { name: string }): boolean {
      return m.name === 'edge-1';
    }
    return running(f)[0].leases.members().some(isEdge);
  }
  expect(await until(f, f.w.now() + 9000, known)).toBeDefined();
}

test(
  'what two disks acknowledged outlives both, one after the other, also if the third had missed it',
  carried,
);
test(
  'a router that was cut off while all controllers were exchanged finds them by its seeds',
  routerFindsAnew,
);
