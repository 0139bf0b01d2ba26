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
  const fleet = makeSimFleet(seed, 'saffron-bay', 2, 2, false, machines);
  Object.assign(fleet.told, { tolerated, foundBy: 'majority' });
  for (const name of fleet.core) if (!run.includes(name)) fleet.lost.add(name);
  fleet.startAll();
  return fleet;
}

/** A fleet whose core machines all vote. */
export async function founded(seed: number, machines = 3, tolerated = 1): Promise<SimFleet> {
  const fleet = started(
    seed,
    machines,
    machines === 5 ? [...CORE, 'core-4', 'core-5'] : CORE,
    tolerated,
  );
  function up(): boolean {
    return votersOf(fleet) === (tolerated === 2 ? '1 2 3 4 5' : '1 2 3') && isFounded(fleet);
  }
  expect(await until(fleet, 6000, up)).toBeDefined();
  fleet.told.bootstrap = false;
  return fleet;
}

function observe(promise: Promise<boolean>): { yes: boolean } {
  const outcome = { yes: false };
  function note(value: boolean): void {
    outcome.yes = value;
  }
  void promise.then(note);
  return outcome;
}

/** Applies a change; gives the ms until it was acknowledged. */
export async function applied(
  fleet: SimFleet,
  operator: ReturnType<typeof makeOperator>,
  within = 20000,
): Promise<number> {
  const began = fleet.w.now();
  const outcome = observe(operator.put());
  function isDone(): boolean {
    return outcome.yes;
  }
  const appliedAt = await until(fleet, began + within, isDone, 1);
  expect(appliedAt).toBeDefined();
  return appliedAt! - began;
}

/** Whether all of these vote with their own disks. */
export function all(fleet: SimFleet, names: readonly string[]): () => boolean {
  function test(): boolean {
    return counts(fleet, names);
  }
  return test;
}

/** Where a machine listens for our own processes. */
export function wireOf(node: { wire: string }): string {
  return node.wire;
}
