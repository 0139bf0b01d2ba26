/** The set of additions: merging in any order gives the same set, each id counts once, and digests tell what differs. */

import * as fc from 'fast-check';
import { Addition, additionsOf, areRuns, toRuns } from '../../src/control/tallies/addition';
import { AdditionSet } from '../../src/control/tallies/addition-set';
import { RANGE_LENGTH } from '../../src/control/tallies/replica-additions';
import { CopyHolder, outlastsLosses } from '../../src/control/tallies/survivability';

const TALLIES = ['a', 'b'];
const REPLICAS = ['r-1', 'r-2', 'r-3'];

/** Additions of some replicas, with sequence numbers without repeats, in any order; few ids, so that they come again. */
const anyAdditions = fc
  .array(
    fc.record({
      replica: fc.constantFrom(...REPLICAS),
      sequence: fc.integer({ min: 1, max: 3 * RANGE_LENGTH }),
      tally: fc.constantFrom(...TALLIES),
      id: fc.constantFrom('x', 'y', 'z', 'u', 'v', 'w'),
      amount: fc.integer({ min: -5, max: 50 }),
    }),
    { maxLength: 60 },
  )
  .map(withDistinctDots);

function withDistinctDots(additions: Addition[]): Addition[] {
  const byDot = new Map<string, Addition>();
  for (const addition of additions) byDot.set(`${addition.replica} ${addition.sequence}`, addition);
  return [...byDot.values()];
}

function setOf(additions: Iterable<Addition>): AdditionSet {
  const set = new AdditionSet();
  for (const addition of additions) set.add(addition);
  return set;
}

/** The sum over ids of the largest amount that came with each. */
function expectedTotal(additions: readonly Addition[], tally: string): bigint {
  const amounts = new Map<string, number>();
  for (const { tally: name, id, amount } of additions)
    if (name === tally) amounts.set(id, Math.max(amount, amounts.get(id) ?? -Infinity));
  let sum = 0n;
  for (const amount of amounts.values()) sum += BigInt(amount);
  return sum;
}

// Guards against TWICE and STALE: sets that hold the same additions must give the same totals, however they came.
function mergesInAnyOrder(): void {
  function holds(additions: Addition[], seed: number): void {
    const shuffled = [...additions].sort(byHash);
    function byHash(first: Addition, second: Addition): number {
      return ((first.sequence * seed) % 101) - ((second.sequence * seed) % 101);
    }
    const one = setOf(additions);
    const other = setOf(shuffled.slice(shuffled.length / 3));
    other.merge(toRuns(shuffled.slice(0, shuffled.length / 2)));
    other.merge(toRuns(shuffled));
    expect(other.merge(toRuns(additions))).toEqual([]);
    expect(other.digest()).toBe(one.digest());
    expect(other.size()).toBe(additions.length);
    for (const tally of TALLIES) {
      expect(one.total(tally)).toBe(expectedTotal(additions, tally));
      expect(other.total(tally)).toBe(one.total(tally));
    }
  }
  fc.assert(fc.property(anyAdditions, fc.integer({ min: 1, max: 100 }), holds));
}

// Guards against STALE: the digests of sets that differ are different, so that a comparison shows it.
function digestsTellDifferences(): void {
  function holds(additions: Addition[], left: Addition[]): void {
    const whole = setOf(additions);
    const part = setOf(withoutDots(additions, left));
    expect(whole.digest() === part.digest()).toBe(whole.size() === part.size());
  }
  fc.assert(fc.property(anyAdditions, anyAdditions, holds));
}

function withoutDots(additions: readonly Addition[], left: readonly Addition[]): Addition[] {
  const dots = new Set<string>();
  for (const { replica, sequence } of left) dots.add(`${replica} ${sequence % 20}`);
  function isKept({ replica, sequence }: Addition): boolean {
    return !dots.has(`${replica} ${sequence % 20}`);
  }
  return additions.filter(isKept);
}

