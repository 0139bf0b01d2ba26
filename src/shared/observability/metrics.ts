import type { Histogram, Registry } from 'prom-client';
import { Clock } from '../ports/clock';
import { Disk } from '../ports/disk';

/** The content type of the Prometheus text format. */
export const METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4';

/** Counters as rows of metrics: the prefix, and the field's name in snake case. */
export function counterRows(prefix: string, counts: object): string[] {
  const rows: string[] = [];
  for (const [field, count] of Object.entries(counts)) {
    const name = field.replace(/[A-Z]/g, '_$&').toLowerCase();
    rows.push(`${prefix}_${name}_total ${count}`);
  }
  return rows;
}

/** Figures of one process in the text form that collectors read. */
export interface Metrics {
  times: (name: string, help: string, bound: number) => (ms: number) => void;
  text: (rows: string[]) => Promise<string>;
}

/** A histogram to be, and the times that wait for it. */
interface Times {
  name: string;
  help: string;
  buckets: number[];
  waiting: number[];
  histogram?: Histogram;
}

const RATIOS = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];
const MOST_WAITING = 256;

/** Makes the figures; buckets are ratios to the bound that a time is held against. The library is loaded at the first reading, or when many times wait: a start doesn't pay for it. */
export function makeMetrics(): Metrics {
  const all: Times[] = [];
  let registry: Registry | undefined;

  async function load(): Promise<Registry> {
    const { default: Registry } = await import('prom-client/lib/registry');
    const { default: Histogram } = await import('prom-client/lib/histogram');
    registry ??= new Registry();
    for (const t of all) {
      if (t.histogram) continue;
      t.histogram = new Histogram({
        name: t.name,
        help: t.help,
        buckets: t.buckets,
        registers: [registry],
      });
      for (const ms of t.waiting.splice(0)) t.histogram.observe(ms);
    }
    return registry;
  }

  function times(name: string, help: string, bound: number): (ms: number) => void {
    function upTo(ratio: number): number {
      return Math.round(ratio * bound * 1000) / 1000;
    }

    function observe(ms: number): void {
      if (t.histogram) t.histogram.observe(ms);
      else if (t.waiting.push(ms) === MOST_WAITING) void load();
    }

    const t: Times = { name, help, buckets: RATIOS.map(upTo), waiting: [] };
    all.push(t);
    return observe;
  }

  async function text(rows: string[]): Promise<string> {
    const r = await load();
    return `${rows.join('\n')}\n${await r.metrics()}`;
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
