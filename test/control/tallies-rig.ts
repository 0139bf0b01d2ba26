/** Applications that add to tallies and read them at the controllers of a simulated core, with routers in each zone. */

import { Proc } from '../../tools/sim/process';
import { CoreRig, Heard, makeCore } from './deploymentrig';
import { followAt } from './follower-rig';

/** A cut shows at the connections after this: a silent peer is pinged and given up. */
export const NOTICED_MS = 2000;

/** A core is up after this. */
const START_MS = 4000;
const STEP_MS = 50;

/** Routers in each zone, from which a controller hears whether the zone is cut off from it. */
const ROUTERS_PER_ZONE = 2;

/** A simulated core and its routers. */
export interface TallyRig extends CoreRig {
  /** By the index of the controller in their zone. */
  routers: Proc[][];
}

/** A core of five controllers in five zones, two of which may be lost, after its start. */
export async function startedCore(
  seed: number,
  routersPerZone = ROUTERS_PER_ZONE,
): Promise<TallyRig> {
  const core = makeCore(seed, { size: 5, told: { tolerated: 2, toleratedZones: 1 } });
  const rig: TallyRig = { ...core, routers: [] };
  for (const index of rig.core.keys()) rig.routers.push(startRouters(rig, index, routersPerZone));
  while (rig.w.now() < START_MS) await rig.pass(STEP_MS);
  return rig;
}

function startRouters(rig: CoreRig, zoneIndex: number, count: number): Proc[] {
  const routers: Proc[] = [];
  for (let i = 1; i <= count; i++) {
    const router = rig.w.proc(`edge-${zoneIndex}-${i}`, `10.2.${zoneIndex}.${i}`);
    followAt(rig, router, rig.core[zoneIndex].name);
    routers.push(router);
  }
  return routers;
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

/** Cuts the zones of some controllers off from the others, both ways, or joins them again. */
export function cutOff(rig: TallyRig, side: readonly number[], isCut: boolean): void {
  for (const index of rig.core.keys())
    for (const otherIndex of rig.core.keys())
      if (side.includes(index) !== side.includes(otherIndex))
        cutZones(rig, index, otherIndex, isCut);
}

/** Cuts the packets from one zone to another, or lets them pass again. */
export function cutZones(rig: TallyRig, from: number, to: number, isCut: boolean): void {
  for (const sender of machinesOf(rig, from))
    for (const receiver of machinesOf(rig, to)) rig.w.cut(sender.ip, receiver.ip, isCut);
}

function machinesOf(rig: TallyRig, zoneIndex: number): Proc[] {
  return [rig.core[zoneIndex], ...rig.routers[zoneIndex]];
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
  restart(rig, procs);
}

/** Kills the processes of controllers; their disks remain. */
export function killProcesses(rig: CoreRig, procs: readonly Proc[]): void {
  for (const proc of procs) rig.w.kill(proc, false);
}

/** Starts the processes of controllers again. */
export function restart(rig: CoreRig, procs: readonly Proc[]): void {
  for (const proc of procs) {
    rig.controllers.delete(proc.name);
    rig.w.revive(proc);
    rig.start(proc);
  }
}
