/**
 * The disk port, by a folder of the machine's file system.
 */

import { FileHandle, open as openFile, readFile, mkdir } from 'node:fs/promises';
import { join } from 'node:path';
import { Left, Right } from 'purify-ts';
import { makeError, Result } from '../errors/errors';
import { Disk } from '../ports/disk';

/** One data folder on the machine's disk; files that are written on stay open, and the folder is synced where a name is new. */
export function makeFileDisk(folder: string): Disk {
  const kept = new Map<string, FileHandle>();
  const named = new Set<string>();

  async function syncFolder(): Promise<void> {
    const d = await openFile(folder, 'r');
    try {
      await d.sync();
    } finally {
      await d.close();
    }
  }

  async function openTo(name: string, flags: string): Promise<FileHandle> {
    await kept.get(name)?.close();
    kept.delete(name);
    if (!named.has(name)) await mkdir(folder, { recursive: true });
    const f = await openFile(join(folder, name), flags);
    kept.set(name, f);
    return f;
  }

  async function put(step: string, name: string, run: () => Promise<void>): Promise<Result<void>> {
    try {
      await run();
      if (!named.has(name)) await syncFolder();
      named.add(name);
      return Right(undefined);
    } catch (e) {
      return Left(makeError(step, name, e, 'failed', 'disk'));
    }
  }

  async function read(name: string): Promise<Result<Uint8Array | undefined>> {
    try {
      return Right(await readFile(join(folder, name)));
    } catch (e) {
      if ((e as { code?: string }).code === 'ENOENT') return Right(undefined);
      return Left(makeError('read file', name, e, 'failed', 'disk'));
    }
  }

  function write(name: string, bytes: Uint8Array): Promise<Result<void>> {
    async function run(): Promise<void> {
      const f = await openTo(name, 'w');
      await f.writeFile(bytes);
      await f.sync();
    }
    return put('write file', name, run);
  }

  function append(name: string, bytes: Uint8Array): Promise<Result<void>> {
    async function run(): Promise<void> {
      const f = kept.get(name) ?? (await openTo(name, 'a'));
      await f.writeFile(bytes);
      await f.datasync();
    }
    return put('append file', name, run);
  }
  return { read, write, append };
}
