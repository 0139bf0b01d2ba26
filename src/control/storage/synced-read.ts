/**
 * Reading of a disk's files at a start. A process that died between a write and its sync leaves bytes that the next
 * one reads and a loss of power still takes away, so what is read is synced before anything is built on it.
 */

import { Left, Right } from 'purify-ts';
import { errorOrValue, Result } from '../../shared/errors/errors';
import { Disk } from '../../shared/ports/disk';

/** Files that are read at a start, and synced after that. */
export interface SyncedReader {
  read: (name: string) => Promise<Result<Uint8Array | undefined>>;
  /** Syncs each file that was read with content; goes on where it failed before. */
  sync: () => Promise<Result<void>>;
}

const NO_BYTES = new Uint8Array(0);

/** Makes a reader that has read nothing yet. */
export function makeSyncedReader(disk: Disk): SyncedReader {
  const unsynced = new Set<string>();

  async function read(name: string): Promise<Result<Uint8Array | undefined>> {
    const [fault, bytes] = errorOrValue(await disk.read(name));
    if (fault) return Left(fault);
    if (bytes && bytes.length > 0) unsynced.add(name);
    return Right(bytes);
  }

  async function sync(): Promise<Result<void>> {
    for (const name of unsynced) {
      const synced = await disk.append(name, NO_BYTES);
      if (synced.isLeft()) return synced;
      unsynced.delete(name);
    }
    return Right(undefined);
  }

  return { read, sync };
}
