/**
 * Group commit: entries that arrive while a write is under way are written and synced together by the next one.
 */

import { Right } from 'purify-ts';
import { Result } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { withTimeout } from '../../shared/concurrency/timeout';

/** Entries that wait for a write, and the callback that takes its result. */
interface PendingWrite<Entry> {
  entries: Entry[];
  done: (result: Result<void>) => void;
}

/** Writes entries in the order in which they were added, one batch at a time. */
export class GroupCommit<Entry> {
  private queue: PendingWrite<Entry>[] = [];
  private isWriting = false;

  /**
   * `writeBatch` writes and syncs entries; it is also called without any, to repair what an earlier write left.
   * `isBehind` tells whether an earlier write failed, so that the files lack something.
   */
  constructor(
    private readonly writeBatch: (entries: Entry[]) => Promise<Result<void>>,
    private readonly isBehind: () => boolean,
  ) {}

  /** Adds an entry, and returns once it is synced, or its write has failed. */
  add(entry: Entry): Promise<Result<void>> {
    return this.enqueue([entry]);
  }

  /** Adds entries that share a write, and returns once they are synced, or their write has failed. */
  addAll(entries: readonly Entry[]): Promise<Result<void>> {
    return this.enqueue([...entries]);
  }

  /** Returns once all that was added before is synced; writes again where the files are behind. */
  async flush(): Promise<Result<void>> {
    return this.isWriting || this.isBehind() ? this.enqueue([]) : Right(undefined);
  }

  private enqueue(entries: Entry[]): Promise<Result<void>> {
    return new Promise(this.pushWrite.bind(this, entries));
  }

  private pushWrite(entries: Entry[], done: PendingWrite<Entry>['done']): void {
    this.queue.push({ entries, done });
    if (!this.isWriting) void this.writeAll();
  }

  private async writeAll(): Promise<void> {
    this.isWriting = true;
    while (this.queue.length > 0) {
      const batch = this.queue;
      this.queue = [];
      const entries: Entry[] = [];
      for (const pending of batch) entries.push(...pending.entries);
      const result = await this.writeBatch(entries);
      for (const pending of batch) pending.done(result);
    }
    this.isWriting = false;
  }
}

/**
 * Waits for the first write to files that are opened, up to `timeoutMs`, which may be infinite. Error: that of the write,
 * or a time-out with the given step.
 */
export function awaitFirstWrite(
  ports: Ports,
  timeoutMs: number,
  step: string,
  written: Promise<Result<void>>,
): Promise<Result<void>> {
  if (timeoutMs === Infinity) return written;
  return withTimeout(ports.clock, timeoutMs, step, 'disk', written);
}
