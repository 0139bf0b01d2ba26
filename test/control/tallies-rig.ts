/** Applications that add to tallies and read them at the controllers of a simulated core. */

import { Proc } from '../../tools/sim/process';
import { CoreRig, Heard, makeCore } from './deploymentrig';

/** A cut shows at the connections after this: a silent peer is pinged and given up. */
export const NOTICED_MS = 2000;

/** A core is up after this. */
const START_MS = 4000;
const STEP_MS = 50;

/** A core of five controllers in five zones, two of which may be lost, after its start. */
export async function startedCore(seed: number): Promise<CoreRig> {
  const rig = makeCore(seed, { size: 5, told: { tolerated: 2, toleratedZones: 1 } });
  while (rig.w.now() < START_MS) await rig.pass(STEP_MS);
  return rig;
}

/** Adds to a tally at one controller; nothing comes where it is silent for a second. */
export function add(
  rig: CoreRig,
  controller: number,
  tally: string,
  id: string,
  amount: number,
): Promise<Heard | undefined> {
  const path = `/api/Tallies.Update/${tally}`;
  const body = { instanceId: id, actor: amount };
  return rig.settled(rig.call(rig.core[controller], 'POST', path, undefined, body));
}

/** The status that an addition is answered with. */
export async function statusOfAdding(
  rig: CoreRig,
  controller: number,
  tally: string,
  id: string,
  amount: number,
): Promise<number | undefined> {
  return (await add(rig, controller, tally, id, amount))?.status;
}

/** Reads a tally at one controller; undefined where it gives none. */
export async function total(
  rig: CoreRig,
  controller: number,
  tally: string,
): Promise<number | undefined> {
  const path = `/api/Tallies.Describe/${tally}`;
  const heard = await rig.settled(rig.call(rig.core[controller], 'GET', path));
  return heard?.status === 200 ? (heard.body.total as number) : undefined;
}

/** Reads a tally at all controllers. */
export async function totals(rig: CoreRig, tally: string): Promise<(number | undefined)[]> {
  const read: (number | undefined)[] = [];
  for (const index of rig.core.keys()) read.push(await total(rig, index, tally));
  return read;
}

/** Cuts some controllers off from the others, both ways, or joins them again. */
export function cutOff(rig: CoreRig, side: readonly number[], isCut: boolean): void {
  for (const [index, proc] of rig.core.entries())
    for (const [otherIndex, other] of rig.core.entries())
      if (side.includes(index) !== side.includes(otherIndex)) rig.w.cut(proc.ip, other.ip, isCut);
}

/** Ends the processes of controllers by a loss of power, some with their disks, and starts them again after a while. */
export async function losePower(
  rig: CoreRig,
  procs: readonly Proc[],
  wiped: readonly Proc[],
): Promise<void> {
  for (const proc of procs) rig.w.kill(proc, true);
  for (const proc of wiped) proc.files.clear();
  await rig.pass(500);
  for (const proc of procs) {
    rig.controllers.delete(proc.name);
    rig.w.revive(proc);
    rig.start(proc);
  }
}
