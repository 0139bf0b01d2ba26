/** The ways in which controllers of a simulated core go, and come back. */

import { Proc } from '../../tools/sim/process';
import { CoreRig } from './deploymentrig';
import { killProcesses, restart } from './tallies-rig';

/** How controllers go, and how they come back. */
export interface ControllerLoss {
  take: (rig: CoreRig, procs: readonly Proc[]) => void;
  giveBack: (rig: CoreRig, procs: readonly Proc[]) => void;
}

/** The forms of loss, by name. */
export const LOSSES: Record<string, ControllerLoss> = {
  'killed processes': { take: killProcesses, giveBack: restart },
  'lost power': { take: cutPower, giveBack: restart },
  'frozen processes': { take: freeze, giveBack: thaw },
  'stalled disks': { take: stall, giveBack: unstall },
  'links of the core alone': { take: cutCoreLinks, giveBack: joinCoreLinks },
};

function cutPower(rig: CoreRig, procs: readonly Proc[]): void {
  for (const proc of procs) rig.w.kill(proc, true);
}

function freeze(rig: CoreRig, procs: readonly Proc[]): void {
  for (const proc of procs) rig.w.freeze(proc);
}

function thaw(rig: CoreRig, procs: readonly Proc[]): void {
  for (const proc of procs) rig.w.wake(proc);
}

function stall(rig: CoreRig, procs: readonly Proc[]): void {
  for (const proc of procs) rig.w.stall(proc, true);
}

function unstall(rig: CoreRig, procs: readonly Proc[]): void {
  for (const proc of procs) rig.w.stall(proc, false);
}

function setCoreLinks(rig: CoreRig, procs: readonly Proc[], isCut: boolean): void {
  for (const proc of procs)
    for (const other of rig.core) {
      rig.w.cut(proc.ip, other.ip, isCut);
      rig.w.cut(other.ip, proc.ip, isCut);
    }
}

function cutCoreLinks(rig: CoreRig, procs: readonly Proc[]): void {
  setCoreLinks(rig, procs, true);
}

function joinCoreLinks(rig: CoreRig, procs: readonly Proc[]): void {
  setCoreLinks(rig, procs, false);
}

/** A machine loses power, and its disk with it. */
export function loseDisk(rig: CoreRig, proc: Proc): void {
  rig.w.kill(proc, true);
  proc.files.clear();
}
