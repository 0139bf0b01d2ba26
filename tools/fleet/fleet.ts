import { ChildProcess, spawn } from 'node:child_process';
import { existsSync, mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { Command } from 'commander';
import { askJson } from '../../src/shared/lib';
import { open } from '../../src/shared/errors';
import { Ports } from '../../src/shared/ports';
import { realClock, realDice, realDisk, realLog } from '../../src/shared/real';
import { realWire } from '../../src/shared/realwire';
import { Report, runCallers } from '../standins/callers';
import { Deployment, DEPLOYMENTS, listed, makeDeployment } from '../standins/deploy';
import { LedgerEntry } from '../standins/engine';
import { FAULTS, injectFault } from './faults';
import { boundOf } from '../standins/links';
import { edgeNames, isClean, judge } from '../standins/ledger';
import { PlatformOptions, runPlatform } from './platform';

/** A process that the runner started. */
export interface Proc {
  name: string;
  role: string;
  args: string[];
  child: ChildProcess;
  data: string;
}

/** The fleet that runs on this machine. */
export interface Fleet {
  d: Deployment;
  ports: Ports;
  folder: string;
  procs: Map<string, Proc>;
  start(name: string, role: string, args: string[], data: string): Promise<void>;
  cli(args: string[]): Promise<{ code: number; out: string }>;
}

const ROOT = resolve(__dirname, '../..');

function waitUp(child: ChildProcess, name: string): Promise<void> {
  function wait(done: () => void): void {
    function said(b: Buffer): void {
      if (String(b).includes('is up')) done();
      else process.stderr.write(`${name}: ${b}`);
    }
    child.stdout!.on('data', said);
  }
  return new Promise(wait);
}

/** Makes a fleet that nothing runs in yet. */
export function makeFleet(d: Deployment, folder: string): Fleet {
  const procs = new Map<string, Proc>();
  const ports: Ports = {
    clock: realClock(),
    dice: realDice(),
    disk: realDisk(folder),
    wire: realWire(2000),
    log: realLog('fleet', d.name),
  };

  async function start(name: string, role: string, args: string[], data: string): Promise<void> {
    const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'], cwd: folder });
    const p: Proc = { name, role, args, child, data };
    procs.set(name, p);
    const log: string[] = [];
    function complained(b: Buffer): void {
      log.push(String(b));
      writeFileSync(join(folder, `${name}.log`), log.join(''));
    }
    child.stderr!.on('data', complained);
    await waitUp(child, name);
  }

  function cli(args: string[]): Promise<{ code: number; out: string }> {
    const at = d.core.map(httpOf).join(',');
    const child = spawn(
      process.execPath,
      [join(ROOT, 'src/programs/plumhollow.js'), '--at', at, '--json', ...args],
      { stdio: ['ignore', 'pipe', 'inherit'] },
    );
    let out = '';
    function said(b: Buffer): void {
      out += String(b);
    }
    child.stdout.on('data', said);
    function wait(done: (r: { code: number; out: string }) => void): void {
      function over(code: number | null): void {
        done({ code: code ?? 1, out });
      }
      child.on('close', over);
    }
    return new Promise(wait);
  }

  return { d, ports, folder, procs, start, cli };
}

function httpOf(c: { http: string }): string {
  return c.http;
}

function program(name: string): string {
  return join(ROOT, 'src/programs', `${name}.js`);
}

/** Starts every process of the deployment. */
export async function startAll(
  f: Fleet,
  placeBy = 'index',
  linked?: { told: string; bound: string },
): Promise<void> {
  const { d, folder } = f;
  function bind(at: string): string[] {
    return linked ? ['--bind', boundOf(at, linked).split(':')[0]] : [];
  }
  const seeds = d.core.map(wireOf).join(',');
  function wireOf(c: { wire: string }): string {
    return c.wire;
  }
  const ups: Promise<void>[] = [];
  const standin = join(ROOT, 'tools/standins/standin.js');
  if (linked) {
    const ats = [...d.engines.map(atOf), d.store.at];
    for (const c of d.core) ats.push(c.wire, c.http, c.indexWire, c.indexHttp);
    for (const e of d.edge) ats.push(e.wire, e.http);
    await f.start(
      'links',
      'links',
      [standin, 'links', JSON.stringify({ ...linked, ats, control: controlOf(d) })],
      '',
    );
  }
  ups.push(
    f.start(
      'platform',
      'platform',
      [standin, 'platform', JSON.stringify({ at: d.platform, engines: d.engines.map(listed) })],
      '',
    ),
  );
  for (const e of [...d.engines, d.store])
    ups.push(
      f.start(
        e.id,
        'engine',
        [
          standin,
          'engine',
          JSON.stringify({
            ...e,
            at: linked ? boundOf(e.at, linked) : e.at,
            bind: bind(e.at)[1],
            ledgerFile: join(folder, `${e.id}.ledger`),
          }),
        ],
        '',
      ),
    );
  for (const c of d.core) {
    const common = [
      '--seeds',
      seeds,
      '--zone',
      c.zone,
      '--weights-bound-ms',
      String(d.weightsBoundMs),
      ...bind(c.wire),
    ];
    const data = join(folder, c.name);
    ups.push(
      f.start(
        c.name,
        'controller',
        [
          program('controller'),
          '--name',
          c.name,
          '--wire',
          c.wire,
          '--http',
          c.http,
          '--platform',
          d.platform,
          '--data',
          data,
          ...common,
        ],
        data,
      ),
    );
    ups.push(
      f.start(
        `index-${c.name}`,
        'indexer',
        [
          program('indexer'),
          '--name',
          `index-${c.name}`,
          '--wire',
          c.indexWire,
          '--http',
          c.indexHttp,
          ...common,
        ],
        '',
      ),
    );
  }
  for (const e of d.edge) {
    ups.push(
      f.start(
        e.name,
        'router',
        [
          program('router'),
          '--name',
          e.name,
          '--zone',
          e.zone,
          '--wire',
          e.wire,
          '--http',
          e.http,
          '--seeds',
          seeds,
          '--weights-bound-ms',
          String(d.weightsBoundMs),
          '--place-by',
          placeBy,
          ...bind(e.wire),
        ],
        '',
      ),
    );
  }
  await Promise.all(ups);
}

function atOf(e: { at: string }): string {
  return e.at;
}

/** Where the stand-in network is told what to cut. */
export function controlOf(d: Deployment): string {
  return d.platform.replace('.4.1:', '.4.8:');
}

/** Waits until something holds, by asking again; false when the bound has passed. */
export async function until(
  f: Fleet,
  within: number,
  test: () => Promise<boolean>,
): Promise<boolean> {
  const end = f.ports.clock.now() + within;
  while (f.ports.clock.now() < end) {
    if (await test()) return true;
    await f.ports.clock.sleep(100);
  }
  return false;
}

/** Whether every router says that it takes requests. */
export async function allReady(f: Fleet, ats: string[]): Promise<boolean> {
  for (const at of ats) {
    const [e, r] = open(
      await askJson(f.ports.wire, { at, method: 'GET', path: '/healthz', within: 1000 }),
    );
    if (e || r.status !== 200) return false;
  }
  return true;
}

/** Applies the deployment's intents and makes a key for each tenant. */
export async function configure(f: Fleet): Promise<Record<string, string>> {
  const file = join(f.folder, 'intents.json');
  writeFileSync(file, JSON.stringify(f.d.intents, null, 2));
  const a = await f.cli(['apply', file]);
  process.stdout.write(`apply: exit ${a.code} ${a.out.replace(/\s+/g, ' ')}\n`);
  const keys: Record<string, string> = {};
  for (const t of f.d.intents.tenants) {
    const k = await f.cli(['keys', 'add', t.id]);
    keys[t.id] = (JSON.parse(k.out) as { key: string }).key;
  }
  return keys;
}

/** Stops what still runs, by its own id. */
export async function stopAll(f: Fleet): Promise<void> {
  const over: Promise<void>[] = [];
  for (const p of f.procs.values()) {
    if (p.child.exitCode !== null || p.child.signalCode !== null) continue;
    over.push(exited(p.child));
    p.child.kill('SIGCONT');
    p.child.kill('SIGTERM');
  }
  function exited(c: ChildProcess): Promise<void> {
    function wait(done: () => void): void {
      c.once('exit', done);
    }
    return new Promise(wait);
  }
  function kill(): void {
    for (const p of f.procs.values()) p.child.kill('SIGKILL');
  }
  const t = setTimeout(kill, 8000);
  await Promise.all(over);
  clearTimeout(t);
}

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
    const [g, r] = open(
      await f.ports.wire.ask({ at: e.http, method: 'GET', path: '/metrics', within: 2000 }),
    );
    if (g) continue;
    const [, text] = open(await r.next());
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
    .option('--net <n>', 'second number of the loopback addresses', '10')
    .option('--place-by <way>', 'index or affinity', 'index')
    .option('--scale <x>', "callers' rate against the brief's", '1')
    .parse();
  const o = cmd.opts() as RunnerWays & Partial<PlatformOptions>;
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
