/**
 * The disk port, by a folder of the machine's file system.
 */

import { FileHandle, mkdir, open as openFile, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { Right } from 'purify-ts';
import { systemErrorCode } from '../errors/error-codes';
import { failure, Result } from '../errors/errors';
import { Disk } from '../ports/disk';

async function syncFolder(folder: string): Promise<void> {
  const handle = await openFile(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** A data folder on the machine's disk. Files that are appended to stay open, and the folder is synced where a name is new. */
export function makeFileDisk(folder: string): Disk {
  const openFiles = new Map<string, FileHandle>();
  const syncedNames = new Set<string>();

  async function reopen(name: string, flags: string): Promise<FileHandle> {
    await openFiles.get(name)?.close();
    openFiles.delete(name);
    if (!syncedNames.has(name)) await mkdir(folder, { recursive: true });
    const handle = await openFile(join(folder, name), flags);
    openFiles.set(name, handle);
    return handle;
  }

  async function change(
    step: string,
    name: string,
    run: () => Promise<void>,
  ): Promise<Result<void>> {
    try {
      await run();
      if (!syncedNames.has(name)) await syncFolder(folder);
      syncedNames.add(name);
      return Right(undefined);
    } catch (error) {
      return failure(step, name, error, 'failed', 'disk');
    }
  }

  async function read(name: string): Promise<Result<Uint8Array | undefined>> {
    try {
      return Right(await readFile(join(folder, name)));
    } catch (error) {
      if (systemErrorCode(error) === 'ENOENT') return Right(undefined);
      return failure('read file', name, error, 'failed', 'disk');
    }
  }

  function write(name: string, bytes: Uint8Array): Promise<Result<void>> {
    async function run(): Promise<void> {
      const handle = await reopen(name, 'w');
      await handle.writeFile(bytes);
      await handle.sync();
    }
    return change('write file', name, run);
  }

  function append(name: string, bytes: Uint8Array): Promise<Result<void>> {
    async function run(): Promise<void> {
      const handle = openFiles.get(name) ?? (await reopen(name, 'a'));
      await handle.writeFile(bytes);
      await handle.datasync();
    }
    return change('append file', name, run);
  }

  return { read, write, append };
}
