import { randomUUID } from 'node:crypto';
import { FileHandle, open as openFile, readFile, mkdir } from 'node:fs/promises';
import { uptime } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { Left, Right } from 'purify-ts';
import bunyan from 'bunyan';
import { countingSuspension } from './suspension-clock';
import { makeError, Result } from '../errors/errors';
import { Clock, RandomSource, Disk, Logger } from '../ports/ports';

function sinceBoot(): number {
  return uptime() * 1000;
}

/** The machine's monotonic clock, with the time it was suspended where it may be. */
export function makeSystemClock(suspends = true): Clock {
  const monotonic = performance.now.bind(performance);
  const now =
    suspends && process.platform === 'linux' ? countingSuspension(monotonic, sinceBoot) : monotonic;
  function wall(): string {
    return new Date().toISOString();
  }
  function sleep(ms: number): Promise<void> {
    function wait(go: () => void): void {
      setTimeout(go, ms);
    }
    return new Promise(wait);
  }
  function timer(ms: number, ring: () => void): () => void {
    const t = setTimeout(ring, ms);
    function off(): void {
      clearTimeout(t);
    }
    return off;
  }
  return { now, wallTime: wall, sleep, setTimer: timer };
}

/** The machine's randomness. */
export function makeSystemRandom(): RandomSource {
  return { next: Math.random, uuid: randomUUID };
}

/** One data folder on the machine's disk; files that are written on stay open, and the folder is synced where a name is new. */
export function makeFileDisk(folder: string): Disk {
  const kept = new Map<string, FileHandle>();
  const named = new Set<string>();

  async function syncFolder(): Promise<void> {
    const d = await openFile(folder, 'r');
    try {
      await d.sync();
    } finally {
      await d.close();
    }
  }

  async function openTo(name: string, flags: string): Promise<FileHandle> {
    await kept.get(name)?.close();
    kept.delete(name);
    if (!named.has(name)) await mkdir(folder, { recursive: true });
    const f = await openFile(join(folder, name), flags);
    kept.set(name, f);
    return f;
  }

  async function put(step: string, name: string, run: () => Promise<void>): Promise<Result<void>> {
    try {
      await run();
      if (!named.has(name)) await syncFolder();
      named.add(name);
      return Right(undefined);
    } catch (e) {
      return Left(makeError(step, name, e, 'failed', 'disk'));
    }
  }

  async function read(name: string): Promise<Result<Uint8Array | undefined>> {
    try {
      return Right(await readFile(join(folder, name)));
    } catch (e) {
      if ((e as { code?: string }).code === 'ENOENT') return Right(undefined);
      return Left(makeError('read file', name, e, 'failed', 'disk'));
    }
  }

  function write(name: string, bytes: Uint8Array): Promise<Result<void>> {
    async function run(): Promise<void> {
      const f = await openTo(name, 'w');
      await f.writeFile(bytes);
      await f.sync();
    }
    return put('write file', name, run);
  }

  function append(name: string, bytes: Uint8Array): Promise<Result<void>> {
    async function run(): Promise<void> {
      const f = kept.get(name) ?? (await openTo(name, 'a'));
      await f.writeFile(bytes);
      await f.datasync();
    }
    return put('append file', name, run);
  }
  return { read, write, append };
}

/** Bunyan's ring in memory, written out to standard error when something goes wrong; notices are written out at once. */
export function makeLogger(program: string, name: string, records = 200): Logger {
  const ring = new bunyan.RingBuffer({ limit: records });
  const log = bunyan.createLogger({
    name: program,
    node: name,
    streams: [{ level: 'info', type: 'raw', stream: ring }],
  });
  const notices = bunyan.createLogger({ name: program, node: name, stream: process.stderr });
  function info(fields: object, text: string): void {
    log.info(fields, text);
  }
  function notice(fields: object, text: string): void {
    notices.info(fields, text);
  }
  function warn(fields: object, text: string): void {
    log.warn(fields, text);
  }
  function error(fields: object, text: string): void {
    log.error(fields, text);
    for (const r of ring.records)
      process.stderr.write(JSON.stringify(r, bunyan.safeCycles()) + '\n');
    ring.records.length = 0;
  }
  return { info, notice, warn, error };
}
