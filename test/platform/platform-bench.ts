/**
 * A stand-in engine, its store and a caller in the simulated world, for tests of the platform's engine stand-in.
 */

import { errorOrValue } from '../../src/shared/errors/errors';
import { Ports } from '../../src/shared/ports/ports';
import { makeNet } from '../../tools/sim/simwire';
import { makeWorld, World } from '../../tools/sim/simworld';
import { Book, makeBook } from '../../tools/standins/platform/book';
import { EngineLife, startEngine } from '../../tools/standins/platform/engine';
import { Ground, makeGround } from '../../tools/standins/platform/ground';
import { EngineSpec } from '../../tools/standins/platform/jobs';
import { doorsOn } from '../../tools/standins/platform/serve';
import { BOUNDS } from '../../tools/standins/platform/site';

/** An engine, a store and a caller in the simulated world. */
interface Bench {
  w: World;
  ground: Ground;
  book: Book;
  caller: Ports;
  spec: EngineSpec;
  start: (more?: Partial<EngineSpec>) => Promise<EngineLife>;
}

/** The engine's address. */
export const AT = '127.10.3.1:8080';

/** The store's address. */
export const STORE = '127.10.4.2:8165';

/** How the engine's event feed behaves. */
export const FEED = { lateMs: 20, lost: 0, keep: 6, maxConcurrent: 1 };

/** Makes the world with an engine's machine and a caller's. */
export function bench(): Bench {
  const w = makeWorld(1, false);
  const net = makeNet(w);
  const there = net.ports(w.proc('engine', '127.10.3.1'));
  const caller = net.ports(w.proc('caller', '127.10.2.1'));
  const book = makeBook(there.clock);
  const ground: Ground = {
    ...makeGround(there.clock, there.random, book, BOUNDS),
    open: doorsOn(there.network),
  };
  const spec: EngineSpec = {
    instance: 'i-1.1',
    service: 'lm',
    at: AT,
    zone: 'a',
    revision: 'v1',
    healthPath: '/health',
    capacity: 1,
    queue: 1,
    maxConnections: 100,
    cacheTokens: 2000,
    kvTokenBytes: 163840,
    bandwidthMbps: 1100000,
    stride: 2,
    stepMs: 3,
    prefillPerMs: 10,
    workMs: 20,
    model: 'm',
    loadMs: 400,
    idleMs: 15000,
  };
  function start(more: Partial<EngineSpec> = {}): Promise<EngineLife> {
    return startEngine(ground, { ...spec, ...more }, { feed: FEED, warmupMs: 0, warmupSlow: 1 });
  }
  return { w, ground, book, caller, spec, start };
}

/** What a call came to. */
export interface Got {
  status: number;
  headers: Record<string, string | undefined>;
  text: string;
  cut: boolean;
  at: number;
}

/** Makes one call and reads its answer to the end. */
export async function call(
  b: Bench,
  path: string,
  headers: Record<string, string> = {},
  method = 'POST',
  body?: string,
  at = AT,
): Promise<Got> {
  const [f, r] = errorOrValue(
    await b.caller.network.request({
      address: at,
      method,
      path,
      headers,
      body: body ?? (method === 'POST' ? '{}' : undefined),
      timeoutMs: 20000,
    }),
  );
  if (f) return { status: 0, headers: {}, text: '', cut: true, at: b.w.now() };
  let text = '';
  for (;;) {
    const [g, p] = errorOrValue(await r.nextChunk());
    if (g) return { status: r.status, headers: r.headers, text, cut: true, at: b.w.now() };
    if (p === undefined)
      return { status: r.status, headers: r.headers, text, cut: false, at: b.w.now() };
    text += p;
  }
}

/** The headers of a prompt. */
export function prompt(
  id: string,
  parts: string,
  out = 5,
  more: Record<string, string> = {},
): Record<string, string> {
  let tokens = 0;
  for (const p of parts.split(',')) tokens += Number(p.split(':')[1]);
  return {
    'plumhollow-attempt-id': id,
    'plumhollow-model': 'm',
    'plumhollow-token-count': `${tokens},${out}`,
    'plumhollow-prompt-prefix': parts,
    ...more,
  };
}

/** Lets the simulated time pass until a promise is kept. */
export async function play<T>(b: Bench, p: Promise<T>, ms = 3000): Promise<T> {
  let got: T | undefined;
  let done = false;
  function keep(x: T): void {
    got = x;
    done = true;
  }
  void p.then(keep);
  for (let t = 0; t < 20000 && !done; t += 100) await b.w.run(b.w.now() + 100);
  if (!done) throw new Error(`not kept within ${ms}`);
  return got!;
}

/** Sends one after the other, a few ms between, and waits for all. */
export async function inTurn(b: Bench, sends: (() => Promise<Got>)[]): Promise<Got[]> {
  const out: Promise<Got>[] = [];
  for (const s of sends) {
    out.push(s());
    await b.w.run(b.w.now() + 8);
  }
  return play(b, Promise.all(out));
}
