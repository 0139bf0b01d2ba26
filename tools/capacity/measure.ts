import { EMPTY, Hollow, HollowSizes } from './hollow-fleet';
import { settled, startHollow } from './hollow';
import { Rates } from './meter';
import { ChangeSeen } from './operators';

/** Values measured at one size, by name. */
export type Measured = Record<string, number>;

/** One thing that is varied while all else stays. */
export interface Axis {
  name: string;
  /** What is counted along it. */
  of: string;
  sizes: number[];
  /** What stays the same, in words. */
  fixed: string;
  run: (size: number, folder: string, net: number) => Promise<Measured>;
}

/** Ms of a quiet window. */
export const WINDOW = 4000;
const LONG = 60000;

/** The sum of a list. */
export function sum(list: readonly number[]): number {
  let t = 0;
  for (const x of list) t += x;
  return t;
}

/** Adds the rates of one role, for one of its kind. */
function addRates(out: Measured, name: string, list: Rates[] | undefined, count: number): void {
  if (!list || count === 0) return;
  function mean(of: (r: Rates) => number): number {
    return sum(list!.map(of)) / count;
  }
  out[`${name} cpu ms/s`] = mean(cpuOf);
  out[`${name} in B/s`] = mean(inOf);
  out[`${name} out B/s`] = mean(outOf);
  out[`${name} messages/s`] = mean(messagesOf);
  if (name === 'controller') out[`${name} disk B/s`] = mean(diskOf);
}

function cpuOf(r: Rates): number {
  return r.cpuMs;
}

function inOf(r: Rates): number {
  return r.bytesIn;
}

function outOf(r: Rates): number {
  return r.bytesOut;
}

function messagesOf(r: Rates): number {
  return r.messages;
}

function diskOf(r: Rates): number {
  return r.diskBytes;
}

/** Rates over a quiet window, and memory after it. */
export async function quiet(h: Hollow, ms = WINDOW): Promise<Measured> {
  const out: Measured = {};
  const { sizes } = h;
  const r = await h.sample(ms);
  addRates(out, 'controller', r.controller, sizes.controllers);
  addRates(out, 'node', r.nodes, sizes.nodes);
  addRates(out, 'indexer', r.indexer, sizes.indexers);
  await addMemory(h, out);
  return out;
}

async function addMemory(h: Hollow, out: Measured): Promise<void> {
  for (const [name, role, count] of [
    ['controller', 'controller', h.sizes.controllers],
    ['node', 'nodes', h.sizes.nodes],
    ['indexer', 'indexer', h.sizes.indexers],
  ] as const) {
    if (count === 0) continue;
    const f = await h.read(role, true);
    out[`${name} heap MB`] = sum(f.map(heapOf)) / (name === 'node' ? f.length : count);
    if (name === 'node') out['nodes in a process'] = count / f.length;
    out[`${name === 'node' ? 'nodes process' : name} rss MB`] = sum(f.map(rssOf)) / f.length;
  }
}

function heapOf(f: { heapMb: number }): number {
  return f.heapMb;
}

function rssOf(f: { rssMb: number }): number {
  return f.rssMb;
}

/** What one of `times` changes cost beyond the quiet rates. */
export async function costOf(
  h: Hollow,
  idle: Measured,
  times: number,
  change: () => Promise<void>,
): Promise<Measured> {
  const before = { c: await h.read('controller'), n: await h.read('nodes') };
  const began = h.ports.clock.now();
  await change();
  await h.ports.clock.sleep(h.sizes.changeBoundMs * 0.4);
  const s = (h.ports.clock.now() - began) / 1000;
  const after = { c: await h.read('controller'), n: await h.read('nodes') };
  const out: Measured = {};
  function grew(list: 'c' | 'n', of: 'cpuMs' | 'bytesIn' | 'bytesOut' | 'diskBytes'): number {
    let t = 0;
    for (const [i, f] of after[list].entries()) t += f[of] - before[list][i][of];
    return t;
  }
  const c = h.sizes.controllers;
  out['change: controller cpu ms'] =
    (grew('c', 'cpuMs') / c - idle['controller cpu ms/s'] * s) / times;
  out['change: controller B'] =
    ((grew('c', 'bytesIn') + grew('c', 'bytesOut')) / c -
      (idle['controller in B/s'] + idle['controller out B/s']) * s) /
    times;
  out['change: controller disk B'] = grew('c', 'diskBytes') / c / times;
  if (h.sizes.nodes > 0) {
    out['change: node cpu ms'] =
      (grew('n', 'cpuMs') / h.sizes.nodes - idle['node cpu ms/s'] * s) / times;
    out['change: node B'] =
      ((grew('n', 'bytesIn') + grew('n', 'bytesOut')) / h.sizes.nodes -
        (idle['node in B/s'] + idle['node out B/s']) * s) /
      times;
  }
  return out;
}

/** Adds how long changes took. */
export function addSeen(out: Measured, seen: ChangeSeen[]): void {
  const ms = seen.map(msOf).sort(byNumber);
  out['change: median ms'] = ms[ms.length >> 1];
  out['change: most ms'] = ms[ms.length - 1];
  out['changes not in effect'] = seen.filter(late).length;
}

function msOf(s: ChangeSeen): number {
  return s.ms;
}

function late(s: ChangeSeen): boolean {
  return !s.inEffect;
}

/** Orders numbers. */
export function byNumber(a: number, b: number): number {
  return a - b;
}

/** Runs one fleet, and ends it whatever comes of it. */
export async function withFleet(
  sizes: Partial<HollowSizes>,
  folder: string,
  net: number,
  run: (h: Hollow) => Promise<Measured>,
): Promise<Measured> {
  const h = await startHollow({ ...EMPTY, ...sizes }, folder, net);
  try {
    const began = h.ports.clock.now();
    const ok = await settled(h, LONG);
    const startMs = h.ports.clock.now() - began;
    return { ...(await run(h)), 'start ms': startMs, settled: ok ? 1 : 0 };
  } finally {
    await h.stop();
  }
}
