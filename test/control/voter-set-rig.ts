import { makeSimFleet, SimFleet } from '../../tools/sim/simfleet';
import { counts, isFounded, makeOperator, until, votersOf } from '../../tools/sim/simcore';

/** The core machines that found. */
export const CORE = ['core-1', 'core-2', 'core-3'];

/** A fleet of so many core machines, of which some run. */
export function started(
  seed: number,
  machines: number,
  run: readonly string[],
  tolerated = 1,
): SimFleet {
  const f = makeSimFleet(seed, 'saffron-bay', 2, 2, false, machines);
  Object.assign(f.told, { tolerated, foundBy: 'majority' });
  for (const n of f.core) if (!run.includes(n)) f.lost.add(n);
  f.startAll();
  return f;
}

/** A fleet whose core machines all vote. */
export async function founded(seed: number, machines = 3, tolerated = 1): Promise<SimFleet> {
  const f = started(
    seed,
    machines,
    machines === 5 ? [...CORE, 'core-4', 'core-5'] : CORE,
    tolerated,
  );
  function up(): boolean {
    return votersOf(f) === (tolerated === 2 ? '1 2 3 4 5' : '1 2 3') && isFounded(f);
  }
  expect(await until(f, 6000, up)).toBeDefined();
  f.told.bootstrap = false;
  return f;
}

function done(p: Promise<boolean>): { yes: boolean } {
  const r = { yes: false };
  function told(x: boolean): void {
    r.yes = x;
  }
  void p.then(told);
  return r;
}

/** Applies a change; gives the ms until it was acknowledged. */
export async function applied(
  f: SimFleet,
  o: ReturnType<typeof makeOperator>,
  within = 20000,
): Promise<number> {
  const began = f.w.now();
  const r = done(o.put());
  function isDone(): boolean {
    return r.yes;
  }
  const at = await until(f, began + within, isDone, 1);
  expect(at).toBeDefined();
  return at! - began;
}

/** Whether all of these vote with their own disks. */
export function all(f: SimFleet, names: readonly string[]): () => boolean {
  function test(): boolean {
    return counts(f, names);
  }
  return test;
}

/** Where a machine listens for our own processes. */
export function wireOf(x: { wire: string }): string {
  return x.wire;
}
