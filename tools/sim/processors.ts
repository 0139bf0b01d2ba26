/**
 * Processor time in a simulated world: what a process does is timed on this machine, and takes the process that long
 * by its share of a processor. What comes to it meanwhile waits. Runs with processor time do not repeat exactly.
 */
import { Proc } from './process';

/** The processors of a world. */
export interface Processors {
  /** How much longer a process is busy; it is taken to run now where it is not. */
  busyMs: (proc: Proc, now: number) => number;
  /** Notes that an event begins. */
  began: () => void;
  /** Charges what the event took to the process that ran in it. */
  ended: (now: number) => void;
}

/** Makes processors; `shareOf` gives the share of one that each process has. */
export function makeProcessors(shareOf: (proc: Proc) => number): Processors {
  const busyUntil = new Map<Proc, number>();
  let running: Proc | undefined;
  let beganAt = 0;

  function busyMs(proc: Proc, now: number): number {
    const left = (busyUntil.get(proc) ?? 0) - now;
    if (left <= 0) running = proc;
    return left;
  }

  /** Processor time of this program so far, in ms, however busy the machine is. */
  function usedMs(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1000;
  }

  function began(): void {
    running = undefined;
    beganAt = usedMs();
  }

  function ended(now: number): void {
    if (!running) return;
    const took = (usedMs() - beganAt) / shareOf(running);
    busyUntil.set(running, Math.max(now, busyUntil.get(running) ?? 0) + took);
  }

  return { busyMs, began, ended };
}
