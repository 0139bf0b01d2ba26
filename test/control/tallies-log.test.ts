/** The files of additions: what was synced is there again after torn ends, failed writes and changed bytes. */

import * as fc from 'fast-check';
import { Left } from 'purify-ts';
import { Addition, toRuns } from '../../src/control/tallies/addition';
import { AdditionSet } from '../../src/control/tallies/addition-set';
import { readStoredTallies } from '../../src/control/tallies/tally-files';
import { TallyLog } from '../../src/control/tallies/tally-log';
import { makeError, Result } from '../../src/shared/errors/errors';
import { Ports } from '../../src/shared/ports/ports';
import { DiskFiles } from '../../tools/sim/disk-files';
import { portsWithFiles } from './storage-fixture';

const RETRY_PAUSE_MS = 100;

interface OpenedLog {
  set: AdditionSet;
  log: TallyLog;
  isCorrupt: boolean;
}

async function opened(ports: Ports): Promise<OpenedLog> {
  const stored = (await readStoredTallies(ports)).unsafeCoerce();
  const set = new AdditionSet();
  for (const batch of stored.batches) set.merge(batch);
  const log = new TallyLog(ports, set, RETRY_PAUSE_MS);
  log.stop();
  await log.start(stored, Infinity);
  return { set, log, isCorrupt: stored.isCorrupt };
}

function addition(sequence: number, replica = 'r'): Addition {
  return { replica, sequence, tally: 't', id: `${replica}-${sequence}`, amount: 1 };
}

async function append({ set, log }: OpenedLog, added: Addition): Promise<boolean> {
  set.add(added);
  return (await log.append(toRuns([added]))).isRight();
}

function copyOf(files: DiskFiles): DiskFiles {
  return new Map(files);
}

// Guards against LOST: an addition that was synced must be there after any loss of power, and the next one after that.
async function syncedAdditionsOutlastTornEnds(): Promise<void> {
  async function holds(counts: number[], cut: number): Promise<void> {
    const files: DiskFiles = new Map();
    let sequence = 0;
    for (const [life, count] of counts.entries()) {
      const open = await opened(portsWithFiles(files));
      expect(open.set.size()).toBe(sequence);
      for (let i = 0; i < count; i++) expect(await append(open, addition(++sequence))).toBe(true);
      const torn = await tornCopy(files, open, cut + life);
      for (const [name, bytes] of torn) files.set(name, bytes);
    }
    const last = await opened(portsWithFiles(files));
    expect(last.isCorrupt).toBe(false);
    expect(last.set.total('t')).toBe(BigInt(sequence));
  }
  const counts = fc.array(fc.integer({ min: 0, max: 5 }), { minLength: 1, maxLength: 5 });
  await fc.assert(fc.asyncProperty(counts, fc.integer({ min: 0, max: 400 }), holds), {
    numRuns: 100,
  });
}

/** The files after a write that was under way when power was lost, of which some bytes came to the disk. */
async function tornCopy(files: DiskFiles, open: OpenedLog, cut: number): Promise<DiskFiles> {
  const before = copyOf(files);
  await append(open, addition(1, `unsynced-${cut}`));
  const torn = copyOf(before);
  for (const [name, bytes] of files) {
    const known = before.get(name)?.length ?? 0;
    const written = bytes.length - known;
    if (written > 0) torn.set(name, bytes.subarray(0, known + (cut % written)));
  }
  return torn;
}

// Guards against LOST: a new file that was never completed must not hide what the file before holds.
async function anUnfinishedNewFileHidesNothing(): Promise<void> {
  const files: DiskFiles = new Map();
  const open = await opened(portsWithFiles(files));
  for (let i = 1; i <= 20; i++) await append(open, addition(i));
  const whole = [...files.entries()].find(isLargest)!;
  function isLargest([, bytes]: [string, Uint8Array]): boolean {
    return bytes.length > 100;
  }
  files.set(whole[0], Buffer.concat([whole[1], Buffer.from([0, 0, 0, 9, 1])]));
  const torn = copyOf(files);
  await opened(portsWithFiles(torn));
  const next = [...torn.keys()].find(isOther)!;
  function isOther(name: string): boolean {
    return name !== whole[0];
  }
  const written = torn.get(next)!;
  for (let length = 0; length <= written.length; length++) {
    const again = copyOf(torn).set(next, written.subarray(0, length));
    const reopened = await opened(portsWithFiles(again));
    expect({ length, total: reopened.set.total('t') }).toEqual({ length, total: 20n });
  }
}

