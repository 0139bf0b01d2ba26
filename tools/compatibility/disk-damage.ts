/**
 * Torn, cut and changed forms of a controller's disk.
 */

import { decodeFrames } from '../../src/control/storage/frames';
import { DiskFiles } from '../sim/disk-files';

/** One damaged form of a disk, and what a controller must make of it. */
export interface DamagedDisk {
  what: string;
  files: DiskFiles;
  sort: 'torn' | 'slot unreadable' | 'synced data changed' | 'older log' | 'votes';
}

/** The bytes before the body of a frame, of which the first four are its length. */
const FRAME_HEAD = 12;
const CUTS = [1, 2, 7, 11, 12, 13, 40];
const ZEROED = [8, 9, 12, 40];
const HOLE = 700;

/** Where each frame of a file ends. */
function frameEnds(bytes: Uint8Array): number[] {
  const buffer = Buffer.from(bytes);
  const ends: number[] = [];
  let end = 0;
  while (end + FRAME_HEAD <= buffer.length) {
    end += FRAME_HEAD + buffer.readUInt32BE(end);
    ends.push(end);
  }
  return ends;
}

/** Where the longest frame behind the head ends. */
function endOfLongest(ends: number[]): number {
  let longest = ends.length - 1;
  for (let i = 1; i < ends.length; i++)
    if (ends[i] - ends[i - 1] > ends[longest] - (ends[longest - 1] ?? 0)) longest = i;
  return ends[longest];
}

function generationOf(bytes: Uint8Array | undefined): number {
  return (decodeFrames(bytes).values[0] as { gen?: number } | undefined)?.gen ?? 0;
}

/** The file with the highest generation among those that are there. */
function newestOf(files: DiskFiles, names: string[]): string {
  let newest = names[0];
  for (const name of names)
    if (generationOf(files.get(name)) > generationOf(files.get(newest))) newest = name;
  return newest;
}

/** Where a byte in the middle of the body of a frame stands. */
function middleOfFrame(bytes: Uint8Array, index: number): number {
  const ends = frameEnds(bytes);
  const start = index === 0 ? 0 : ends[index - 1];
  return Math.floor((start + FRAME_HEAD + ends[index]) / 2);
}

function withByteChanged(bytes: Uint8Array, at: number): Uint8Array {
  const changed = Uint8Array.from(bytes);
  changed[at] ^= 0x41;
  return changed;
}

function withZeroedTail(bytes: Uint8Array, count: number): Uint8Array {
  const zeroed = Uint8Array.from(bytes);
  zeroed.fill(0, Math.max(0, zeroed.length - count));
  return zeroed;
}

/** All damaged forms of a disk that are tried; those of its votes only where they are wanted. */
export function damagedForms(files: DiskFiles, withVotes = true): DamagedDisk[] {
  const forms: DamagedDisk[] = [];
  const slot = newestOf(files, ['slot-0', 'slot-1']);
  const log = slot.replace('slot', 'log');
  const otherLog = log === 'log-0' ? 'log-1' : 'log-0';
  const votes = newestOf(files, ['votes-0', 'votes-1', 'votes-2']);

  function add(sort: DamagedDisk['sort'], what: string, name: string, bytes?: Uint8Array): void {
    const damaged = new Map(files);
    if (bytes) damaged.set(name, bytes);
    else damaged.delete(name);
    forms.push({ sort, what: `${name} ${what}`, files: damaged });
  }

  function addTails(sort: 'torn' | 'votes', name: string): void {
    const bytes = files.get(name)!;
    const ends = frameEnds(bytes);
    const first = ends[0];
    const last = ends[ends.length - 2] ?? first;
    add(sort, 'without its last entry', name, bytes.subarray(0, last));
    for (const cut of CUTS)
      if (bytes.length - cut >= first) add(sort, `cut by ${cut}`, name, bytes.subarray(0, -cut));
    const longest = endOfLongest(ends);
    add(sort, 'cut behind its longest entry', name, bytes.subarray(0, longest));
    add(sort, 'cut within its longest entry', name, bytes.subarray(0, longest - 1));
    add(sort, 'cut to its head', name, bytes.subarray(0, first));
    for (const count of ZEROED)
      if (bytes.length - count >= first)
        add(sort, `zeroed at its last ${count}`, name, withZeroedTail(bytes, count));
    add(sort, 'with a hole at its end', name, Buffer.concat([bytes, Buffer.alloc(HOLE)]));
  }

  addTails('torn', log);
  const newest = files.get(slot)!;
  add('slot unreadable', 'changed', slot, withByteChanged(newest, middleOfFrame(newest, 0)));
  add('slot unreadable', 'cut to its half', slot, newest.subarray(0, newest.length >> 1));
  add('slot unreadable', 'emptied', slot, new Uint8Array(0));
  add('slot unreadable', 'gone', slot);
  const logBytes = files.get(log)!;
  const middle = frameEnds(logBytes).length >> 1;
  add(
    'synced data changed',
    'changed',
    log,
    withByteChanged(logBytes, middleOfFrame(logBytes, middle)),
  );
  add('synced data changed', 'gone', log);
  const votesBytes = files.get(votes)!;
  add(
    'synced data changed',
    'changed',
    votes,
    withByteChanged(votesBytes, middleOfFrame(votesBytes, 1)),
  );
  add('votes', 'gone', votes);
  if (withVotes) addTails('votes', votes);
  add('older log', 'gone', otherLog);
  return forms;
}
