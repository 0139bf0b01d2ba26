import { Command } from 'commander';
import { IntentsValue } from '../../src/shared/state/intents';
import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { Seen } from '../standins/callers';
import { DEPLOYMENTS } from '../standins/deploy';
import { Fault } from './simfaults';
import { SimFleet } from './simfleet';
import { runSeed } from './simrun';
import { MECHANISMS } from './without';

const AT = 20000;
const MARK = 0.05;
const SAMPLE = 12;
const WINDOW = 1000;

/** What replicas told of prompts against what engines really held, in tokens. */
interface Sample {
  at: number;
  held: number;
  little: number;
  much: number;
}

/** Faults of the index that are measured: what, whose, and how long. */
const KINDS: [string, Omit<Fault, 'at' | 'other'>[]][] = [
  ['none', []],
  ['one indexer killed', [{ kind: 'kill', who: 'index-core-1', ms: 1000 }]],
  ['all indexers killed', [{ kind: 'index-all', who: '', ms: 1000 }]],
  [
    'all indexers killed in turn',
    [
      { kind: 'kill', who: 'index-core-1', ms: 1000 },
      { kind: 'kill', who: 'index-core-2', ms: 3000 },
      { kind: 'kill', who: 'index-core-3', ms: 5000 },
    ],
  ],
  ['indexer cut off 4 s', [{ kind: 'cut-off', who: 'index-core-1', ms: 4000 }]],
  [
    'indexer cut off 4 s, feeds keep 4 batches',
    [
      ...[1, 2, 3, 4].map(feed('feed-short', 6000)),
      { kind: 'cut-off', who: 'index-core-1', ms: 4000 },
    ],
  ],
  ['feeds change epoch', [1, 2, 3, 4].map(feed('feed-epoch'))],
  ['feeds go back', [1, 2, 3, 4].map(feed('feed-back'))],
  ['engine crashes', [{ kind: 'engine-crash', who: 'engine-1', ms: 1000 }]],
  ['store empties', [{ kind: 'store-empty', who: 'store-1', ms: 1000 }]],
];

function feed(kind: string, ms = 2000): (n: number) => Omit<Fault, 'at' | 'other'> {
  function one(n: number): Omit<Fault, 'at' | 'other'> {
    return { kind, who: `engine-${n}`, ms };
  }
  return one;
}

function take(f: SimFleet, seen: readonly Seen[]): Sample {
  const s: Sample = { at: f.w.now(), held: 0, little: 0, much: 0 };
  const salts = [...f.controllers.values()].map(intentsOf).find(Boolean)?.salts ?? {};
  for (const x of seen.slice(-SAMPLE)) {
    for (const [name, ix] of f.indexers) {
      if (!f.w.procs().find(named(name))!.alive || !ix.isReady()) continue;
      for (const [id, e] of f.standins) {
        if (!f.w.procs().find(named(id))!.alive) continue;
        const q = {
          model: f.d.model,
          salt: salts[x.tenant],
          weights: e.ways.weights,
          parts: x.parts,
        };
        const told = ix.trees.query(q.model, q.salt, q.weights, q.parts).find(of(id));
        const held = e.overlap(q.salt, q.weights, q.parts);
        const tokens = told ? told.tokens + told.doubted : 0;
        s.held += held;
        s.little += Math.max(0, held - tokens);
        s.much += Math.max(0, tokens - held);
      }
    }
  }
  return s;
}

function intentsOf(c: {
  committedValue: <T>(k: string) => { value: T } | undefined;
}): IntentsValue | undefined {
  return c.committedValue<IntentsValue>(CONTROL_KEYS.intents)?.value;
}

function named(name: string): (p: { name: string }) => boolean {
  function test(p: { name: string }): boolean {
    return p.name === name;
  }
  return test;
}

function of(id: string): (o: { source: string }) => boolean {
  function test(o: { source: string }): boolean {
    return o.source === id;
  }
  return test;
}

function shares(list: Sample[]): { little: number; much: number } {
  let held = 0;
  let little = 0;
  let much = 0;
  for (const s of list) {
    held += s.held;
    little += s.little;
    much += s.much;
  }
  return { little: little / Math.max(1, held), much: much / Math.max(1, held) };
}

/** The error in a window of time, and when it is back under the mark for good. */
function summarise(all: Sample[]): { little: number; much: number; worst: number; backMs: number } {
  let worst = 0;
  let back = 0;
  for (let t = AT; t < AT + 16000; t += WINDOW / 2) {
    const win = all.filter(inside);
    function inside(s: Sample): boolean {
      return s.at >= t && s.at < t + WINDOW;
    }
    const e = shares(win);
    worst = Math.max(worst, e.little + e.much);
    if (e.little + e.much > MARK) back = t + WINDOW - AT;
  }
  function late(s: Sample): boolean {
    return s.at >= AT && s.at < AT + 16000;
  }
  return { ...shares(all.filter(late)), worst, backMs: back };
}

function say(list: number[], digits: number): string {
  function text(x: number): string {
    return x.toFixed(digits);
  }
  return list.map(text).join(', ');
}

async function main(): Promise<void> {
  const cmd = new Command('overlap')
    .option('--deployment <name>', DEPLOYMENTS.join(' or '), 'saffron-bay')
    .option('--seeds <list>', 'which seeds', '1,2,3')
    .option('--only <text>', 'only faults whose name has this')
    .option('--without <mechanism>', 'leave a mechanism out')
    .parse();
  const o = cmd.opts<{ deployment: string; seeds: string; without?: string; only?: string }>();
  if (o.without) MECHANISMS[o.without]();
  process.stdout.write(
    '| fault at 20 s | too little, of held | too much, of held | worst second | back under 0.05 after ms |\n| --- | --- | --- | --- | --- |\n',
  );
  for (const [what, faults] of KINDS) {
    if (o.only && !what.includes(o.only)) continue;
    const rows: ReturnType<typeof summarise>[] = [];
    for (const seed of o.seeds.split(',').map(Number)) {
      const samples: Sample[] = [];
      function watch(f: SimFleet, seen: readonly Seen[]): void {
        samples.push(take(f, seen));
      }
      await runSeed(seed, {
        deployment: o.deployment,
        faults: 0,
        replace: false,
        schedule: faults.map(at),
        watch,
      });
      rows.push(summarise(samples));
    }
    function col(k: keyof ReturnType<typeof summarise>): number[] {
      function one(r: ReturnType<typeof summarise>): number {
        return r[k];
      }
      return rows.map(one);
    }
    process.stdout.write(
      `| ${what} | ${say(col('little'), 3)} | ${say(col('much'), 3)} | ${say(col('worst'), 2)} | ${say(col('backMs'), 0)} |\n`,
    );
  }
}

function at(x: Omit<Fault, 'at' | 'other'>): Fault {
  return { ...x, at: AT, other: '' };
}

if (require.main === module) void main();
