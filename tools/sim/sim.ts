import { Command } from 'commander';
import { fork } from 'node:child_process';
import { cpus } from 'node:os';
import { DEPLOYMENTS } from '../standins/deploy';
import { Fault } from './simfaults';
import { RunResult, runSeed, RunWays } from './simrun';
import { makeTraffic } from './traffic';
import { MECHANISMS } from './without';
import { runWorstDays } from './worst/main';

/** A run in short, as a worker tells it. */
interface Short {
  seed: number;
  violations: string[];
  hash: string;
  asked: number;
  whole: number;
  refused: number;
  unknown: number;
  incomplete: number;
  acks: number;
  pending: number;
  backMs: number;
  lateShare: number;
  secondTryShare: number;
  effectMs: number[];
  replaced: boolean;
  reuse: number;
  shortMs: { p50: number; p99: number };
}

function shorten(r: RunResult): Short {
  const { report: p, ops } = r;
  return {
    seed: r.seed,
    violations: r.violations,
    hash: r.hash,
    asked: p.asked,
    whole: p.whole,
    refused: p.refused,
    unknown: p.unknown,
    incomplete: p.incomplete,
    acks: ops.acks,
    pending: ops.pending,
    backMs: r.backMs,
    lateShare: r.lateShare,
    secondTryShare: r.secondTryShare,
    effectMs: ops.effectMs,
    replaced: ops.replaced,
    reuse: r.reuse,
    shortMs: p.firstMs.short,
  };
}

/** Leaves out what a failing seed does not need, one fault at a time. */
async function shrink(seed: number, ways: RunWays, schedule: Fault[]): Promise<Fault[]> {
  let best = schedule;
  for (let i = 0; i < best.length;) {
    const less = [...best.slice(0, i), ...best.slice(i + 1)];
    const r = await runSeed(seed, { ...ways, schedule: less });
    if (r.violations.length > 0) best = less;
    else i++;
  }
  return best;
}

function told(r: Short): Promise<void> {
  function wait(done: () => void): void {
    process.send!(r, done);
  }
  return new Promise(wait);
}

async function worker(): Promise<void> {
  const [, , , ways, without, ...seeds] = process.argv;
  MECHANISMS[without]?.();
  for (const s of seeds) {
    const r = await runSeed(Number(s), JSON.parse(ways) as RunWays);
    await told(shorten(r));
  }
  process.exit(0);
}

function spread(list: number[]): string {
  function up(a: number, b: number): number {
    return a - b;
  }
  const s = list.filter(Number.isFinite).sort(up);
  if (s.length === 0) return 'none';
  return `median ${Math.round(s[s.length >> 1])}, 90 % ${Math.round(s[Math.floor(s.length * 0.9)])}, most ${Math.round(s[s.length - 1])}`;
}

function sayAll(all: Short[], deployment: string): void {
  let asked = 0;
  let whole = 0;
  let refused = 0;
  let unknown = 0;
  let acks = 0;
  let pending = 0;
  const effect: number[] = [];
  const back: number[] = [];
  const second: number[] = [];
  const first: number[] = [];
  const last: number[] = [];
  const reuse: number[] = [];
  let replaced = 0;
  let bad = 0;
  for (const r of all) {
    asked += r.asked;
    whole += r.whole;
    refused += r.refused;
    unknown += r.unknown + r.incomplete;
    acks += r.acks;
    if (r.replaced) replaced++;
    pending += r.pending;
    effect.push(...r.effectMs);
    back.push(r.backMs);
    second.push(r.secondTryShare * 1000);
    first.push(r.shortMs.p50);
    last.push(r.shortMs.p99);
    reuse.push(r.reuse * 1000);
    if (r.violations.length > 0) bad++;
  }
  process.stdout.write(
    `${deployment}: ${all.length} seeds, ${bad} with violations; ${asked} asked, ${whole} whole, ${refused} refused, ${unknown} unknown or incomplete; ${acks} changes acknowledged, ${pending} pending; ${replaced} core machines replaced\n`,
  );
  process.stdout.write(
    `acknowledged after ms: ${spread(effect)}; served again after ms: ${spread(back)}; second tries in thousandths: ${spread(second)}\n`,
  );
  process.stdout.write(
    `short requests, first piece after ms, by seed: median ${spread(first)}; 99 % ${spread(last)}; reuse in thousandths: ${spread(reuse)}\n`,
  );
}

