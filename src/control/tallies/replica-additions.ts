/**
 * The additions of one replica, with a hash tree over ranges of its sequence: a digest by range, and one over them.
 */

import { shortHash } from '../../shared/util/hashing';
import { Addition } from './addition';

/** Additions whose digest is compared at once. */
export const RANGE_LENGTH = 256;
const BITS_PER_BYTE = 8;

/** The digest of one range of a sequence; range 0 holds the additions 1 to `RANGE_LENGTH`. */
export interface RangeDigest {
  index: number;
  digest: string;
}

/** The digest of a range without additions, and of a replica that is not known. */
export const EMPTY_DIGEST = '';

class AdditionRange {
  private readonly additions: (Addition | undefined)[] = [];
  private cachedDigest?: string;

  /** Adds an addition at an offset; false where there is one. */
  add(offset: number, addition: Addition): boolean {
    if (this.additions[offset]) return false;
    this.additions[offset] = addition;
    this.cachedDigest = undefined;
    return true;
  }

  has(offset: number): boolean {
    return this.additions[offset] !== undefined;
  }

  digest(): string {
    this.cachedDigest ??= shortHash(JSON.stringify(this.additions.map(contentOf)));
    return this.cachedDigest;
  }

  /** The additions that are present, in the order of the sequence. */
  *present(): Generator<Addition> {
    for (const addition of this.additions) if (addition) yield addition;
  }

  /** A bit for each addition that is present, the lowest bit of the first byte for the first. */
  bitmap(): Uint8Array {
    const bits = new Uint8Array(RANGE_LENGTH / BITS_PER_BYTE);
    for (let offset = 0; offset < RANGE_LENGTH; offset++)
      if (this.has(offset)) bits[offset >> 3] |= 1 << (offset & 7);
    return bits;
  }
}

/** The additions of one replica; some of its sequence may be missing. */
export class ReplicaAdditions {
  private readonly ranges = new Map<number, AdditionRange>();
  /** The indexes of the ranges that have additions, lowest first; undefined where one has come since. */
  private sortedIndexes?: number[];
  private cachedDigest?: string;

  constructor(readonly replica: string) {}

  /** Adds an addition of this replica; false where it is present. */
  add(addition: Addition): boolean {
    const { index, offset } = placeOf(addition.sequence);
    let range = this.ranges.get(index);
    if (!range) {
      range = new AdditionRange();
      this.ranges.set(index, range);
      this.sortedIndexes = undefined;
    }
    if (!range.add(offset, addition)) return false;
    this.cachedDigest = undefined;
    return true;
  }

  /** The digest of all additions. */
  digest(): string {
    this.cachedDigest ??= this.digestBefore(Infinity);
    return this.cachedDigest;
  }

  /** The digest of the ranges with an index below `end`. */
  digestBefore(end: number): string {
    let text = '';
    for (const index of this.indexes()) {
      if (index >= end) break;
      text += `${index} ${this.rangeDigest(index)}\n`;
    }
    return text === '' ? EMPTY_DIGEST : shortHash(text);
  }

  /** The digest of one range. */
  rangeDigest(index: number): string {
    return this.ranges.get(index)?.digest() ?? EMPTY_DIGEST;
  }

  /** The digests of the last ranges below an index, newest first. */
  newestRanges(end: number, limit: number): RangeDigest[] {
    const digests: RangeDigest[] = [];
    const indexes = this.indexes();
    for (let at = indexes.length - 1; at >= 0 && digests.length < limit; at--) {
      const index = indexes[at];
      if (index < end) digests.push({ index, digest: this.rangeDigest(index) });
    }
    return digests;
  }

  /** A bit for each addition of a range that is present. */
  bitmap(index: number): Uint8Array {
    return (this.ranges.get(index) ?? new AdditionRange()).bitmap();
  }

  /** The additions of a range that a bitmap lacks. */
  *missingFrom(index: number, bitmap: Uint8Array): Generator<Addition> {
    for (const addition of this.ranges.get(index)?.present() ?? []) {
      const { offset } = placeOf(addition.sequence);
      if (((bitmap[offset >> 3] ?? 0) & (1 << (offset & 7))) === 0) yield addition;
    }
  }

  /** All additions that are present, in the order of the sequence. */
  *all(): Generator<Addition> {
    for (const index of this.indexes()) yield* this.ranges.get(index)!.present();
  }

  private indexes(): number[] {
    this.sortedIndexes ??= [...this.ranges.keys()].sort(byNumber);
    return this.sortedIndexes;
  }
}

function placeOf(sequence: number): { index: number; offset: number } {
  const place = sequence - 1;
  return { index: Math.floor(place / RANGE_LENGTH), offset: place % RANGE_LENGTH };
}

function byNumber(first: number, second: number): number {
  return first - second;
}

/** What of an addition its dot does not tell; a gap is null. */
function contentOf(addition: Addition | undefined): unknown {
  return addition ? [addition.tally, addition.id, addition.amount] : null;
}
