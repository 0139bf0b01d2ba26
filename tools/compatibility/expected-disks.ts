/**
 * What is expected of recorded disks: their state, and that of their damaged forms.
 */

import { damagedForms } from './disk-damage';
import { shortHash } from '../../src/shared/util/hashing';
import { DiskFiles } from '../sim/disk-files';
import { DiskState, stateOf } from './disk-state';
import { writeOn, WrittenOn } from './write-on';

/** What a damaged form of a disk gives. */
export interface DamagedState {
  sort: string;
  what: string;
  /** Whether it still counts as the disk that it was. */
  isSameDisk: boolean;
  spoilt: boolean;
  /** Digests of its cells and of its votes. */
  cells: string;
  votes: string;
}

/** Everything that is expected of one disk. */
export interface ExpectedDisk {
  state: DiskState;
  damaged: DamagedState[];
  writtenOn: WrittenOn;
}

/** Another seed than that of a recorded disk, so that a new disk does not get the id of an old one. */
const DAMAGED_SEED = 78;

/** A digest of a JSON value. */
function digestOfJson(value: unknown): string {
  return shortHash(JSON.stringify(value));
}

/** Whether a disk is in the form of version 0.1, whose files are no frames of the present one. */
function isOldForm(name: string): boolean {
  return name.startsWith('version-0.1');
}

/** Whether a disk takes long to be read; its votes are like those of the others. */
function isLong(name: string): boolean {
  return name.startsWith('long-');
}

async function damagedStates(
  files: DiskFiles,
  whole: DiskState,
  withVotes: boolean,
): Promise<DamagedState[]> {
  const states: DamagedState[] = [];
  for (const { sort, what, files: damaged } of damagedForms(files, withVotes)) {
    const state = await stateOf(damaged, DAMAGED_SEED);
    states.push({
      sort,
      what,
      isSameDisk: state.disk === whole.disk,
      spoilt: state.spoilt,
      cells: digestOfJson(state.cells),
      votes: digestOfJson(state.votes),
    });
  }
  return states;
}

/** Reads a disk and its damaged forms, and writes on a copy. */
export async function expectedOf(name: string, files: DiskFiles): Promise<ExpectedDisk> {
  const state = await stateOf(files);
  return {
    state,
    damaged: isOldForm(name) ? [] : await damagedStates(files, state, !isLong(name)),
    writtenOn: await writeOn(new Map(files)),
  };
}
