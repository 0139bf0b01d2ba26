import { Right } from 'purify-ts';
import { Result } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { withTimeout } from '../../shared/concurrency/timeout';

/** Lines that wait for the disk and are written and synced together, in order. */
export interface GroupCommit<T> {
  add: (line: T) => Promise<Result<void>>;
  flush: () => Promise<Result<void>>;
}

/** Groups lines; `settled` comes back when all that was added before it is synced, and writes anew where the disk is behind. */
export function makeGroupCommit<T>(
  writeBatch: (lines: T[]) => Promise<Result<void>>,
  behind: () => boolean,
): GroupCommit<T> {
  let queue: { lines: T[]; done: (o: Result<void>) => void }[] = [];
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

  function push(lines: T[]): Promise<Result<void>> {
    function wait(done: (o: Result<void>) => void): void {
      queue.push({ lines, done });
      if (!busy) void drain();
    }
    return new Promise(wait);
  }

  function add(line: T): Promise<Result<void>> {
    return push([line]);
  }

  async function settled(): Promise<Result<void>> {
    return busy || behind() ? push([]) : Right(undefined);
  }

  return { add, flush: settled };
}

/** Waits for the first write of a file that is opened, but no longer than a time. */
export function awaitFirstWrite(
  ports: Ports,
  within: number,
  step: string,
  written: Promise<Result<void>>,
): Promise<Result<void>> {
  if (within === Infinity) return written;
  return withTimeout(ports.clock, within, step, 'disk', written);
}
