/**
 * Reading of a disk's files at a start. A process that died between a write and its sync leaves bytes that the next
 * one reads and a loss of power still takes away, so what is read is synced before anything is built on it.
 */

import { errorOrValue, Result } from '../../shared/errors/errors';
import { Disk } from '../../shared/ports/disk';
import { Right } from 'purify-ts';

const NO_BYTES = new Uint8Array(0);

/** Files that are read at a start, and synced after that. */
export class SyncedReader {
  private readonly unsyncedNames = new Set<string>();

  constructor(private readonly disk: Disk) {}

  /** Reads a file; undefined where there is none. */
  async read(name: string): Promise<Result<Uint8Array | undefined>> {
    const result = await this.disk.read(name);
    const [, bytes] = errorOrValue(result);
    if (bytes && bytes.length > 0) this.unsyncedNames.add(name);
    return result;
  }

  /** Syncs each file that was read with content; goes on where it failed before. */
  async sync(): Promise<Result<void>> {
    for (const name of this.unsyncedNames) {
      const synced = await this.disk.append(name, NO_BYTES);
      if (synced.isLeft()) return synced;
      this.unsyncedNames.delete(name);
    }
    return Right(undefined);
  }
}
