/**
 * Fixtures of stored data as files of a folder; those that are long are compressed.
 */

import { mkdirSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { gunzipSync, gzipSync } from 'node:zlib';
import { DiskFiles } from '../sim/disk-files';

const LONGEST_PLAIN_BYTES = 30_000;
const COMPRESSED = '.gz';

/** Writes the files of a disk. */
export function saveFiles(folder: string, files: DiskFiles): void {
  mkdirSync(folder, { recursive: true });
  for (const [name, bytes] of files) {
    const isLong = bytes.length > LONGEST_PLAIN_BYTES;
    if (isLong) writeFileSync(join(folder, name + COMPRESSED), gzipSync(bytes, { level: 9 }));
    else writeFileSync(join(folder, name), bytes);
  }
}

/** Reads the files of a disk. */
export function loadFiles(folder: string): DiskFiles {
  const files: DiskFiles = new Map();
  for (const name of readdirSync(folder).sort()) {
    const bytes = readFileSync(join(folder, name));
    if (name.endsWith(COMPRESSED)) files.set(name.slice(0, -COMPRESSED.length), gunzipSync(bytes));
    else files.set(name, bytes);
  }
  return files;
}
