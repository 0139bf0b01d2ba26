/**
 * Watches what a process uses, and kills it once it is over its memory, as the platform does.
 */

import { ChildProcess } from 'node:child_process';
import { readdirSync, readFileSync } from 'node:fs';

/** How often a process is looked at. */
const LOOK_MS = 10;
const BYTES_PER_KB = 1024;
const BYTES_PER_MB = 1e6;

/** The most that a process used while it was watched. */
export interface ProcessPeaks {
  /** Resident memory, by the kernel's own high-water mark. */
  memoryBytes: number;
  descriptors: number;
}

/** Watches one process, from now on. */
export class ProcessWatch {
  readonly peaks: ProcessPeaks = { memoryBytes: 0, descriptors: 0 };
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly child: ChildProcess,
    private readonly memoryMb: number,
  ) {
    this.timer = setInterval(this.look.bind(this), LOOK_MS);
    this.timer.unref();
  }

  /** Whether it still runs. */
  isAlive(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Looks at it now. */
  look(): void {
    if (!this.isAlive()) return;
    const status = statusOf(this.child.pid!);
    if (status === undefined) return;
    this.peaks.memoryBytes = Math.max(this.peaks.memoryBytes, status.peakBytes);
    this.peaks.descriptors = Math.max(this.peaks.descriptors, descriptorsOf(this.child.pid!));
    if (status.residentBytes > this.memoryMb * BYTES_PER_MB) this.child.kill('SIGKILL');
  }

  stop(): void {
    clearInterval(this.timer);
  }
}

/** The resident memory of a process and its peak; nothing where it is gone. */
function statusOf(pid: number): { residentBytes: number; peakBytes: number } | undefined {
  try {
    const text = readFileSync(`/proc/${pid}/status`, 'utf8');
    return { residentBytes: bytesOf(text, 'VmRSS'), peakBytes: bytesOf(text, 'VmHWM') };
  } catch {
    return undefined;
  }
}

function bytesOf(text: string, field: string): number {
  return Number(new RegExp(`^${field}:\\s*(\\d+)`, 'm').exec(text)?.[1] ?? 0) * BYTES_PER_KB;
}

function descriptorsOf(pid: number): number {
  try {
    return readdirSync(`/proc/${pid}/fd`).length;
  } catch {
    return 0;
  }
}
