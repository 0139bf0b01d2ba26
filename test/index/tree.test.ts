import { PromptBlock, BlockEvent } from '../../src/shared/contracts/engine';
import { makePrefixTrees, PrefixTrees } from '../../src/index/prefix-trees';
import { seededDice } from '../../tools/sim/dice';

const SALTS = ['w:a', 'w:b', 'g:x:0'];
const WEIGHTS = ['w1', 'w2'];
const SOURCES = ['engine-1', 'engine-2', 'store-1'];

interface Fact {
  source: string;
  salt: string;
  weights: string;
  hash: string;
  size: number;
}

function chain(name: string, n: number): PromptBlock[] {
  const out: PromptBlock[] = [];
  for (let i = 0; i < n; i++) out.push({ hash: `${name}${i}`, size: 10 + i });
  return out;
}

function naive(
  facts: Fact[],
  salt: string,
  weights: string,
  parts: PromptBlock[],
): Record<string, number> {
  const out: Record<string, number> = {};
  for (const s of SOURCES) {
    let t = 0;
    for (const p of parts) {
      const f = facts.find(same);
      function same(x: Fact): boolean {
        return x.source === s && x.salt === salt && x.weights === weights && x.hash === p.hash;
      }
      if (!f) break;
      t += f.size;
    }
    if (t > 0) out[s] = t;
  }
  return out;
}

function asked(
  trees: PrefixTrees,
  salt: string,
  weights: string,
  parts: PromptBlock[],
): Record<string, number> {
  const out: Record<string, number> = {};
  for (const o of trees.query('m', salt, weights, parts)) out[o.source] = o.tokens + o.doubted;
  return out;
}

function agreesWithNaive(): void {
  for (let seed = 1; seed <= 60; seed++) {
    const dice = seededDice(seed);
    const trees = makePrefixTrees(100000);
    let facts: Fact[] = [];
    const prompts = [chain('p', 5), chain('q', 4), [...chain('p', 3), ...chain('r', 3)]];
    function any<T>(list: readonly T[]): T {
      return list[Math.floor(dice.next() * list.length)];
    }
    for (let step = 0; step < 200; step++) {
      const source = any(SOURCES);
      const salt = any(SALTS);
      const weights = any(WEIGHTS);
      const parts = any(prompts);
      const i = Math.floor(dice.next() * parts.length);
      const e: BlockEvent = {
        kind: 'stored',
        model: 'm',
        salt,
        weights,
        parent: parts[i - 1]?.hash ?? 'm',
        hash: parts[i].hash,
        size: parts[i].size,
      };
      const roll = dice.next();
      function other(f: Fact): boolean {
        return f.source !== source || f.salt !== salt || f.weights !== weights || f.hash !== e.hash;
      }
      function otherSource(f: Fact): boolean {
        return f.source !== source;
      }
      if (roll < 0.65) {
        trees.apply(source, e);
        facts = [...facts.filter(other), { source, salt, weights, hash: e.hash, size: e.size }];
      } else if (roll < 0.95) {
        trees.apply(source, { ...e, kind: 'removed' });
        facts = facts.filter(other);
      } else {
        trees.apply(source, { ...e, kind: 'cleared' });
        facts = facts.filter(otherSource);
      }
      const s = any(SALTS);
      const w = any(WEIGHTS);
      const p = any(prompts);
      expect({ seed, step, got: asked(trees, s, w, p) }).toEqual({
        seed,
        step,
        got: naive(facts, s, w, p),
      });
    }
    const held = new Set<string>();
    for (const f of facts) held.add(`${f.salt} ${f.hash}`);
    expect(trees.size()).toBe(held.size);
  }
}

function staysBounded(): void {
  const trees = makePrefixTrees(100);
  const hot = chain('hot', 10);
  function keep(parts: PromptBlock[], salt: string): void {
    for (const [i, p] of parts.entries())
      trees.apply('engine-1', {
        kind: 'stored',
        model: 'm',
        salt,
        weights: 'w1',
        parent: parts[i - 1]?.hash ?? 'm',
        hash: p.hash,
        size: p.size,
      });
  }
  keep(hot, 'w:a');
  for (let i = 0; i < 50; i++) {
    keep(chain(`cold${i}-`, 8), 'w:a');
    expect(asked(trees, 'w:a', 'w1', hot)).toEqual({ 'engine-1': 145 });
    expect(trees.size()).toBeLessThanOrEqual(100);
  }
  expect(trees.evicted()).toBe(10 + 50 * 8 - 100);
}

test('a query agrees with a naive model, and never crosses salt or weights', agreesWithNaive);
test('past its bound the least recently used leaves go, the hot prefix stays', staysBounded);
