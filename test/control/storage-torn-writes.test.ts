/**
 * A loss of power in the midst of a write that reaches the disk in parts: each part may be there, missing or torn.
 */

import * as fc from 'fast-check';
import { openControlStore, ControlStore } from '../../src/control/storage/control-store';
import { errorOrValue, Result } from '../../src/shared/errors/errors';
import { Ports } from '../../src/shared/ports/ports';
import { acceptedNumber, portsWithFiles } from './storage-fixture';
import { DiskFiles } from '../../tools/sim/disk-files';

/** What becomes of one part of a write that was not synced. */
type PartFate = 'there' | 'missing' | 'torn';

/** The bytes that one call of the file system takes at the most. */
const PART_BYTES = 512 * 1024;
const VALUE_BYTES = 1_300_000;

function largeEntry(number: number, bytes: number): Parameters<ControlStore['put']>[0] {
  return {
    key: 'k',
    promised: { epoch: 1, by: 'a' },
    accepted: { key: 'k', epoch: 1, by: 'a', number: number, value: String(number).repeat(bytes) },
  };
}

/** A file after a loss of power: what was synced, and of each later part what its fate left; holes read as zeros. */
function contentAfterPowerLoss(
  synced: Uint8Array,
  written: Uint8Array,
  fates: readonly PartFate[],
): Uint8Array {
  const out = Buffer.alloc(synced.length + written.length);
  out.set(synced);
  let end = synced.length;
  for (const [i, fate] of fates.entries()) {
    const part = written.subarray(i * PART_BYTES, (i + 1) * PART_BYTES);
    if (fate === 'missing' || part.length === 0) continue;
    const kept = fate === 'there' ? part.length : Math.floor(part.length / 2);
    out.set(part.subarray(0, kept), synced.length + i * PART_BYTES);
    end = synced.length + i * PART_BYTES + kept;
  }
  return out.subarray(0, end);
}

/** One write of the disk: the file as it was before, and the bytes that are synced behind it when it returns. */
interface Append {
  name: string;
  before: Uint8Array;
  bytes: Uint8Array;
}

/** A disk that takes note of each write, with what all files hold as it begins. */
function notingPorts(files: DiskFiles): {
  ports: Ports;
  appends: { append: Append; files: DiskFiles }[];
} {
  const ports = portsWithFiles(files);
  const appends: { append: Append; files: DiskFiles }[] = [];
  function append(name: string, bytes: Uint8Array): Promise<Result<void>> {
    const before = files.get(name) ?? new Uint8Array(0);
    appends.push({
      append: { name, before, bytes: Uint8Array.from(bytes) },
      files: new Map(files),
    });
    return ports.disk.append(name, bytes);
  }
  return { ports: { ...ports, disk: { ...ports.disk, append } }, appends };
}

const fate = fc.constantFrom<PartFate>('there', 'missing', 'torn');

async function powerLossDuringAppend(): Promise<void> {
  const files: DiskFiles = new Map();
  const { ports, appends } = notingPorts(files);
  const [, store] = errorOrValue(await openControlStore(ports, 1 << 20));
  await store!.put(largeEntry(1, 10));
  appends.length = 0;
  await store!.put(largeEntry(2, VALUE_BYTES));
  expect(appends.length).toBeGreaterThan(0);

  async function keeps(at: number, fates: PartFate[]): Promise<void> {
    const { append, files: found } = appends[at];
    const after = new Map(found);
    after.set(append.name, contentAfterPowerLoss(append.before, append.bytes, fates));
    const [, again] = errorOrValue(await openControlStore(portsWithFiles(after, 9), 1 << 20));
    const calls = fates.slice(0, Math.ceil(append.bytes.length / PART_BYTES));
    const isWhole = at === appends.length - 1 && calls.every(isThere);
    expect({ at, fates, disk: again!.diskId, number: acceptedNumber(again!) }).toEqual({
      at,
      fates,
      disk: store!.diskId,
      number: isWhole ? 2 : 1,
    });
  }
  const fates = fc.tuple(fate, fate, fate);
  const which = fc.integer({ min: 0, max: appends.length - 1 });
  await fc.assert(fc.asyncProperty(which, fates, keeps), { numRuns: 150 });
}

/** A slot and the head of its log are written whole, over a file that is emptied first. */
async function powerLossDuringSnapshot(): Promise<void> {
  const files: DiskFiles = new Map();
  const ports = portsWithFiles(files);
  const writes: { append: Append; files: DiskFiles }[] = [];
  function write(name: string, bytes: Uint8Array): Promise<Result<void>> {
    const append = { name, before: new Uint8Array(0), bytes: Uint8Array.from(bytes) };
    writes.push({ append, files: new Map(files) });
    return ports.disk.write(name, bytes);
  }
  const noting: Ports = { ...ports, disk: { ...ports.disk, write } };
  const [, store] = errorOrValue(await openControlStore(noting, 1 << 20));
  await store!.put(largeEntry(1, VALUE_BYTES));
  await store!.put(largeEntry(2, VALUE_BYTES));
  writes.length = 0;
  await store!.put(largeEntry(3, 10));
  expect(writes.some(isLarge)).toBe(true);

  async function keeps(at: number, fates: PartFate[]): Promise<void> {
    const { append, files: found } = writes[at];
    const after = new Map(found);
    after.set(append.name, contentAfterPowerLoss(append.before, append.bytes, fates));
    const [, again] = errorOrValue(await openControlStore(portsWithFiles(after, 9), 1 << 20));
    expect({ at, fates, disk: again!.diskId, number: acceptedNumber(again!) }).toEqual({
      at,
      fates,
      disk: store!.diskId,
      number: 2,
    });
  }
  const which = fc.integer({ min: 0, max: writes.length - 1 });
  await fc.assert(fc.asyncProperty(which, fc.tuple(fate, fate, fate), keeps), { numRuns: 80 });
}

function isLarge(x: { append: Append }): boolean {
  return x.append.bytes.length > PART_BYTES;
}

function isThere(x: PartFate): boolean {
  return x === 'there';
}

test(
  'a loss of power in the midst of a large write loses nothing that was synced, nor the vote',
  powerLossDuringAppend,
);

test(
  'a loss of power in the midst of a slot loses nothing that was synced, nor the vote',
  powerLossDuringSnapshot,
);
