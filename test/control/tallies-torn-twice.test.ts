/**
 * Additions that were synced outlast losses of power one after another, each in the midst of the file that a start begins.
 */

import { Addition, toRuns } from '../../src/control/tallies/addition';
import { AdditionSet } from '../../src/control/tallies/addition-set';
import { readStoredTallies } from '../../src/control/tallies/tally-files';
import { TallyLog } from '../../src/control/tallies/tally-log';
import { failure, Result } from '../../src/shared/errors/errors';
import { Ports } from '../../src/shared/ports/ports';
import { DiskFiles, portsOfFiles } from '../../tools/sim/disk-files';

const ADDITIONS = 3;
/** A file is begun with its header and one batch: more writes than that interrupt nothing. */
const MOST_WRITES = 4;

function numbered(sequence: number): Addition {
  return { replica: 'replica', sequence, tally: 't', id: `id-${sequence}`, amount: 1 };
}

/** Ports of a machine that loses its power once its disk has made so many writes. */
function portsUntil(files: DiskFiles, writes: number): Ports {
  const ports = portsOfFiles(files, 1);
  let left = writes;
  function limited(
    write: (name: string, bytes: Uint8Array) => Promise<Result<void>>,
  ): (name: string, bytes: Uint8Array) => Promise<Result<void>> {
    function writeIfPowered(name: string, bytes: Uint8Array): Promise<Result<void>> {
      if (left-- > 0) return write(name, bytes);
      return Promise.resolve(failure('write', name, 'power lost', 'unknown', 'disk'));
    }
    return writeIfPowered;
  }
  const { disk } = ports;
  return {
    ...ports,
    disk: { ...disk, write: limited(disk.write), append: limited(disk.append) },
  };
}

/** Starts on a disk, which may be out of power soon, and gives what it held and its log. */
async function startOn(
  files: DiskFiles,
  writes = Infinity,
): Promise<{ set: AdditionSet; log: TallyLog }> {
  const ports = portsUntil(files, writes);
  const set = new AdditionSet();
  const stored = (await readStoredTallies(ports)).unsafeCoerce();
  for (const batch of stored.batches) set.merge(batch);
  const log = new TallyLog(ports, set, 1000);
  await log.start(stored, Infinity);
  log.stop();
  return { set, log };
}

/** Cuts a byte off the file that is written, as a write that was not synced may leave it. */
function tearNewest(files: DiskFiles, name: string): void {
  const bytes = files.get(name)!;
  files.set(name, bytes.subarray(0, bytes.length - 1));
}

async function survives(first: number, second: number): Promise<void> {
  const files: DiskFiles = new Map();
  const { set, log } = await startOn(files);
  for (let sequence = 1; sequence <= ADDITIONS; sequence++) set.add(numbered(sequence));
  const synced = await log.append(toRuns(set.all()));
  expect(synced.isRight()).toBe(true);
  const [name] = [...files.keys()];
  set.add(numbered(ADDITIONS + 1));
  await log.append(toRuns([numbered(ADDITIONS + 1)]));
  tearNewest(files, name);
  await startOn(files, first);
  await startOn(files, second);
  const found = await startOn(files);
  expect([first, second, found.set.size()]).toEqual([first, second, ADDITIONS]);
}

/** Guards against LOST: a second loss of power in a row empties the only file that held all additions. */
async function powerIsLostTwice(): Promise<void> {
  for (let first = 0; first <= MOST_WRITES; first++)
    for (let second = 0; second <= MOST_WRITES; second++) await survives(first, second);
}

test('synced additions outlast two losses of power as files are begun', powerIsLostTwice);