async function one(seed: number, ways: RunWays, verbose: boolean, weighs: boolean): Promise<void> {
  const traffic = weighs ? makeTraffic() : undefined;
  const r = await runSeed(seed, { ...ways, keepLines: verbose, traffic });
  if (traffic)
    process.stdout.write(
      [
        '| from, type | messages | kB |',
        '| --- | --- | --- |',
        ...traffic.rows(r.report.asked / 1000),
      ].join('\n') + '\n',
    );
  if (verbose) process.stdout.write(r.lines.join('\n') + '\n');
  process.stdout.write(JSON.stringify(shorten(r), null, 2) + '\n');
  if (r.violations.length > 0)
    process.stdout.write(
      `shortest known schedule:\n${JSON.stringify(await shrink(seed, ways, r.schedule), null, 1)}\n`,
    );
  process.exit(r.violations.length > 0 ? 1 : 0);
}

function rate(text: string | undefined): number | undefined {
  return text === undefined ? undefined : Number(text);
}

async function worst(o: {
  seeds: string;
  from: string;
  seed?: string;
  trace?: boolean;
  without?: string;
  faults?: string;
}): Promise<void> {
  if (o.without) MECHANISMS[o.without]();
  const failed = await runWorstDays({
    from: Number(o.seed ?? o.from),
    seeds: o.seed === undefined ? Number(o.seeds) : 1,
    verbose: o.trace === true,
    faultCount: rate(o.faults),
  });
  process.exit(failed > 0 ? 1 : 0);
}

async function main(): Promise<void> {
  const cmd = new Command('sim')
    .option('--seeds <n>', 'how many seeds', '20')
    .option('--from <n>', 'the first seed', '1')
    .option('--seed <n>', 'one seed only')
    .option('--faults <n>', 'faults in each run', '6')
    .option('--deployment <name>', DEPLOYMENTS.join(' or '), 'saffron-bay')
    .option('--without <mechanism>', `leave a mechanism out: ${Object.keys(MECHANISMS).join(', ')}`)
    .option('--brief', "at the brief's sizes and rates")
    .option('--only <kinds>', 'draw only these faults')
    .option('--short <n>', 'short requests a second')
    .option('--long <n>', 'long requests a second')
    .option('--jobs <n>', 'processes at once; one less than the processors where left out')
    .option('--traffic', 'with --seed: messages and kB between our processes for 1,000 requests')
    .option('--worst', "worst days of the core: storms of operators' changes under faults")
    .option('--trace', 'with --seed: print the trace')
    .parse();
  const o = cmd.opts<{
    seeds: string;
    from: string;
    seed?: string;
    faults: string;
    deployment: string;
    trace?: boolean;
    worst?: boolean;
    without?: string;
    brief?: boolean;
    traffic?: boolean;
    only?: string;
    short?: string;
    long?: string;
    jobs?: string;
  }>();
  if (
    !DEPLOYMENTS.includes(o.deployment) ||
    (o.without !== undefined && !(o.without in MECHANISMS))
  ) {
    process.stderr.write(`sim: there is no ${o.without ?? o.deployment}\n`);
    return process.exit(2);
  }
  if (o.worst)
    return worst(
      cmd.getOptionValueSource('faults') === 'default' ? { ...o, faults: undefined } : o,
    );
  const ways: RunWays = {
    deployment: o.deployment,
    faults: Number(o.faults),
    brief: o.brief === true,
    only: o.only?.split(','),
    shortPerS: rate(o.short),
    longPerS: rate(o.long),
  };
  if (o.without) MECHANISMS[o.without]();
  if (o.seed !== undefined) return one(Number(o.seed), ways, o.trace === true, o.traffic === true);
  const n = Math.max(1, o.jobs === undefined ? cpus().length - 1 : Number(o.jobs));
  const piles: string[][] = [];
  for (let i = 0; i < n; i++) piles.push([]);
  for (let i = 0; i < Number(o.seeds); i++) piles[i % n].push(String(Number(o.from) + i));
  const all: Short[] = [];
  function runPile(pile: string[]): Promise<void> {
    function wait(done: () => void): void {
      const child = fork(__filename, [
        'worker',
        JSON.stringify(ways),
        o.without ?? 'none',
        ...pile,
      ]);
      function told(m: unknown): void {
        const r = m as Short;
        all.push(r);
        if (r.violations.length > 0)
          process.stdout.write(`seed ${r.seed}: ${r.violations.slice(0, 3).join('\n  ')}\n`);
      }
      child.on('message', told);
      child.on('exit', done);
    }
    return new Promise(wait);
  }
  function some(p: string[]): boolean {
    return p.length > 0;
  }
  await Promise.all(piles.filter(some).map(runPile));
  sayAll(all, o.deployment);
  function bad(r: Short): boolean {
    return r.violations.length > 0;
  }
  process.exit(all.some(bad) || all.length < Number(o.seeds) ? 1 : 0);
}

if (require.main === module) void (process.argv[2] === 'worker' ? worker() : main());
