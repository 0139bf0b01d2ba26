/**
 * The recorded fixtures of stored data, and what they give with the version that wrote them.
 */

import { readFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { DiskFiles } from '../sim/disk-files';
import { ExpectedDisk } from './expected-disks';
import { loadFiles } from './fixture-files';
import { ServedAnswers } from './served';
import { DumpReading } from './stored-dump';
import { HistoryVerdict } from './stored-history';

/** Everything that is expected of a folder of fixtures. */
export interface Expected {
  disks: Record<string, ExpectedDisk>;
  served: ServedAnswers;
  histories: Record<string, HistoryVerdict>;
  dump: DumpReading;
}

/** The folder of the histories among the fixtures. */
export const HISTORIES = 'histories';
/** The folder of the indexer's dump among the fixtures. */
export const DUMP = 'index-dump';
/** The file of the packed dump. */
export const DUMP_FILE = 'dump-rows';
const EXPECTED = 'expected.json';
const FIXTURES = resolve(__dirname, '../../../test/fixtures/stored-0e33e2c');

/** The path of a fixture from the root of the repository. */
export function fixturePath(...names: string[]): string {
  return join(FIXTURES, ...names);
}

/** The path of what is expected, in a folder of fixtures. */
export function expectedPath(folder: string): string {
  return join(folder, EXPECTED);
}

/** Reads what is expected of the fixtures. */
export function loadExpected(): Expected {
  return JSON.parse(readFileSync(expectedPath(FIXTURES), 'utf8')) as Expected;
}

/** Reads the files of a recorded disk. */
export function loadDisk(name: string): DiskFiles {
  return loadFiles(fixturePath(name));
}

/** The packed dump of an indexer. */
export function loadDump(): Uint8Array {
  return loadFiles(fixturePath(DUMP)).get(DUMP_FILE)!;
}
