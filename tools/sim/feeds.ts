import { Command } from 'commander';
import { WireBlock } from '../../src/shared/contracts/indexer';
import { KvSource } from '../standins/kvsource';
import { seededDice } from './dice';
import { makeScene, SALT, Scene } from './feedscene';

const ENGINES = 6;
const ROOM = 140640;
const BLOCK = 16;
const SHARED = 60;
const EVERY = 60;
const AT = 20000;
const FOR = 16000;
const SAMPLE = 12;
const MARK = 0.05;

/** What an engine keeps: the longest unused part gives way from its end, by blocks. */
interface Cache {
  read: (parts: readonly WireBlock[]) => number;
  overlap: (parts: readonly WireBlock[]) => number;
  clear: () => void;
}

function makeCache(source: KvSource, room: number): Cache {
  let kept = new Map<string, number>();
  let used = 0;

  function make(need: number): void {
    for (const [id, size] of [...kept]) {
      if (used + need <= room) return;
      const goes = Math.min(size, Math.ceil((used + need - room) / BLOCK) * BLOCK);
      used -= goes;
      if (size - goes > 0) kept.set(id, size - goes);
      else kept.delete(id);
      source.keep(SALT, id, size - goes);
    }
  }

  function read(parts: readonly WireBlock[]): number {
    let fresh = 0;
    for (const [id, size] of parts) {
      const has = kept.get(id) ?? 0;
      kept.delete(id);
      kept.set(id, has);
      if (has === size) continue;
      fresh += size - has;
      make(size - has);
      used += size - has;
      kept.set(id, size);
      source.keep(SALT, id, size);
    }
    return fresh;
  }

  function overlap(parts: readonly WireBlock[]): number {
    let t = 0;
    for (const [id, size] of parts) {
      t += kept.get(id) ?? 0;
      if (kept.get(id) !== size) break;
    }
    return t;
  }

  function clear(): void {
    kept = new Map();
    used = 0;
  }

  return { read, overlap, clear };
}

interface Sample {
  at: number;
  held: number;
  little: number;
  much: number;
}

let without: string | undefined;

type Trouble = (t: Scene, caches: Cache[]) => Promise<void>;

function ignore(): void {
  // does nothing on purpose
}

/** Leaves a mechanism out of every indexer. */
function leaveOut(t: Scene): void {
  for (const ix of t.indexers) {
    if (without === 'lists') ix.sources.snapshot = undefined;
    if (without === 'notes') ix.expectedBlocks.expect = ignore;
  }
}

function engines(t: Scene): KvSource[] {
  return [...t.sources.values()].slice(0, ENGINES);
}

/** Some engines lose the events that they hold, and tell late for a while. */
function gap(t: Scene): Promise<void> {
  for (const s of engines(t).slice(0, 3)) {
    s.loseHeld();
    s.ways.lateMs = 1500;
  }
  void healed();
  return Promise.resolve();
  async function healed(): Promise<void> {
    await t.sleep(4000);
    for (const s of engines(t)) s.ways.lateMs = 80;
  }
}

/** Each engine's next events are never told. */
function never(t: Scene): Promise<void> {
  for (const s of engines(t)) s.loseNext(25);
  return Promise.resolve();
}

function restarts(t: Scene, caches: Cache[]): Promise<void> {
  engines(t)[0].restart();
  caches[0].clear();
  return Promise.resolve();
}

function killed(which: number[]): Trouble {
  async function run(t: Scene): Promise<void> {
    for (const i of which) t.w.kill(t.procs[i], false);
    await t.sleep(1000);
    for (const i of which) await t.start(i);
    leaveOut(t);
  }
  return run;
}

async function cut(t: Scene): Promise<void> {
  for (const on of [true, false]) {
    for (let n = 1; n <= ENGINES; n++) {
      t.w.cut(t.procs[0].ip, `127.10.2.${n}`, on);
      t.w.cut(`127.10.2.${n}`, t.procs[0].ip, on);
    }
    if (on) await t.sleep(4000);
  }
}

async function nothing(): Promise<void> {
  // does nothing on purpose
}

const TROUBLES: [string, Trouble, number?][] = [
  ['none', nothing],
  ['three engines lose held events, and tell late for 4 s', gap],
  ['each engine never tells 25 events', never],
  ['an engine restarts', restarts],
  ['one indexer killed for 1 s', killed([0])],
  ['both indexers killed for 1 s', killed([0, 1])],
  ['both indexers killed for 1 s, feeds keep 40 events', killed([0, 1]), 40],
  ['one indexer cut off 4 s, feeds keep 40 events', cut, 40],
];

