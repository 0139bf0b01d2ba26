/**
 * Records stored data as fixtures: `node dist/tools/compatibility/record-stored.js DIR`.
 */

import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { pack } from 'msgpackr';
import { DiskFiles } from '../sim/disk-files';
import { expectedOf } from './expected-disks';
import { saveFiles } from './fixture-files';
import { DUMP, DUMP_FILE, Expected, expectedPath, HISTORIES } from './fixtures';
import { servedBy } from './served';
import { readDump, recordDump } from './stored-dump';
import { judgeHistory, recordHistories } from './stored-history';
import { CORE_NAMES, recordDisks } from './stored-disks';

async function saveDisks(folder: string): Promise<Pick<Expected, 'disks' | 'served'>> {
  const disks: Expected['disks'] = {};
  const byMachine = new Map<string, DiskFiles>();
  for (const { name, files } of await recordDisks()) {
    saveFiles(join(folder, name), files);
    disks[name] = await expectedOf(name, files);
    const machine = name.replace('fleet-', '');
    if (CORE_NAMES.includes(machine)) byMachine.set(machine, files);
  }
  const served = await servedBy(byMachine);
  if (!served) throw new Error('the recorded disks do not become a majority');
  return { disks, served };
}

async function saveHistories(folder: string): Promise<Expected['histories']> {
  const verdicts: Expected['histories'] = {};
  mkdirSync(join(folder, HISTORIES), { recursive: true });
  for (const [name, text] of await recordHistories()) {
    const file = join(folder, HISTORIES, name);
    writeFileSync(file, text);
    verdicts[name] = judgeHistory(file);
  }
  return verdicts;
}

async function saveDump(folder: string): Promise<Expected['dump']> {
  const packed = pack(await recordDump());
  saveFiles(join(folder, DUMP), new Map([[DUMP_FILE, packed]]));
  return readDump(packed);
}

async function record(folder: string): Promise<void> {
  const disks = await saveDisks(folder);
  const histories = await saveHistories(folder);
  const dump = await saveDump(folder);
  const expected: Expected = { ...disks, histories, dump };
  writeFileSync(expectedPath(folder), JSON.stringify(expected, undefined, 1) + '\n');
}

void record(process.argv[2]);
