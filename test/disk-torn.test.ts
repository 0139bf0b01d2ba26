/**
 * A loss of power in the midst of a write that reaches the disk in parts: each part may be there, missing or torn.
 */

import * as fc from 'fast-check';
import { openSlots, Slots } from '../src/control/slots';
import { open } from '../src/shared/errors';
import { Files, numberOf, opened, portsOn } from './diskrig';

/** What becomes of one part of a write that was not synced. */
type PartFate = 'there' | 'missing' | 'torn';

/** The bytes that one call of the file system takes at the most. */
const PART_BYTES = 512 * 1024;
const VALUE_BYTES = 1_300_000;

function largeLine(n: number, bytes: number): Parameters<Slots['put']>[0] {
  return {
    key: 'k',
    promised: { epoch: 1, by: 'a' },
    accepted: { key: 'k', epoch: 1, by: 'a', number: n, value: String(n).repeat(bytes) },
  };
}

/** A file after a loss of power: what was synced, and of each later part what its fate left; holes read as zeros. */
function leftOf(synced: Uint8Array, written: Uint8Array, fates: readonly PartFate[]): Uint8Array {
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

const fate = fc.constantFrom<PartFate>('there', 'missing', 'torn');

async function inTheMidst(): Promise<void> {
  const files: Files = new Map();
  const slots = await opened(files);
  await slots.put(largeLine(1, 10));
  const [name] = [...files.keys()].filter(isLog).sort(byLength(files));
  const before = new Map(files);
  await slots.put(largeLine(2, VALUE_BYTES));
  const written = files.get(name)!.subarray(before.get(name)!.length);
  expect(written.length).toBeGreaterThan(VALUE_BYTES);

  async function keeps(fates: PartFate[]): Promise<void> {
    const after = new Map(before);
    after.set(name, leftOf(before.get(name)!, written, fates));
    const [, again] = open(await openSlots(portsOn(after, 9), 1 << 20));
    const isWhole = fates.every(isThere);
    expect({ fates, disk: again!.disk, number: numberOf(again!) }).toEqual({
      fates,
      disk: slots.disk,
      number: isWhole ? 2 : 1,
    });
  }
  await fc.assert(fc.asyncProperty(fc.tuple(fate, fate, fate), keeps), { numRuns: 100 });
}

function isThere(x: PartFate): boolean {
  return x === 'there';
}

function isLog(name: string): boolean {
  return name.startsWith('log-');
}

function byLength(files: Files): (a: string, b: string) => number {
  function longerFirst(a: string, b: string): number {
    return files.get(b)!.length - files.get(a)!.length;
  }
  return longerFirst;
}

test(
  'a loss of power in the midst of a large write loses nothing that was synced, nor the vote',
  inTheMidst,
);
