import { makeDelta, readDelta } from '../../src/shared/replication/delta';
import { applyPatch, diff } from '../../src/shared/replication/patch';
import { VersionedValue } from '../../src/shared/state/versions';
import { seededDice } from '../../tools/sim/dice';

function random(dice: () => number, depth: number): unknown {
  const r = dice();
  if (depth === 0 || r < 0.3)
    return r < 0.1 ? null : r < 0.2 ? Math.floor(dice() * 3) : `t${Math.floor(dice() * 3)}`;
  const n = Math.floor(dice() * 4);
  if (r < 0.65) return Array.from({ length: n }, one);
  const out: Record<string, unknown> = {};
  for (let i = 0; i < n; i++) out[`k${Math.floor(dice() * 4)}`] = random(dice, depth - 1);
  return out;
  function one(): unknown {
    return random(dice, depth - 1);
  }
}

function anyTwo(): void {
  const { next } = seededDice(5);
  let spliced = 0;
  for (let i = 0; i < 3000; i++) {
    const a = random(next, 4);
    const b = random(next, 4);
    const before = JSON.stringify(a);
    const p = diff(a, b);
    if (p && 'splice' in p) spliced++;
    expect(p ? applyPatch(a, p) : a).toEqual(b);
    expect(JSON.stringify(a)).toBe(before);
  }
  expect(spliced).toBeGreaterThan(100);
}

function rules(n: number, odd: number): object {
  const out: object[] = [];
  for (let i = 0; i < n; i++)
    out.push({ tenant: 't', label: `rule-${i}`, service: i === odd ? 'other' : 'one' });
  return { doc: { tenants: [{ id: 't' }], rules: out } };
}

function overItsBaseOnly(): void {
  const one: VersionedValue = { key: 'k', epoch: 1, by: 'a', number: 1, value: rules(1000, -1) };
  const two: VersionedValue = { ...one, number: 2, value: rules(1000, 500) };
  const d = makeDelta(one, two)!;
  expect(JSON.stringify(d).length * 50).toBeLessThan(JSON.stringify(two).length);
  expect(readDelta(one, d)).toEqual(two);
  expect(readDelta(undefined, d)).toBeUndefined();
  expect(readDelta({ ...one, epoch: 2 }, d)).toBeUndefined();
  expect(readDelta({ ...one, value: rules(1000, 7) }, d)).toBeUndefined();
  expect(makeDelta(one, { ...two, value: { doc: 'all new' } })).toBeUndefined();
  expect(makeDelta({ ...one, value: 'short' }, two)).toBeUndefined();
}

test('a difference turns any value into any other, and leaves the first as it was', anyTwo);
test('a delta is read over its own base only', overItsBaseOnly);

/** A takeover commits the same value under a higher epoch; a list then stays a list. */
function sameValueAgain(): void {
  const list = Array.from({ length: 100 }, itemOf);
  for (const value of [list, { doc: list }]) {
    const one: VersionedValue = { key: 'k', epoch: 1, by: 'a', number: 1, value };
    const two: VersionedValue = { ...one, epoch: 2 };
    const delta = makeDelta(one, two)!;
    expect(JSON.stringify(delta).length).toBeLessThan(300);
    expect(readDelta(one, delta)).toEqual(two);
  }
}

function itemOf(_: unknown, i: number): object {
  return { name: `item-${i}`, text: 'some text that makes the whole long' };
}

/** Items move, change, come and go by their names. */
function itemsByName(): void {
  const { next } = seededDice(9);
  function some(): object[] {
    const items: object[] = [];
    for (let i = 0; i < 12; i++)
      if (next() < 0.7) items.push({ name: `n${i}`, at: Math.floor(next() * 3) });
    return next() < 0.2 ? items.reverse() : items;
  }
  let byItems = 0;
  for (let i = 0; i < 2000; i++) {
    const [a, b] = [some(), some()];
    const patch = diff(a, b);
    if (patch && 'items' in patch) byItems++;
    expect(patch ? applyPatch(a, patch) : a).toEqual(b);
  }
  expect(byItems).toBeGreaterThan(100);
}

test('a value that is committed again is told as unchanged, also a list', sameValueAgain);
test('lists of named items differ by item', itemsByName);
