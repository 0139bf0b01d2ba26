import { ChildProcess, spawn } from 'node:child_process';
import { mkdirSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Clock } from '../../src/shared/ports/clock';
import { Book, troubled } from '../standins/platform/book';
import { kept } from '../standins/platform/serve';
import { SettingsOf, settingsText } from '../standins/platform/settingsfile';
import { Site } from '../standins/platform/site';
import { Builds, makeBuilds } from './builds';
import { ZoneCuts } from './zone-cuts';

/** A process of ours, in its present life. */
export interface Proc {
  of: SettingsOf;
  /** The compiled program that it runs. */
  program: string;
  /** What it is called in a book of troubles: an edge machine's IP number, or `core`. */
  who: string;
  child?: ChildProcess;
  life: number;
  /** It ended by itself, with this code or signal. */
  ended: string[];
  log: string[];
}

/** All processes of ours on the machines of a site. */
export interface Machines {
  procs: Map<string, Proc>;
  startAll: () => Promise<void>;
  /** Kills a process, and starts it again after the pause. */
  kill: (name: string, pauseMs: number) => Promise<void>;
  /** Stops a process by SIGTERM, with SIGKILL after the grace, and starts it again; one that is held up handles its signal `heldUpMs` late. */
  roll: (name: string, heldUpMs?: number) => Promise<void>;
  freeze: (name: string, ms: number) => Promise<void>;
  /** Kills a process whose disk is lost with it. */
  wipe: (name: string, pauseMs: number) => Promise<void>;
  lifeOf: (ip: string) => number;
  /** Cuts a zone off from the others, engines included; clients reach it. The given function heals the cut. */
  cutOff: (zone: string) => () => void;
  /** Whether a zone reaches another one. */
  reaches: (from: string, to: string) => boolean;
  /** Ends every process; none starts after it. */
  stopAll: () => Promise<void>;
}

const START_MS = 30000;

