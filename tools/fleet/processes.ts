/**
 * Starts, configures and stops the processes of a fleet on this machine.
 */

import { ChildProcess, spawn } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { requestJson } from '../../src/shared/util/http-json';
import { errorOrValue } from '../../src/shared/errors/errors';
import { Ports } from '../../src/shared/ports/ports';
import { makeSystemClock } from '../../src/shared/system/system-clock';
import { makeSystemRandom } from '../../src/shared/system/system-random';
import { makeFileDisk } from '../../src/shared/system/file-disk';
import { makeLogger } from '../../src/shared/system/logger';
import { makeSystemNetwork } from '../../src/shared/system/tcp-network';
import { Deployment, listed } from '../standins/deploy';
import { boundOf } from '../standins/links';

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
  start: (name: string, role: string, args: string[], data: string) => Promise<void>;
  cli: (args: string[]) => Promise<{ code: number; out: string }>;
}

const ROOT = resolve(__dirname, '../..');

function waitUp(child: ChildProcess, name: string): Promise<void> {
  function wait(done: () => void): void {
    function said(b: Buffer): void {
      if (String(b).includes('is up')) done();
      else process.stderr.write(`${name}: ${String(b)}`);
    }
    child.stdout!.on('data', said);
  }
  return new Promise(wait);
}

/** Makes a fleet that nothing runs in yet. */
export function makeFleet(d: Deployment, folder: string): Fleet {
  const procs = new Map<string, Proc>();
  const ports: Ports = {
    clock: makeSystemClock(),
    random: makeSystemRandom(),
    disk: makeFileDisk(folder),
    network: makeSystemNetwork(2000),
    logger: makeLogger('fleet', d.name),
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
    child.stderr.on('data', complained);
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

/** The HTTP address of a core machine. */
export function httpOf(c: { http: string }): string {
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
    const [e, r] = errorOrValue(
      await requestJson(f.ports.network, {
        address: at,
        method: 'GET',
        path: '/healthz',
        timeoutMs: 1000,
      }),
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