async function run(
  seed: number,
  trouble: Trouble,
  keepsMost: number,
): Promise<{ samples: Sample[]; lists: number; again: number }> {
  const t = await makeScene(ENGINES, 2, { lateMs: 80, keepsMost }, seed);
  const dice = seededDice(seed);
  leaveOut(t);
  const caches = engines(t).map(cacheOf);
  function cacheOf(s: KvSource): Cache {
    return makeCache(s, ROOM);
  }
  const samples: Sample[] = [];
  const asked: WireBlock[][] = [];
  const everRead = new Set<string>();
  let again = 0;
  let own = 0;
  let struck = false;
  function shared(): WireBlock {
    const i = Math.floor(SHARED * dice.next() * dice.next());
    return [`s${i}`, 6000 + ((i * 977) % 14000)];
  }

  function choose(parts: WireBlock[]): number {
    const told = t.told(dice.next() < 0.5 ? 0 : 1, parts);
    let best = Math.floor(dice.next() * ENGINES);
    let most = 0;
    for (let i = 0; i < ENGINES; i++) {
      const o = told[`engine-${i + 1}`];
      if (o && o[0] + o[1] > most) {
        best = i;
        most = o[0] + o[1];
      }
    }
    return best;
  }

  function sample(): void {
    const s: Sample = { at: t.w.now(), held: 0, little: 0, much: 0 };
    for (const parts of asked.slice(-SAMPLE)) {
      for (const i of [0, 1]) {
        if (!t.procs[i].alive || !t.indexers[i].isReady()) continue;
        const told = t.told(i, parts);
        for (let n = 0; n < ENGINES; n++) {
          const held = caches[n].overlap(parts);
          const [kept, coming] = told[`engine-${n + 1}`] ?? [0, 0];
          s.held += held;
          s.little += Math.max(0, held - kept - coming);
          s.much += Math.max(0, kept - held);
        }
      }
    }
    samples.push(s);
  }

  while (t.w.now() < AT + FOR) {
    const parts: WireBlock[] = [shared(), [`own${++own}`, 3700]];
    const n = choose(parts);
    const had = caches[n].overlap(parts);
    for (const [i, ix] of t.indexers.entries())
      if (t.procs[i].alive)
        ix.expectedBlocks.expect(
          t,
          { model: 'm', salt: SALT, engine: `engine-${n + 1}`, parts },
          none,
        );
    const fresh = caches[n].read(parts);
    if (everRead.has(parts[0][0]) && had < parts[0][1] && t.w.now() >= AT)
      again += Math.max(0, fresh - parts[1][1]);
    everRead.add(parts[0][0]);
    asked.push(parts);
    await t.pass(EVERY);
    sample();
    if (!struck && t.w.now() >= AT) {
      struck = true;
      void trouble(t, caches);
    }
  }
  let lists = 0;
  for (const s of t.sources.values()) lists += s.counts.lists;
  return { samples, lists, again };

  function none(): boolean {
    return false;
  }
}

function shares(list: Sample[]): { little: number; much: number } {
  let [held, little, much] = [0, 0, 0];
  for (const s of list) {
    held += s.held;
    little += s.little;
    much += s.much;
  }
  return { little: little / Math.max(1, held), much: much / Math.max(1, held) };
}

function backAfter(all: Sample[]): number {
  let back = 0;
  for (let at = AT; at < AT + FOR; at += 500) {
    const e = shares(all.filter(inside));
    function inside(s: Sample): boolean {
      return s.at >= at && s.at < at + 1000;
    }
    if (e.little + e.much > MARK) back = at + 1000 - AT;
  }
  return back;
}

async function main(): Promise<void> {
  const cmd = new Command('feeds')
    .option('--seeds <list>', 'which seeds', '1,2,3')
    .option('--only <text>', 'only troubles whose name has this')
    .option('--without <mechanism>', 'leave out lists or notes')
    .parse();
  const o = cmd.opts<{ seeds: string; only?: string; without?: string }>();
  without = o.without;
  process.stdout.write(
    '| trouble at 20 s | too little, of held | too much, of held | back under 0.05 after ms | lists | 1,000 shared tokens read again |\n| --- | --- | --- | --- | --- | --- |\n',
  );
  for (const [what, trouble, keepsMost] of TROUBLES) {
    if (o.only && !what.includes(o.only)) continue;
    const cols: string[][] = [[], [], [], [], []];
    for (const seed of o.seeds.split(',').map(Number)) {
      const r = await run(seed, trouble, keepsMost ?? 4000);
      const e = shares(r.samples.filter(late));
      cols[0].push(e.little.toFixed(3));
      cols[1].push(e.much.toFixed(3));
      cols[2].push(String(backAfter(r.samples)));
      cols[3].push(String(r.lists));
      cols[4].push((r.again / 1000).toFixed(0));
    }
    function late(s: Sample): boolean {
      return s.at >= AT;
    }
    process.stdout.write(`| ${what} | ${cols.map(joined).join(' | ')} |\n`);
  }
}

function joined(list: string[]): string {
  return list.join(', ');
}

if (require.main === module) void main();
