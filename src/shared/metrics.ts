import { Clock, Disk } from './ports';

/** Figures of one process in the text form that collectors read. */
export interface Metrics {
  times(name: string, help: string, bound: number): (ms: number) => void;
  text(rows: string[]): string;
}

const RATIOS = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];

/** Makes the figures; buckets are ratios to the bound that a time is held against. */
export function makeMetrics(): Metrics {
  const all: (() => string[])[] = [];

  function times(name: string, help: string, bound: number): (ms: number) => void {
    const counts = RATIOS.map(zero);
    let sum = 0;
    let count = 0;

    function zero(): number {
      return 0;
    }

    function upTo(ratio: number): number {
      return Math.round(ratio * bound * 1000) / 1000;
    }

    function observe(ms: number): void {
      for (const [i, ratio] of RATIOS.entries()) if (ms <= upTo(ratio)) counts[i]++;
      sum += ms;
      count++;
    }

    function row(ratio: number, i: number): string {
      return `${name}_bucket{le="${upTo(ratio)}"} ${counts[i]}`;
    }

    function rows(): string[] {
      return [`# HELP ${name} ${help}`, `# TYPE ${name} histogram`, ...RATIOS.map(row), `${name}_bucket{le="+Inf"} ${count}`, `${name}_sum ${sum}`, `${name}_count ${count}`];
    }

    all.push(rows);
    return observe;
  }

  function text(rows: string[]): string {
    const out = [...rows];
    for (const histogram of all) out.push(...histogram());
    return `${out.join('\n')}\n`;
  }

  return { times, text };
}

/** A disk whose synced writes are timed. */
export function timedDisk(disk: Disk, clock: Clock, took: (ms: number) => void): Disk {
  async function timed<T>(run: Promise<T>): Promise<T> {
    const began = clock.now();
    const o = await run;
    took(clock.now() - began);
    return o;
  }
  function write(name: string, bytes: Uint8Array): ReturnType<Disk['write']> {
    return timed(disk.write(name, bytes));
  }
  function append(name: string, bytes: Uint8Array): ReturnType<Disk['append']> {
    return timed(disk.append(name, bytes));
  }
  return { read: disk.read, write, append };
}