/** Ports whose disk fails while `isFull` says so; a part of what is appended stays. */
function failingPorts(files: DiskFiles, isFull: () => boolean): Ports {
  const ports = portsWithFiles(files);
  function refused(name: string): Result<void> {
    return Left(makeError('write', name, 'no space', 'failed', 'disk'));
  }
  async function write(name: string, bytes: Uint8Array): Promise<Result<void>> {
    if (!isFull()) return ports.disk.write(name, bytes);
    await ports.disk.write(name, bytes.subarray(0, bytes.length / 2));
    return refused(name);
  }
  async function append(name: string, bytes: Uint8Array): Promise<Result<void>> {
    if (!isFull()) return ports.disk.append(name, bytes);
    await ports.disk.append(name, bytes.subarray(0, bytes.length / 2));
    return refused(name);
  }
  return { ...ports, disk: { ...ports.disk, write, append } };
}

// Guards against LOST: an addition whose write failed must not count as synced before it is.
async function failedWritesAreToldAndMadeGood(): Promise<void> {
  const files: DiskFiles = new Map();
  let full = false;
  function isFull(): boolean {
    return full;
  }
  const open = await opened(failingPorts(files, isFull));
  expect(await append(open, addition(1))).toBe(true);
  full = true;
  expect(await append(open, addition(2))).toBe(false);
  expect(open.log.isWritable()).toBe(false);
  expect((await open.log.flush()).isLeft()).toBe(true);
  expect((await opened(portsWithFiles(copyOf(files)))).set.total('t')).toBe(1n);
  full = false;
  expect((await open.log.flush()).isRight()).toBe(true);
  expect(open.log.isWritable()).toBe(true);
  expect(await append(open, addition(3))).toBe(true);
  expect((await opened(portsWithFiles(files))).set.total('t')).toBe(3n);
}

async function changedBytesAreTold(): Promise<void> {
  const files: DiskFiles = new Map();
  const open = await opened(portsWithFiles(files));
  for (let i = 1; i <= 5; i++) await append(open, addition(i));
  for (const [name, bytes] of files) {
    const changed = Uint8Array.from(bytes);
    if (changed.length < 60) continue;
    changed[changed.length - 40] ^= 0x41;
    const spoilt = await opened(portsWithFiles(copyOf(files).set(name, changed)));
    expect(spoilt.isCorrupt).toBe(true);
    expect(spoilt.set.size()).toBeLessThan(5);
  }
}

async function manyAdditionsAreReadAgain(): Promise<void> {
  const files: DiskFiles = new Map();
  const open = await opened(portsWithFiles(files));
  const COUNT = 6000;
  for (let i = 1; i <= COUNT; i++) open.set.add(addition(i));
  expect((await open.log.append(toRuns(open.set.all()))).isRight()).toBe(true);
  for (const [name, bytes] of files) files.set(name, Buffer.concat([bytes, Buffer.from([1, 2])]));
  expect((await opened(portsWithFiles(files))).set.size()).toBe(COUNT);
  expect((await opened(portsWithFiles(files))).set.size()).toBe(COUNT);
}

test('synced additions outlast torn ends', syncedAdditionsOutlastTornEnds);
test('an unfinished new file hides nothing', anUnfinishedNewFileHidesNothing);
test('failed writes are told and made good', failedWritesAreToldAndMadeGood);
test('changed bytes are told', changedBytesAreTold);
test('many additions are read again', manyAdditionsAreReadAgain);
