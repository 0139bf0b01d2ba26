import { Command } from 'commander';
import { Either } from 'purify-ts';
import { Fault, sayFault } from '../shared/errors';
import { Ports } from '../shared/ports';
import { realClock, realDice, realDisk, realLog } from '../shared/real';
import { realHttp } from '../shared/realhttp';
import { realWire } from '../shared/realwire';
import { boundsOf, readSettings, Settings, settingsFields } from '../shared/settings';

/** The version that all programs tell. */
export const VERSION = '0.1.0';

/** Something running that can drain and stop. */
export interface Running {
  drain(): Promise<void>;
  stop(): Promise<void>;
}

function flagOf(name: string): string {
  return '--' + name.replace(/[A-Z]/g, lower);
}

function lower(c: string): string {
  return '-' + c.toLowerCase();
}

function list(v: string): string[] {
  return v.split(',').filter(Boolean);
}

function isTrue(v: string): boolean {
  return v === 'true';
}

/** Runs a daemon: flags and file to settings, ports, start, drain at SIGTERM, end at a second signal. */
export function runDaemon(program: string, doc: string, need: string[], start: (ports: Ports, s: Settings) => Promise<Either<Fault, Running>>): void {
  const cmd = new Command(program).description(doc).version(VERSION).option('--settings <file>', 'a JSON file of settings fields; flags win');
  for (const f of settingsFields()) {
    const text = f.sort === 'list' ? `${f.doc} (comma between)` : f.doc;
    if (f.sort === 'list') cmd.option(`${flagOf(f.name)} <list>`, text, list);
    else if (f.sort === 'number') cmd.option(`${flagOf(f.name)} <number>`, text, Number);
    else if (f.sort === 'boolean') cmd.option(`${flagOf(f.name)} <true|false>`, text, isTrue);
    else cmd.option(`${flagOf(f.name)} <value>`, text);
  }
  cmd.exitOverride(badUse);
  cmd.parse();
  const { settings: file, ...flags } = cmd.opts() as { settings?: string };
  const read = readSettings(file, flags, need);
  if (read.isLeft()) {
    for (const f of read.extract() as string[]) process.stderr.write(`${program}: ${f}\n`);
    process.exit(2);
  }
  void run(program, read.extract() as Settings, start);
}

function badUse(e: { exitCode: number }): never {
  process.exit(e.exitCode === 0 ? 0 : 2);
}

async function run(program: string, s: Settings, start: (ports: Ports, s: Settings) => Promise<Either<Fault, Running>>): Promise<void> {
  const log = realLog(program, s.name);
  const ports: Ports = { clock: realClock(), dice: realDice(), disk: realDisk(s.data), wire: realWire(boundsOf(s).dial, s.bind), log, http: realHttp(s.bind) };
  const o = await start(ports, s);
  if (o.isLeft()) {
    const f = o.extract() as Fault;
    log.error({ step: f.step, peer: f.peer }, f.why);
    process.stderr.write(`${program}: ${sayFault(f)}\n`);
    process.exit(1);
  }
  const running = o.extract() as Running;
  let signals = 0;
  async function leave(): Promise<void> {
    if (++signals > 1) process.exit(1);
    await running.drain();
    await running.stop();
    process.exit(0);
  }
  function signalled(): void {
    void leave();
  }
  function broke(e: unknown): void {
    log.error({ step: 'run', peer: s.name }, String((e as Error)?.stack ?? e));
    process.exit(1);
  }
  process.on('SIGTERM', signalled);
  process.on('SIGINT', signalled);
  process.on('uncaughtException', broke);
  process.on('unhandledRejection', broke);
  process.stdout.write(`${program} ${s.name} is up\n`);
}
