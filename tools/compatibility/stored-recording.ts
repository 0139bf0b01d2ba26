/**
 * The recorded messages as they are kept in a folder, one file for each type of message.
 */

import { mkdirSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { RecordedType } from './recording';

/** How the names of the files begin. */
const PREFIX = 'type-';
const SUFFIX = '.json';

function write(folder: string, name: string, content: object): void {
  writeFileSync(join(folder, name + SUFFIX), JSON.stringify(content, undefined, 2) + '\n');
}

/** Writes what was recorded, and how each scenario made its messages. */
export function writeRecording(
  folder: string,
  types: readonly RecordedType[],
  descriptions: Record<string, string>,
): void {
  mkdirSync(folder, { recursive: true });
  write(folder, 'scenarios', descriptions);
  for (const one of types) write(folder, PREFIX + one.type, one);
}

function isOfType(file: string): boolean {
  return file.startsWith(PREFIX);
}

function byType(a: RecordedType, b: RecordedType): number {
  return a.type < b.type ? -1 : 1;
}

/** Reads what was recorded, sorted by type. */
export function readRecording(folder: string): RecordedType[] {
  const types: RecordedType[] = [];
  for (const file of readdirSync(folder).filter(isOfType))
    types.push(JSON.parse(readFileSync(join(folder, file), 'utf8')) as RecordedType);
  return types.sort(byType);
}
