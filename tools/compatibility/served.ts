/**
 * A fleet that starts on recorded disks, and what it serves.
 */

import { asked, counts, procOf, until } from '../sim/simcore';
import { SimFleet } from '../sim/simfleet';
import { DiskFiles } from '../sim/disk-files';
import { CORE_NAMES, makeRecordedFleet } from './stored-disks';

/** The answers to an operator's reads, by path. */
export type ServedAnswers = Record<string, unknown>;

const SEED = 70;
const PATIENCE_MS = 20000;
const PATHS = ['/v1/intents', '/v1/keys', '/v1/weights'];

/** Starts controllers on these disks by their machines, and no other machine. */
export async function startOn(disks: ReadonlyMap<string, DiskFiles>): Promise<SimFleet> {
  const fleet = makeRecordedFleet(SEED);
  fleet.told.bootstrap = false;
  for (const [machine, files] of disks) {
    const { files: held } = procOf(fleet, machine);
    for (const [name, bytes] of files) held.set(name, bytes);
    fleet.starts.get(machine)!();
  }
  function haveStarted(): boolean {
    return fleet.controllers.size === disks.size;
  }
  await until(fleet, PATIENCE_MS, haveStarted, 10);
  return fleet;
}

/** Starts the three controllers on their disks and reads as an operator; undefined where they don't become a majority. */
export async function servedBy(
  disks: ReadonlyMap<string, DiskFiles>,
): Promise<ServedAnswers | undefined> {
  const fleet = await startOn(disks);
  function areUp(): boolean {
    return counts(fleet, CORE_NAMES);
  }
  if ((await until(fleet, PATIENCE_MS, areUp, 10)) === undefined) return undefined;
  const answers: ServedAnswers = {};
  for (const path of PATHS) answers[path] = await asked(fleet, 'GET', path);
  return JSON.parse(JSON.stringify(answers)) as ServedAnswers;
}
