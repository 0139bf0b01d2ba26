/**
 * The simulated world: virtual time, machines, and links between them.
 */

import { Left, Right } from 'purify-ts';
import { countingSuspension } from '../../src/shared/system/suspension-clock';
import { makeError, Result } from '../../src/shared/errors/errors';
import { Clock } from '../../src/shared/ports/clock';
import { RandomSource } from '../../src/shared/ports/random';
import { Disk } from '../../src/shared/ports/disk';
import { Logger } from '../../src/shared/ports/logger';
import { seededDice } from './dice';
import { makeEventHeap, SimEvent } from './event-heap';
import { Processors } from './processors';
import { Proc } from './process';

/** The simulated world: virtual time, machines, links between them. */
export interface World {
  dice: RandomSource;
  now: () => number;
  after: (ms: number, run: () => void) => () => void;
  proc: (name: string, ip: string) => Proc;
  procAt: (ip: string) => Proc | undefined;
  procs: () => Proc[];
  onProc: (p: Proc, run: () => void) => void;
  clock: (p: Proc) => Clock;
  disk: (p: Proc) => Disk;
  log: (p: Proc) => Logger;
  kill: (p: Proc, power: boolean) => void;
  revive: (p: Proc) => void;
  freeze: (p: Proc, suspended?: boolean) => void;
  wake: (p: Proc) => void;
  stall: (p: Proc, on: boolean) => void;
  cut: (from: string, to: string, on: boolean) => void;
  isCut: (from: string, to: string) => boolean;
  slow: (from: string, to: string, times: number) => void;
  latency: (from: string, to: string) => number;
  healLinks: () => void;
  onDeath: (run: (p: Proc, power: boolean) => void) => void;
  trace: (text: string) => void;
  traceHash: () => string;
  lines: string[];
  run: (untilMs: number) => Promise<void>;
  /** What processes do takes them time, where that is simulated. */
  processors?: Processors;
}

