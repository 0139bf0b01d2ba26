import { existsSync, mkdirSync, readFileSync, rmSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { Command } from 'commander';
import { errorOrValue } from '../../src/shared/errors/errors';
import { Report, runCallers } from '../standins/callers';
import { Deployment, DEPLOYMENTS, makeDeployment } from '../standins/deploy';
import { LedgerEntry } from '../standins/engineways';
import { FAULTS, injectFault } from './faults';
import { edgeNames, isClean, judge } from '../standins/ledger';
import { PlatformOptions, runPlatform } from './platform';
import { runSoaks, SoakOptions } from './soak-run';
import {
  allReady,
  configure,
  Fleet,
  httpOf,
  makeFleet,
  startAll,
  stopAll,
  until,
} from './processes';

/** Reads the ledgers that the engines wrote. */
export function readLedgers(f: Fleet): LedgerEntry[] {
  const out: LedgerEntry[] = [];
  for (const e of f.d.engines) {
    const file = join(f.folder, `${e.id}.ledger`);
    if (!existsSync(file)) continue;
    for (const line of readFileSync(file, 'utf8').split('\n'))
      if (line) out.push(JSON.parse(line) as LedgerEntry);
  }
  return out;
}

async function sumMetrics(f: Fleet): Promise<Record<string, number>> {
  const sums: Record<string, number> = {};
  for (const e of f.d.edge) {
    const [g, r] = errorOrValue(
      await f.ports.network.request({
        address: e.http,
        method: 'GET',
        path: '/metrics',
        timeoutMs: 2000,
      }),
    );
    if (g) continue;
    const [, text] = errorOrValue(await r.nextChunk());
    for (const line of String(text ?? '').split('\n')) {
      const m = /^plumhollow_router_(\w+)_total (\d+)/.exec(line);
      if (m) sums[m[1]] = (sums[m[1]] ?? 0) + Number(m[2]);
    }
  }
  return sums;
}

function sayReport(f: Fleet, r: Report, m: Record<string, number>): boolean {
  const walled = new Set<string>();
  for (const t of f.d.intents.tenants) if (t.sharing === 'walled') walled.add(t.id);
  const v = judge(readLedgers(f), r, walled, edgeNames(f.d.edge));
  const { seen, wrong, ...rest } = r;
  process.stdout.write(
    JSON.stringify(
      {
        deployment: f.d.name,
        ...rest,
        wrong: wrong.length,
        notWhole: sortsOf(seen),
        verdict: v,
        routers: m,
        oracleReuse: seenBefore(f, seen),
        reuse: m.needed ? Math.round((m.reused / m.needed) * 1000) / 1000 : 0,
        secondTryShare: m.asked ? Math.round((m.second_tries / m.asked) * 10000) / 10000 : 0,
      },
      null,
      2,
    ) + '\n',
  );
  return isClean(v);
}

/** The share of tokens that an endless cache, shared by all engines, would have had. */
function seenBefore(f: Fleet, seen: Report['seen']): number {
  const groups = new Map<string, string>();
  for (const t of f.d.intents.tenants) groups.set(t.id, t.group ?? t.id);
  const had = new Set<string>();
  let all = 0;
  let before = 0;
  function bySent(a: Report['seen'][number], b: Report['seen'][number]): number {
    return a.sentAt - b.sentAt;
  }
  for (const s of [...seen].sort(bySent)) {
    let still = true;
    for (const p of s.parts) {
      const k = `${groups.get(s.tenant)} ${p.hash}`;
      still = still && had.has(k);
      all += p.size;
      if (still) before += p.size;
      had.add(k);
    }
  }
  return all === 0 ? 0 : Math.round((before / all) * 1000) / 1000;
}

function sortsOf(seen: Report['seen']): Record<string, number> {
  const by: Record<string, number> = {};
  for (const s of seen)
    for (const l of s.attempts)
      if (l.sort !== 'whole') by[`${l.status} ${l.sort}`] = (by[`${l.status} ${l.sort}`] ?? 0) + 1;
  return by;
}

interface RunnerWays {
  seconds: string;
  fault?: string;
  net: string;
  scale: string;
  placeBy: string;
}

/** Runs a whole fleet once, with a fault halfway; says whether nothing forbidden was seen. */
async function runOnce(
  d: Deployment,
  o: RunnerWays,
  fault: string | undefined,
): Promise<{ clean: boolean; row: string }> {
  const folder = resolve('fleet-data', d.name);
  rmSync(folder, { recursive: true, force: true });
  mkdirSync(folder, { recursive: true });
  const f = makeFleet(d, folder);
  try {
    return await runOn(f, o, fault);
  } finally {
    await stopAll(f);
  }
}

async function runOn(
  f: Fleet,
  o: RunnerWays,
  fault: string | undefined,
): Promise<{ clean: boolean; row: string }> {
  const { d } = f;
  await startAll(
    f,
    o.placeBy,
    fault?.startsWith('cut-') ? { told: o.net, bound: String(Number(o.net) + 1) } : undefined,
  );
  const edges = d.edge.map(httpOf);
  async function ready(): Promise<boolean> {
    return allReady(f, edges);
  }
  const begun = f.ports.clock.now();
  if (!(await until(f, 20000, ready)))
    process.stdout.write('not every router is ready after 20 s\n');
  process.stdout.write(`every router ready after ${Math.round(f.ports.clock.now() - begun)} ms\n`);
  const keys = await configure(f);
  const ms = Number(o.seconds) * 1000;
  const x = Number(o.scale);
  const calls = runCallers(f.ports, {
    intents: d.intents,
    keys,
    edges,
    shortPerS: d.rates.shortPerS * x,
    longPerS: d.rates.longPerS * x,
    forMs: ms,
    retries: 3,
  });
  if (fault !== undefined) {
    await f.ports.clock.sleep(ms / 2);
    await injectFault(f, fault);
  }
  const report = await calls;
  const clean = sayReport(f, report, await sumMetrics(f));
  return {
    clean,
    row: `| ${fault ?? 'none'} | ${report.whole} of ${report.asked} | ${report.refused} | ${report.unknown + report.incomplete} | ${report.callerRetries} | ${clean ? 0 : 'yes'} |`,
  };
}

async function main(): Promise<void> {
  const cmd = new Command('fleet')
    .argument('[deployment]', DEPLOYMENTS.join(' or '))
    .option('--platform [site]', "on the users' platform instead: sbr or aoc")
    .option('--edges <n>', 'edge machines on the platform', '4')
    .option('--engines <n>', 'engines on the platform', '4')
    .option('--seconds <n>', 'how long callers call', '20')
    .option('--fault <name>', `a fault halfway, or \`all\` in turn: ${FAULTS.join(', ')}`)
    .option('--soak <seeds>', "soaks on the users' platform: so many seeds, on both sites in turn")
    .option('--from <seed>', 'the first seed of soaks', '1')
    .option('--steps <n>', 'steps a second of soaks', '0.6')
    .option(
      '--other-build <folder>',
      "soaks: the `dist` of another release, which half of each role's processes run",
    )
    .option(
      '--apart',
      'on the platform: zones that may be cut apart, tallies, evacuations, cold engines',
    )
    .option('--net <n>', 'second number of the loopback addresses', '10')
    .option('--place-by <way>', 'index or affinity', 'index')
    .option('--scale <x>', "callers' rate against the brief's", '1')
    .parse();
  const o = cmd.opts<RunnerWays & Partial<SoakOptions>>();
  if (o.soak !== undefined) process.exit((await runSoaks(o as SoakOptions)) ? 0 : 1);
  if (o.platform !== undefined) process.exit((await runPlatform(o as PlatformOptions)) ? 0 : 1);
  const d = makeDeployment(cmd.args[0], Number(o.net));
  if (!d || (o.fault !== undefined && o.fault !== 'all' && !FAULTS.includes(o.fault))) {
    process.stderr.write(`fleet: there is no ${d ? o.fault : cmd.args[0]}\n`);
    return process.exit(2);
  }
  const rows: string[] = [];
  let clean = true;
  for (const fault of o.fault === 'all' ? FAULTS : [o.fault]) {
    const r = await runOnce(d, o, fault);
    rows.push(r.row);
    clean = clean && r.clean;
  }
  process.stdout.write(
    [
      '| fault | whole | refused in the end | unknown or incomplete | tries again | forbidden |',
      '| --- | --- | --- | --- | --- | --- |',
      ...rows,
    ].join('\n') + '\n',
  );
  process.exit(clean ? 0 : 1);
}

if (require.main === module) void main();
