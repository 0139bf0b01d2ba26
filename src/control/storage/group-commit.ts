import { Right } from 'purify-ts';
import { Outcome } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { withTimeout } from '../../shared/concurrency/timeout';

/** Lines that wait for the disk and are written and synced together, in order. */
export interface Group<T> {
  add(line: T): Promise<Outcome<void>>;
  settled(): Promise<Outcome<void>>;
}

/** Groups lines; `settled` comes back when all that was added before it is synced, and writes anew where the disk is behind. */
export function makeGroup<T>(
  writeBatch: (lines: T[]) => Promise<Outcome<void>>,
  behind: () => boolean,
): Group<T> {
  let queue: { lines: T[]; done: (o: Outcome<void>) => void }[] = [];
  let busy = false;

  async function drain(): Promise<void> {
    busy = true;
    while (queue.length > 0) {
      const batch = queue;
      queue = [];
      const lines: T[] = [];
      for (const q of batch) lines.push(...q.lines);
      const o = await writeBatch(lines);
      for (const q of batch) q.done(o);
    }
    busy = false;
  }

  function push(lines: T[]): Promise<Outcome<void>> {
    function wait(done: (o: Outcome<void>) => void): void {
      queue.push({ lines, done });
      if (!busy) void drain();
    }
    return new Promise(wait);
  }

  function add(line: T): Promise<Outcome<void>> {
    return push([line]);
  }

  async function settled(): Promise<Outcome<void>> {
    return busy || behind() ? push([]) : Right(undefined);
  }

  return { add, settled };
}

/** Waits for the first write of a file that is opened, but no longer than a time. */
export function untilWritten(
  ports: Ports,
  within: number,
  step: string,
  written: Promise<Outcome<void>>,
): Promise<Outcome<void>> {
  if (within === Infinity) return written;
  return withTimeout(ports.clock, within, step, 'disk', written);
}
