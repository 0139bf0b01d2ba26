/**
 * Changes whose values would not come back from a message or a disk as they were sent.
 */

import fc from 'fast-check';
import { pack, unpack } from 'msgpackr';
import { findUncarriable } from '../../src/shared/util/uncarriable-values';
import { isIdentical } from '../../src/shared/util/identical';
import { begin, CoreRig, described, documentOf, insisted, PATHS, post } from './deploymentrig';

const RUNS = Number(process.env.JSON_FORMS_RUNS ?? 500);
const SEED = 56;

/** The text of a document with one more field, which stands as text. */
function textWith(field: string): string {
  return `{${field},${JSON.stringify(documentOf(2, ['/v2/'])).slice(1)}`;
}

function nested(levels: number): string {
  return `${'['.repeat(levels)}${']'.repeat(levels)}`;
}

/** What is sent, and what the answer says of it. */
const REFUSED: [string, string, string][] = [
  [
    'half a surrogate pair',
    '"note":{"text":["a","\\ud800b"]}',
    'note.text[1]: the text is not Unicode',
  ],
  ['a name with half a pair', '"note":{"\\udc00":1}', 'note: the name of a field is not Unicode'],
  [
    'a reserved name',
    '"note":[{"__proto__":1}]',
    'note[0].__proto__: a field can not have this name',
  ],
  ['many levels', `"note":${nested(5000)}`, 'nested deeper than 100 levels'],
];

/** Such a change was acknowledged, and read back as another one, or its entry on the disk could not be read. */
async function isRefused(_: string, field: string, message: string): Promise<void> {
  const rig: CoreRig = await begin(31);
  const heard = await post(rig, 0, PATHS.replace, 1, textWith(field));
  expect(heard?.status).toBe(400);
  expect(JSON.stringify(heard?.body)).toContain(message);
  await insisted(rig, 0, 1, 3);
  expect(await described(rig, 1)).toEqual(documentOf(3, ['/v3/']));
}

/** Whatever passes the check comes back from bytes as it was. */
function passesOnlyWhatIsCarried(): void {
  function check(text: string): void {
    const value = JSON.parse(text) as unknown;
    if (findUncarriable(value) !== undefined) return;
    expect(isIdentical(unpack(pack(value)), withoutNegativeZero(value))).toBe(true);
  }
  fc.assert(fc.property(fc.json({ stringUnit: 'binary', maxDepth: 4 }), check), {
    numRuns: RUNS,
    seed: SEED,
  });
}

/** Zero has no sign in a message, nor has it in the text of JSON. */
function withoutNegativeZero(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value)) as unknown;
}

test.each(REFUSED)('a change with %s is refused by its path', isRefused);
test('what is taken comes back from bytes as it was', passesOnlyWhatIsCarried);
