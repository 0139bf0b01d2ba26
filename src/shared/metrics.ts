import { Histogram, Registry } from 'prom-client';
import { Clock, Disk } from './ports';

/** Figures of one process in the text form that collectors read. */
export interface Metrics {
  times(name: string, help: string, bound: number): (ms: number) => void;
  text(rows: string[]): Promise<string>;
}

const RATIOS = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];

/** Makes the figures; buckets are ratios to the bound that a time is held against. */
export function makeMetrics(): Metrics {
  const registry = new Registry();

  function times(name: string, help: string, bound: number): (ms: number) => void {
    function of(ratio: number): number {
      return Math.round(ratio * bound * 1000) / 1000;
    }
    const h = new Histogram({ name, help, buckets: RATIOS.map(of), registers: [registry] });
    return h.observe.bind(h) as (ms: number) => void;
  }

  async function text(rows: string[]): Promise<string> {
    return `${rows.join('\n')}\n${await registry.metrics()}`;
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
