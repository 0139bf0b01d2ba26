/**
 * Values of control keys in every form that JSON allows: what a disk has confirmed is what it gives back.
 */

import fc from 'fast-check';
import { pack, unpack } from 'msgpackr';
import {
  applyLogEntry,
  decodeLogEntry,
  encodeLogEntry,
  LogEntry,
  RegisterState,
  StoredLogEntry,
} from '../../src/control/storage/register-state';
import { makeDelta, readDelta } from '../../src/shared/replication/delta';
import { applyPatch, diff } from '../../src/shared/replication/patch';
import { isIdentical } from '../../src/shared/util/identical';
import { VersionedValue } from '../../src/shared/state/versions';

/** Pairs of values by hand more often, in CI a few. */
const RUNS = Number(process.env.JSON_FORMS_RUNS ?? 300);
const SEED = 56;
/** More than a value must have for deltas. */
const PADDING = 'x'.repeat(2500);

const names = fc.constantFrom('a', 'b', 'name', 'sum', '1', '02', '__proto__', 'toString', 'ä');
const leaves = fc.oneof(
  fc.constantFrom<unknown>(null, true, 0, -0, 0.1, 1e300, 2 ** 53, -(2 ** 40), '', 'r-1', 'r-2'),
  fc.string({ unit: 'binary' }),
  fc.constantFrom('a\ud800b', '\udc00', '__proto__'),
);

/** The value that a text gives: its fields in the order of the text, `__proto__` as a field like any other. */
function parsed(text: string): unknown {
  return JSON.parse(text) as unknown;
}

/** The text of an object with these fields, in this order. */
function textOf(fields: readonly (readonly [string, string])[]): string {
  const seen = new Set<string>();
  const texts: string[] = [];
  for (const [name, text] of fields) {
    if (seen.has(name)) continue;
    seen.add(name);
    texts.push(`${JSON.stringify(name)}:${text}`);
  }
  return `{${texts.join(',')}}`;
}

function listText(items: readonly string[]): string {
  return `[${items.join(',')}]`;
}

function leafText(leaf: unknown): string {
  return Object.is(leaf, -0) ? '-0' : JSON.stringify(leaf);
}

/** Texts of values of any kind, some levels deep. */
function textsOfDepth(depth: number): fc.Arbitrary<string> {
  const leafTexts = leaves.map(leafText);
  if (depth === 0) return leafTexts;
  const inner = textsOfDepth(depth - 1);
  return fc.oneof(
    leafTexts,
    fc.array(inner, { maxLength: 5 }).map(listText),
    fc.array(fc.tuple(names, inner), { maxLength: 5 }).map(textOf),
  );
}

const texts = textsOfDepth(4);

/** The same value with the fields of each object in the opposite order. */
function reordered(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(reordered);
  if (typeof value !== 'object' || value === null) return value;
  const fields = Object.entries(value).reverse();
  return parsed(textOf(fields.map(reorderedField)));
}

function reorderedField([name, value]: [string, unknown]): [string, string] {
  return [name, leafText(reordered(value))];
}

/** A document that is long enough for deltas, around a value. */
function documentWith(value: unknown, revision: number): object {
  const doc = {
    padding: PADDING,
    limits: { deep: { value } },
    list: [{ name: 'r', value }, value],
  };
  return { revision, doc };
}

function versionAt(number: number, value: unknown): VersionedValue {
  return { key: 'k', epoch: 1, by: 'a', number, value };
}

/** Two values: any two, or one with the same fields in another order. */
function pairOf([one, other, isReordered]: [string, string, boolean]): [unknown, unknown] {
  return [parsed(one), isReordered ? reordered(parsed(one)) : parsed(other)];
}

const pairs = fc.tuple(texts, texts, fc.boolean()).map(pairOf);

function throughBytes<T>(value: T): T {
  return unpack(pack(value)) as T;
}

/** What a start reads of a key whose values were accepted and learned one after another; undefined where it can't read them. */
function readBack(values: readonly unknown[]): RegisterState | undefined {
  const written = new Map<string, RegisterState>();
  const read = new Map<string, RegisterState>();
  for (const [index, value] of values.entries()) {
    const accepted = versionAt(index + 1, value);
    for (const entry of [
      { key: 'k', accepted },
      { key: 'k', learned: true },
    ] as LogEntry[]) {
      const stored = encodeLogEntry(entry, written.get('k')?.learned);
      applyLogEntry(written, entry);
      const decoded = decodeLogEntry(read, throughBytes<StoredLogEntry>(stored));
      if (!decoded) return undefined;
      applyLogEntry(read, decoded.entry);
    }
  }
  return read.get('k');
}

function assertOnPairs(check: (pair: [unknown, unknown]) => void): void {
  fc.assert(fc.property(pairs, check), { numRuns: RUNS, seed: SEED });
}

/** A patch left fields in the order of the value before, whose digest was another one. */
function patchesAreExact(): void {
  function check([before, after]: [unknown, unknown]): void {
    const patch = diff(before, after);
    expect(isIdentical(patch ? applyPatch(before, patch) : before, after)).toBe(true);
    const [one, two] = [
      versionAt(1, documentWith(before, 1)),
      versionAt(2, documentWith(after, 2)),
    ];
    const delta = makeDelta(one, two);
    if (delta) expect(isIdentical(readDelta(one, delta)?.value, two.value)).toBe(true);
  }
  assertOnPairs(check);
}

/** A disk that had confirmed a value counted as a new one at the next start, since an entry of its log had another digest. */
function confirmedValuesAreRead(): void {
  function check(pair: [unknown, unknown]): void {
    const [before, after] = throughBytes(pair);
    const values = [before, after, before].map(documentWith);
    const register = readBack(values);
    expect(isIdentical(register?.accepted?.value, values[2])).toBe(true);
    expect(register?.learned).toBe(register?.accepted);
  }
  assertOnPairs(check);
}

/** Text that bytes can't carry, and a field named `__proto__`, made an entry unreadable as well. */
function everyEntryIsRead(): void {
  function check([before, after]: [unknown, unknown]): void {
    const register = readBack([before, after, before].map(documentWith));
    expect(register?.accepted?.number).toBe(3);
  }
  assertOnPairs(check);
}

test('a patch leads to its value, down to the order of the fields', patchesAreExact);
test('a log gives back what it has confirmed, in every form of JSON', confirmedValuesAreRead);
test('no value makes an entry of a log unreadable', everyEntryIsRead);
