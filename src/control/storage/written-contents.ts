/**
 * What the files of a control store give when they are read anew, apart from what the store has in memory: entries that
 * wait for the log are in memory, and not here.
 */

import { applyLogEntry, copyRegisters, LogEntry, RegisterState } from './register-state';

/**
 * The contents of a store's files, which the next snapshot stores. Only the batch that is being written changes them,
 * once it is written or has failed, so that nothing changes them while a snapshot waits for its disk. What a failed batch
 * held is among them, since the next snapshot makes up for it.
 */
export class WrittenContents {
  private readonly registersByKey: Map<string, RegisterState>;

  constructor(
    registers: ReadonlyMap<string, RegisterState>,
    private bootstrap: unknown,
  ) {
    this.registersByKey = copyRegisters(registers);
  }

  apply(entry: LogEntry): void {
    applyLogEntry(this.registersByKey, entry);
  }

  setBootstrap(voterSet: unknown): void {
    this.bootstrap = voterSet;
  }

  registers(): ReadonlyMap<string, RegisterState> {
    return this.registersByKey;
  }

  /** The voter set of the bootstrap; undefined where none was written. */
  bootstrapVoterSet(): unknown {
    return this.bootstrap;
  }
}