/** Makes the machines of a site; nothing runs yet. */
export function makeMachines(
  site: Site,
  clock: Clock,
  book: Book,
  folder: string,
  builds: Builds = makeBuilds(),
): Machines {
  const procs = new Map<string, Proc>();
  const ending = new Set<Promise<void>>();
  const turns = new Map<string, Promise<void>>();
  let stopped = false;
  const cuts = new ZoneCuts(site, folder);
  const seeds = site.cores.map(controlOf);
  function controlOf(c: { control: string }): string {
    return c.control;
  }
  function countOf(role: string): number {
    let count = 0;
    for (const p of procs.values()) if (p.of.role === role) count++;
    return count;
  }
  function add(of: SettingsOf, who: string): void {
    const program = builds.programOf(of.role, countOf(of.role));
    procs.set(of.name + ' ' + of.role, { of, program, who, life: 0, ended: [], log: [] });
  }
  for (const c of site.cores) {
    add(
      {
        name: c.name,
        ip: c.ip,
        zone: c.zone,
        role: 'controller',
        on: 'core',
        serves: ['control_plane'],
        bootstrap: true,
        data: join(c.data, 'controller'),
        seeds,
      },
      'core',
    );
    add(
      {
        name: c.name,
        ip: c.ip,
        zone: c.zone,
        role: 'indexer',
        on: 'core',
        serves: [],
        bootstrap: true,
        data: join(c.data, 'indexer'),
        seeds,
      },
      'index',
    );
  }
  for (const e of site.edges)
    add(
      {
        name: e.name,
        ip: e.ip,
        zone: e.zone,
        role: 'router',
        on: 'edge',
        serves: ['edge'],
        bootstrap: true,
        seeds,
      },
      e.ip,
    );

  async function start(name: string): Promise<void> {
    if (stopped) return;
    const p = procs.get(name)!;
    const file = join(folder, `${name.replace(' ', '-')}.toml`);
    mkdirSync(folder, { recursive: true });
    if (p.of.data !== undefined) mkdirSync(p.of.data, { recursive: true });
    writeFileSync(file, settingsText(site, { ...p.of, bootstrap: p.life === 0 }));
    p.life++;
    const flags = [...cuts.nodeFlags, ...(site.nodeFlags ?? [])];
    const child = spawn(process.execPath, [...flags, p.program], {
      stdio: ['ignore', 'pipe', 'pipe'],
      cwd: folder,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        PLUMHOLLOW_SETTINGS: file,
        ...cuts.envOf(p.of.ip),
      },
    });
    p.child = child;
    const up = kept<void>();
    function said(b: Buffer): void {
      if (String(b).includes('is up')) up.keep();
    }
    function complained(b: Buffer): void {
      p.log.push(String(b));
      writeFileSync(join(folder, `${name.replace(' ', '-')}.log`), p.log.join(''));
    }
    function over(code: number | null, signal: string | null): void {
      if (p.child === child) p.ended.push(`life ${p.life}: ${signal ?? code}`);
      up.keep();
    }
    child.stdout.on('data', said);
    child.stderr.on('data', complained);
    child.on('exit', over);
    const off = clock.setTimer(START_MS, up.keep);
    await up.promise;
    off();
  }

  async function startAll(): Promise<void> {
    await Promise.all([...procs.keys()].map(start));
  }

  /** Ends a life on purpose; a promise of its end. */
  function end(p: Proc, signal: NodeJS.Signals): Promise<void> {
    const child = p.child;
    p.child = undefined;
    const k = kept<void>();
    if (child?.exitCode !== null || child.signalCode !== null) return Promise.resolve();
    ending.add(k.promise);
    child.once('close', gone);
    child.kill(signal);
    function gone(): void {
      ending.delete(k.promise);
      off();
      k.keep();
    }
    function force(): void {
      child!.kill('SIGKILL');
    }
    const off = clock.setTimer(site.bounds.graceS * 1000, force);
    return k.promise;
  }

  /** Runs one end and start of a process after the other, where several overlap. */
  function inTurn(name: string, run: (p: Proc) => Promise<void>): Promise<void> {
    const p = procs.get(name)!;
    function next(): Promise<void> {
      return run(p);
    }
    const mine = (turns.get(name) ?? Promise.resolve()).then(next);
    turns.set(name, mine);
    return mine;
  }

  function kill(name: string, pauseMs: number): Promise<void> {
    return inTurn(name, killNow);
    function killNow(p: Proc): Promise<void> {
      return killOnce(p, name, pauseMs);
    }
  }

  async function killOnce(p: Proc, name: string, pauseMs: number): Promise<void> {
    const over = troubled(book, 'kill', p.who);
    await end(p, 'SIGKILL');
    await clock.sleep(pauseMs);
    await start(name);
    over();
  }

  function wipe(name: string, pauseMs: number): Promise<void> {
    return inTurn(name, wipeNow);
    function wipeNow(p: Proc): Promise<void> {
      return wipeOnce(p, name, pauseMs);
    }
  }

  async function wipeOnce(p: Proc, name: string, pauseMs: number): Promise<void> {
    const over = troubled(book, 'wipe', p.who, false, p.of.ip);
    await end(p, 'SIGKILL');
    if (p.of.data !== undefined) rmSync(p.of.data, { recursive: true, force: true });
    await clock.sleep(pauseMs);
    await start(name);
    over();
  }

  function roll(name: string, heldUpMs = 0): Promise<void> {
    return inTurn(name, rollNow);
    function rollNow(p: Proc): Promise<void> {
      return rollOnce(p, name, heldUpMs);
    }
  }

  async function rollOnce(p: Proc, name: string, heldUpMs: number): Promise<void> {
    const { child } = p;
    if (heldUpMs > 0) child?.kill('SIGSTOP');
    const over = troubled(book, 'term', p.who, true);
    const ended = end(p, 'SIGTERM');
    if (heldUpMs > 0) {
      await clock.sleep(heldUpMs);
      child?.kill('SIGCONT');
    }
    await ended;
    await clock.sleep(200);
    await start(name);
    over();
  }

  async function freeze(name: string, ms: number): Promise<void> {
    const p = procs.get(name)!;
    const over = troubled(book, 'freeze', p.who);
    p.child?.kill('SIGSTOP');
    await clock.sleep(ms);
    p.child?.kill('SIGCONT');
    over();
  }

  function lifeOf(ip: string): number {
    for (const p of procs.values()) if (p.of.ip === ip && p.of.role !== 'indexer') return p.life;
    return 0;
  }

  async function stopAll(): Promise<void> {
    stopped = true;
    for (const p of procs.values()) {
      p.child?.kill('SIGCONT');
      void end(p, 'SIGTERM');
    }
    await Promise.all(ending);
  }

  const cutOff = cuts.cutOff.bind(cuts);
  const reaches = cuts.reaches.bind(cuts);
  return { procs, startAll, kill, roll, freeze, wipe, lifeOf, cutOff, reaches, stopAll };
}