/** Makes a world from a seed; nothing in it depends on anything else. */
export function makeWorld(seed: number, keepLines: boolean): World {
  const dice = seededDice(seed);
  const events = makeEventHeap();
  const all = new Map<string, Proc>();
  const cuts = new Set<string>();
  const slows = new Map<string, number>();
  const deaths: ((p: Proc, power: boolean) => void)[] = [];
  const lines: string[] = [];
  let time = 0;
  let count = 0;
  let hash = 2166136261;

  function now(): number {
    return time;
  }

  function nothing(): void {
    // does nothing on purpose
  }

  function after(ms: number, run: () => void): () => void {
    const e: SimEvent = { at: time + Math.max(0, ms), n: ++count, run };
    events.push(e);
    function off(): void {
      e.run = nothing;
    }
    return off;
  }

  function proc(name: string, ip: string): Proc {
    const p: Proc = {
      name,
      ip,
      life: 0,
      alive: true,
      powered: true,
      frozen: false,
      stood: 0,
      wallOff: 0,
      held: [],
      files: new Map(),
      disk: {
        slow: 1,
        full: false,
        room: Infinity,
        stalled: false,
        waiting: [],
        inFlight: new Set(),
      },
    };
    all.set(name, p);
    return p;
  }

  function procAt(ip: string): Proc | undefined {
    for (const p of all.values()) if (p.ip === ip) return p;
    return undefined;
  }

  function procs(): Proc[] {
    return [...all.values()];
  }

  function onProc(p: Proc, run: () => void): void {
    const busyMs = world.processors?.busyMs(p, time) ?? 0;
    if (p.frozen) p.held.push(run);
    else if (busyMs > 0) after(busyMs, again);
    else run();
    function again(): void {
      onProc(p, run);
    }
  }

  function clock(p: Proc): Clock {
    const life = p.life;
    function timer(ms: number, ring: () => void): () => void {
      let off = false;
      const drop = after(ms, go);
      function go(): void {
        if (p.life === life && p.alive) onProc(p, go2);
      }
      function go2(): void {
        if (!off && p.life === life && p.alive) ring();
      }
      function cancel(): void {
        off = true;
        drop();
      }
      return cancel;
    }
    function sleep(ms: number): Promise<void> {
      function wait(done: () => void): void {
        timer(ms, done);
      }
      return new Promise(wait);
    }
    function wall(): string {
      return String(time + p.wallOff);
    }
    function monotonic(): number {
      return time - p.stood - (p.stoodFrom === undefined ? 0 : time - p.stoodFrom);
    }
    function coarse(): number {
      return Math.floor(time / 10) * 10;
    }
    return { now: countingSuspension(monotonic, coarse), wallTime: wall, sleep, setTimer: timer };
  }

  function disk(p: Proc): Disk {
    const life = p.life;
    function later(run: () => Result<void>, torn: () => void): Promise<Result<void>> {
      function wait(done: (o: Result<void>) => void): void {
        p.disk.inFlight.add(torn);
        function finish(): void {
          if (p.life !== life || !p.alive) return;
          if (p.disk.stalled) {
            p.disk.waiting.push(finish);
            return;
          }
          p.disk.inFlight.delete(torn);
          const o = run();
          function tell(): void {
            if (p.life === life && p.alive) done(o);
          }
          onProc(p, tell);
        }
        after((0.5 + dice.next() * 3) * p.disk.slow, finish);
      }
      return new Promise(wait);
    }
    function read(name: string): Promise<Result<Uint8Array | undefined>> {
      return Promise.resolve(Right(p.files.get(name)));
    }
    function join(a: Uint8Array | undefined, b: Uint8Array): Uint8Array {
      return Buffer.concat([a ?? new Uint8Array(0), b]);
    }
    function cutOf(bytes: Uint8Array): Uint8Array {
      return bytes.subarray(0, Math.floor(dice.next() * (bytes.length + 1)));
    }
    /** Stores bytes in place of a file or at its end; without room, or in a loss of power, a part of them. */
    function store(
      step: string,
      name: string,
      bytes: Uint8Array,
      atEnd: boolean,
    ): Promise<Result<void>> {
      const copy = Uint8Array.from(bytes);
      function put(stored: Uint8Array): void {
        p.files.set(name, atEnd ? join(p.files.get(name), stored) : stored);
      }
      function run(): Result<void> {
        p.disk.room--;
        const full = p.disk.full || p.disk.room < 0;
        put(full ? cutOf(copy) : copy);
        return full
          ? Left(makeError(step, p.name, 'no space', 'failed', 'disk'))
          : Right(undefined);
      }
      function torn(): void {
        put(cutOf(copy));
      }
      return later(run, torn);
    }
    function write(name: string, bytes: Uint8Array): Promise<Result<void>> {
      return store('write file', name, bytes, false);
    }
    function append(name: string, bytes: Uint8Array): Promise<Result<void>> {
      return store('append file', name, bytes, true);
    }
    return { read, write, append };
  }

  function log(p: Proc): Logger {
    function say(fields: object, text: string): void {
      const { event, step, peer } = fields as { event?: string; step?: string; peer?: string };
      trace(`${p.name} ${event ?? step ?? ''} ${peer ?? ''}: ${text}`);
    }
    return { info: nothing, notice: nothing, warn: say, error: say };
  }

  function kill(p: Proc, power: boolean): void {
    if (!p.alive) return;
    p.alive = false;
    p.life++;
    p.frozen = false;
    stand(p);
    p.held = [];
    p.powered = !power;
    for (const torn of p.disk.inFlight) if (dice.next() < 0.7) torn();
    p.disk.inFlight.clear();
    p.disk.waiting = [];
    trace(`${p.name} ${power ? 'loses power' : 'is killed'}`);
    for (const d of deaths) d(p, power);
  }

  function revive(p: Proc): void {
    p.alive = true;
    p.powered = true;
    trace(`${p.name} is back`);
  }

  function freeze(p: Proc, suspended = false): void {
    p.frozen = true;
    if (suspended) p.stoodFrom = time;
    trace(`${p.name} ${suspended ? 'is suspended' : 'freezes'}`);
  }

  function stand(p: Proc): void {
    if (p.stoodFrom !== undefined) p.stood += time - p.stoodFrom;
    p.stoodFrom = undefined;
  }

  function wake(p: Proc): void {
    p.frozen = false;
    stand(p);
    trace(`${p.name} wakes`);
    for (const h of p.held.splice(0)) after(0, h);
  }

  function stall(p: Proc, on: boolean): void {
    p.disk.stalled = on;
    if (!on) for (const w of p.disk.waiting.splice(0)) after(0, w);
  }

  function cut(from: string, to: string, on: boolean): void {
    if (on) cuts.add(`${from} ${to}`);
    else cuts.delete(`${from} ${to}`);
  }

  function isCut(from: string, to: string): boolean {
    return cuts.has(`${from} ${to}`);
  }

  function slow(from: string, to: string, times: number): void {
    slows.set(`${from} ${to}`, times);
  }

  function latency(from: string, to: string): number {
    return (0.3 + dice.next() * 1.2) * (slows.get(`${from} ${to}`) ?? 1);
  }

  function healLinks(): void {
    cuts.clear();
    slows.clear();
  }

  function onDeath(run: (p: Proc, power: boolean) => void): void {
    deaths.push(run);
  }

  function trace(text: string): void {
    const line = `${time.toFixed(1)} ${text}`;
    for (let i = 0; i < line.length; i++)
      hash = Math.imul(hash ^ line.charCodeAt(i), 16777619) >>> 0;
    if (keepLines) lines.push(line);
  }

  function traceHash(): string {
    return `${hash.toString(16)}-${count}`;
  }

  function settle(): Promise<void> {
    function wait(done: () => void): void {
      setImmediate(done);
    }
    return new Promise(wait);
  }

  async function run(untilMs: number): Promise<void> {
    for (let e = events.popUntil(untilMs); e; e = events.popUntil(untilMs)) {
      time = e.at;
      if (e.run === nothing) continue;
      world.processors?.began();
      e.run();
      await settle();
      world.processors?.ended(time);
    }
    time = untilMs;
  }

  const world: World = {
    dice,
    now,
    after,
    proc,
    procAt,
    procs,
    onProc,
    clock,
    disk,
    log,
    kill,
    revive,
    freeze,
    wake,
    stall,
    cut,
    isCut,
    slow,
    latency,
    healLinks,
    onDeath,
    trace,
    traceHash,
    lines,
    run,
  };
  return world;
}
