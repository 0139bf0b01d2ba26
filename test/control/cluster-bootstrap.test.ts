import { allVoters } from '../../src/shared/state/voter-set';
import { askCore, makeSimFleet, SimFleet, simIntents } from '../../tools/sim/simfleet';

interface Reply {
  status: number;
  body: Record<string, unknown>;
}

/** Runs virtual time on until a condition holds; gives the time, or undefined past the bound. */
async function until(f: SimFleet, most: number, test: () => boolean): Promise<number | undefined> {
  while (f.w.now() < most) {
    if (test()) return f.w.now();
    await f.w.run(f.w.now() + 50);
  }
  return undefined;
}

async function asked(f: SimFleet, method: string, path: string, body: unknown): Promise<Reply> {
  let r: Reply | undefined;
  function told(x: unknown): void {
    r = x as Reply;
  }
  void askCore(f, method, path, body).then(told);
  function back(): boolean {
    return r !== undefined;
  }
  await until(f, f.w.now() + 30000, back);
  return r!;
}

function without(core: string[], name: string): SimFleet {
  const f = makeSimFleet(7, 'saffron-bay', 2, 2, false);
  for (const n of core) f.lost.add(n);
  f.startAll();
  f.lost.delete(name);
  return f;
}

function founded(f: SimFleet): () => boolean {
  function test(): boolean {
    return f.controllers.size > 0 && [...f.controllers.values()].every(inMajority);
  }
  return test;
}

function inMajority(c: { hasQuorum: () => boolean }): boolean {
  return c.hasQuorum();
}

async function lateFounder(): Promise<void> {
  const f = without(['core-3'], 'core-3');
  expect(await until(f, 9000, founded(f))).toBeUndefined();
  f.starts.get('core-3')!();
  const at = await until(f, 20000, founded(f));
  expect(at! - 9000).toBeLessThan(1500);
  expect(
    (
      await asked(f, 'PUT', '/v1/intents', {
        basedOn: 0,
        intents: simIntents(f.d, 'probe-3', 0, []),
      })
    ).status,
  ).toBe(200);
}

async function absentFounder(): Promise<void> {
  const f = without(['core-3'], 'core-3');
  const at = f.d.core.map(wireOf);
  await f.w.run(1500);
  const codes: unknown[] = [];
  for (const names of [[at[1], at[2]], [at[1]], [at[2]], [at[2]]]) {
    const r = await asked(f, 'POST', '/v1/found', { without: names });
    codes.push((r.body.error as { code: string } | undefined)?.code ?? r.status);
  }
  expect(codes).toEqual(['no-quorum', 'conflict', 200, 200]);
  await until(f, 6000, founded(f));
  expect(
    (
      await asked(f, 'PUT', '/v1/intents', {
        basedOn: 0,
        intents: simIntents(f.d, 'probe-3', 0, []),
      })
    ).status,
  ).toBe(200);
  f.starts.get('core-3')!();
  function joined(): boolean {
    const v = f.controllers.get('core-3')?.voters();
    return v !== undefined && !v.next && allVoters(v).some(mine);
  }
  function mine(x: { disk: string }): boolean {
    return x.disk === f.controllers.get('core-3')!.store.diskId;
  }
  expect(await until(f, 20000, joined)).toBeDefined();
  f.w.kill(f.w.procAt(at[1].split(':')[0])!, true);
  await f.w.run(f.w.now() + 3000);
  expect(
    (
      await asked(f, 'PUT', '/v1/intents', {
        basedOn: 1,
        intents: simIntents(f.d, 'probe-5', 0, []),
      })
    ).status,
  ).toBe(200);
}

async function neverOverKept(): Promise<void> {
  const f = without([], '');
  await until(f, 9000, founded(f));
  expect(
    (
      await asked(f, 'PUT', '/v1/intents', {
        basedOn: 0,
        intents: simIntents(f.d, 'probe-3', 0, []),
      })
    ).status,
  ).toBe(200);
  for (const n of f.core) f.w.kill(f.w.procs().find(named(n))!, true);
  for (const n of f.core.slice(0, 2)) {
    const p = f.w.procs().find(named(n))!;
    p.files.clear();
    f.w.revive(p);
    f.controllers.clear();
  }
  for (const n of f.core.slice(0, 2)) f.starts.get(n)!();
  await f.w.run(f.w.now() + 4000);
  f.w.revive(f.w.procs().find(named(f.core[2]))!);
  f.starts.get(f.core[2])!();
  await f.w.run(f.w.now() + 8000);
  const r = await asked(f, 'POST', '/v1/found', { without: [f.d.core[2].wire] });
  expect(r.status).not.toBe(200);
  expect(
    f.controllers.get(f.core[2])!.committedValue<{ doc: unknown }>('intents')?.place.number,
  ).toBe(1);
}

function named(n: string): (p: { name: string }) => boolean {
  function test(p: { name: string }): boolean {
    return p.name === n;
  }
  return test;
}

function wireOf(c: { wire: string }): string {
  return c.wire;
}

test('a founder that is late holds the founding up, and no longer than it is late', lateFounder);
test(
  'operators found without a founder that is not there; it votes in its own place when it comes',
  absentFounder,
);
test('two emptied core machines never found anew while the third has what was kept', neverOverKept);