// Guards against STALE: a total that has been given never falls while additions of no negative amount are merged.
function totalsNeverFall(): void {
  function holds(additions: Addition[]): void {
    const set = new AdditionSet();
    for (const addition of additions) {
      const before = set.total(addition.tally);
      set.add({ ...addition, amount: Math.abs(addition.amount) });
      expect(set.total(addition.tally) >= before).toBe(true);
    }
  }
  fc.assert(fc.property(anyAdditions, holds));
}

function missingAdditionsAreFoundByRange(): void {
  function holds(additions: Addition[], left: Addition[]): void {
    const whole = setOf(additions);
    const part = setOf(withoutDots(additions, left));
    for (const replica of REPLICAS) {
      const source = whole.ofReplica(replica);
      for (const { index } of source?.newestRanges(Infinity, 64) ?? []) {
        const bitmap = part.ofReplica(replica)?.bitmap(index) ?? new Uint8Array(0);
        part.merge(toRuns(source!.missingFrom(index, bitmap)));
      }
    }
    expect(part.digest()).toBe(whole.digest());
  }
  fc.assert(fc.property(anyAdditions, anyAdditions, holds));
}

function rangesAreGivenNewestFirst(): void {
  const set = new AdditionSet();
  for (let sequence = 1; sequence <= 5 * RANGE_LENGTH; sequence++)
    set.add({ replica: 'r', sequence, tally: 't', id: String(sequence), amount: 1 });
  const additions = set.ofReplica('r')!;
  expect(additions.newestRanges(Infinity, 2).map(indexOf)).toEqual([4, 3]);
  expect(additions.newestRanges(3, 2).map(indexOf)).toEqual([2, 1]);
  expect(additions.digestBefore(0)).toBe('');
}

function indexOf({ index }: { index: number }): number {
  return index;
}

function runsAreChecked(): void {
  const run = { replica: 'r', first: 1, tallies: ['t'], ids: ['a'], amounts: [1] };
  expect(areRuns([run])).toBe(true);
  expect([...additionsOf([run])].length).toBe(1);
  for (const bad of [
    { ...run, first: 0 },
    { ...run, first: 1.5 },
    { ...run, replica: 7 },
    { ...run, tallies: [] },
    { ...run, ids: [null] },
    { ...run, amounts: ['1'] },
    { ...run, amounts: [1.5] },
    null,
    'runs',
  ])
    expect({ bad, isTaken: areRuns([bad]) }).toEqual({ bad, isTaken: false });
}

function holdersIn(...zones: string[]): CopyHolder[] {
  return zones.map(holderIn);
}

function holderIn(zone: string, index: number): CopyHolder {
  return { address: String(index), zone };
}

// Guards against LOST: an acknowledgement with copies in one zone only, where zones may be lost.
function copiesOutlastTheLossesThatAreTolerated(): void {
  const all = holdersIn('a', 'a', 'b', 'b', 'c');
  const losses = { tolerated: 2, toleratedZones: 1 };
  expect(outlastsLosses(holdersIn('a', 'a', 'b'), all, losses)).toBe(true);
  expect(outlastsLosses(holdersIn('a', 'b'), all, losses)).toBe(false);
  expect(outlastsLosses(holdersIn('a', 'a', 'a'), holdersIn('a', 'a', 'a', 'b'), losses)).toBe(
    false,
  );
  expect(outlastsLosses(holdersIn('a', 'a'), holdersIn('a', 'a'), losses)).toBe(true);
  expect(outlastsLosses(holdersIn('a'), holdersIn('a', 'a'), losses)).toBe(false);
  expect(outlastsLosses(holdersIn('a'), holdersIn('a'), losses)).toBe(true);
}

test('merges in any order', mergesInAnyOrder);
test('digests tell differences', digestsTellDifferences);
test('totals never fall', totalsNeverFall);
test('missing additions are found by range', missingAdditionsAreFoundByRange);
test('ranges are given newest first', rangesAreGivenNewestFirst);
test('runs are checked', runsAreChecked);
test('copies outlast the losses that are tolerated', copiesOutlastTheLossesThatAreTolerated);
