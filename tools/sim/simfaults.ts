import { RandomSource } from '../../src/shared/ports/random';
import { EngineWays } from '../standins/engineways';
import { SimFleet } from './simfleet';
import { Proc } from './process';

/** One fault of a schedule. */
export interface Fault {
  at: number;
  kind: string;
  who: string;
  other: string;
  ms: number;
}

/** The faults that the simulator draws; `engine-turns` (an engine turns all away) and `feed-short` (a feed keeps few batches) come in given schedules only. */
export const SIM_FAULTS = [
  'kill',
  'power',
  'kill-edge',
  'kill-core',
  'kill-ours',
  'power-core',
  'freeze',
  'cut',
  'cut-one-way',
  'cut-off',
  'split-core',
  'core-from-edge',
  'slow-link',
  'disk-slow',
  'disk-full',
  'disk-stall',
  'wipe',
  'leave',
  'engine-crash',
  'engine-vanish',
  'engine-freeze',
  'store-empty',
  'index-all',
  'release',
  'suspend',
  'clock-jump',
  'edge-from-core',
  'zone',
  'seeds',
  'rolling',
  'release-all',
  'slow-engines',
  'engine-skips',
  'engine-repeats',
  'engine-splices',
  'engine-foreign',
  'feed-repeats',
  'feed-back',
  'feed-epoch',
] as const;

/** Draws a schedule of faults. */
export function drawFaults(
  f: SimFleet,
  dice: RandomSource,
  from: number,
  to: number,
  count: number,
  wipes: boolean,
  only: readonly string[] = SIM_FAULTS,
): Fault[] {
  const out: Fault[] = [];
  const ours = [...f.core, ...f.edge, ...f.core.map(indexOf)];
  function any<T>(list: readonly T[]): T {
    return list[Math.floor(dice.next() * list.length)];
  }
  for (let i = 0; i < count; i++) {
    let kind: string = any(only);
    if (kind === 'wipe' && (!wipes || out.some(isWipe))) kind = 'power';
    const engine = any(f.d.engines).id;
    let who = any(ours);
    let other = any([...ours, engine]);
    if (kind.startsWith('disk') || kind === 'wipe') who = any(f.core);
    if (
      kind.startsWith('engine') ||
      kind.startsWith('feed') ||
      kind === 'leave' ||
      kind === 'release'
    )
      who = engine;
    if (kind === 'slow-link') other = engine;
    if (other === who) other = 'platform';
    out.push({
      at: Math.round(from + dice.next() * (to - from)),
      kind,
      who,
      other,
      ms: Math.round(300 + dice.next() * dice.next() * 7000),
    });
  }
  function isWipe(x: Fault): boolean {
    return x.kind === 'wipe';
  }
  function byAt(a: Fault, b: Fault): number {
    return a.at - b.at;
  }
  return out.sort(byAt);
}

function wireOf(x: { wire: string }): string {
  return x.wire;
}

function indexOf(core: string): string {
  return `index-${core}`;
}

/** Brings a fault about in the simulated fleet, and ends it after its time. */
export function injectSim(f: SimFleet, x: Fault): void {
  const { w } = f;
  function proc(name: string): Proc {
    function named(p: Proc): boolean {
      return p.name === name;
    }
    return w.procs().find(named)!;
  }
  w.trace(`fault ${x.kind} ${x.who} ${x.other} ${x.ms}`);
  const indexes = f.core.map(indexOf);

  function note(names: readonly string[]): void {
    for (const n of names) proc(n).disturbedAt = w.now() + x.ms;
  }

  function down(names: readonly string[], power: boolean, wipe = false): void {
    note(names);
    for (const n of names) {
      const p = proc(n);
      if (!p.alive) continue;
      w.kill(p, power);
      if (wipe) p.files.clear();
      function back(): void {
        if (p.alive || f.lost.has(n)) return;
        w.revive(p);
        f.starts.get(n)?.();
      }
      w.after(x.ms + w.dice.next() * 200, back);
    }
  }

  function cutAll(a: readonly string[], b: readonly string[], oneWay = false): void {
    note([...a, ...b]);
    const pairs: [string, string][] = [];
    for (const m of a) for (const n of b) if (m !== n) pairs.push([proc(m).ip, proc(n).ip]);
    for (const [m, n] of pairs) {
      w.cut(m, n, true);
      if (!oneWay) w.cut(n, m, true);
    }
    function heal(): void {
      for (const [m, n] of pairs) {
        w.cut(m, n, false);
        w.cut(n, m, false);
      }
    }
    w.after(x.ms, heal);
  }

  function everyone(): string[] {
    const out: string[] = [];
    for (const p of w.procs())
      if (p.name !== x.who && p.name !== 'ops' && p.name !== 'callers') out.push(p.name);
    return out;
  }

  function withIndex(core: string): string[] {
    return [core, indexOf(core)];
  }

  function diskFault(set: (p: Proc, on: boolean) => void): void {
    note([x.who]);
    const p = proc(x.who);
    set(p, true);
    function over(): void {
      set(p, false);
    }
    w.after(x.ms, over);
  }

  function mark(leaving: boolean, id = x.who): void {
    for (const e of f.engines) if (e.id === id) e.leaving = leaving;
  }

  function release(id: string): void {
    mark(true, id);
    function swap(): void {
      down([id], true);
      function listedAgain(): void {
        mark(false, id);
      }
      w.after(x.ms + 500, listedAgain);
    }
    w.after(4000, swap);
  }

  function inZone(zone: string): string[] {
    const out: string[] = [];
    for (const [i, c] of f.d.core.entries()) if (c.zone === zone) out.push(f.core[i], indexes[i]);
    for (const e of f.d.edge) if (e.zone === zone) out.push(e.name);
    for (const e of f.d.engines) if (e.zone === zone) out.push(e.id);
    return out;
  }

  /** Stops each of our processes with a warning, then kills it, one after the other. */
  async function roll(names: readonly string[]): Promise<void> {
    for (const n of names) {
      const p = proc(n);
      const { life } = p;
      if (!p.alive || p.frozen || f.lost.has(n)) continue;
      note([n]);
      void f.stops.get(n)?.();
      await f.ops.clock.sleep(Math.min(x.ms, 1500));
      if (!p.alive || p.life !== life) continue;
      w.kill(p, false);
      await f.ops.clock.sleep(200);
      if (p.alive || f.lost.has(n)) continue;
      w.revive(p);
      f.starts.get(n)?.();
      await f.ops.clock.sleep(500);
    }
  }

  function ways(set: Partial<EngineWays>, after: Partial<EngineWays>): void {
    const one = f.standins.get(x.who);
    if (!one) return;
    Object.assign(one.ways, set);
    function over(): void {
      Object.assign(one!.ways, after);
    }
    w.after(x.ms, over);
  }

  switch (x.kind) {
    case 'kill':
      return down([x.who], false);
    case 'power':
      return down([x.who], true);
    case 'kill-edge':
      return down(f.edge, false);
    case 'kill-core':
      return down([...f.core, ...indexes], false);
    case 'power-core':
      return down([...f.core, ...indexes], true);
    case 'kill-ours':
      return down([...f.core, ...f.edge, ...indexes], w.dice.next() < 0.5);
    case 'wipe':
      return down([x.who], true, true);
    case 'index-all':
      return down(indexes, false);
    case 'engine-crash':
    case 'store-empty':
      return down([x.kind === 'store-empty' ? 'store-1' : x.who], false);
    case 'engine-vanish':
      return down([x.who], true);
    case 'freeze':
    case 'engine-freeze':
    case 'suspend': {
      note([x.who]);
      const p = proc(x.who);
      if (!p.alive || p.frozen) return;
      w.freeze(p, x.kind === 'suspend');
      function thaw(): void {
        if (p.frozen) w.wake(p);
      }
      w.after(x.ms, thaw);
      return;
    }
    case 'clock-jump': {
      proc(x.who).wallOff += (x.ms - 2000) * 1000;
      return;
    }
    case 'engine-turns': {
      return ways({ queue: -1 }, { queue: f.d.engines[0].queue });
    }
    case 'cut':
      return cutAll([x.who], [x.other]);
    case 'cut-one-way':
      return cutAll([x.who], [x.other], true);
    case 'cut-off':
      return cutAll([x.who], everyone());
    case 'split-core':
      return cutAll(withIndex(f.core[0]), [...withIndex(f.core[1]), ...withIndex(f.core[2])]);
    case 'core-from-edge':
      return cutAll([...f.core, ...indexes], f.edge);
    case 'edge-from-core':
      return cutAll([f.edge.includes(x.who) ? x.who : f.edge[0]], [...f.core, ...indexes]);
    case 'slow-link': {
      const [a, b] = [proc(x.who).ip, proc(x.other).ip];
      w.slow(a, b, 60);
      w.slow(b, a, 60);
      return;
    }
    case 'disk-slow':
      return diskFault(slowDisk);
    case 'disk-full':
      return diskFault(fullDisk);
    case 'disk-stall':
      return diskFault(w.stall);
    case 'leave': {
      mark(true);
      function returned(): void {
        mark(false);
      }
      w.after(x.ms + 6000, returned);
      return;
    }
    case 'release':
      return release(x.who);
    case 'release-all': {
      for (const i of f.d.engines.keys()) w.after(i * 1500, one);
      function one(): void {
        release(f.d.engines[next++].id);
      }
      let next = 0;
      return;
    }
    case 'zone':
      return down(inZone(f.d.core[f.core.indexOf(x.who)]?.zone ?? 'zone-b'), true);
    case 'rolling': {
      void roll([...f.edge, ...f.core, ...indexes]);
      return;
    }
    case 'seeds': {
      const { seeds, d } = f;
      seeds.splice(0, seeds.length, ...d.edge.slice(1).map(wireOf));
      return down([f.core[0], ...f.edge.slice(0, 1)], false);
    }
    case 'engine-skips':
    case 'engine-repeats':
    case 'engine-splices':
    case 'engine-foreign':
      return ways({ odd: x.kind.slice(7) as EngineWays['odd'] }, { odd: undefined });
    case 'feed-repeats':
    case 'feed-back':
    case 'feed-epoch':
      return ways({ feed: x.kind.slice(5) as EngineWays['feed'] }, { feed: undefined });
    case 'feed-short':
      return ways({ keepBatches: 4 }, { keepBatches: f.d.engines[0].keepBatches });
    case 'slow-engines': {
      for (const a of f.d.engines)
        for (const b of f.d.engines) if (a !== b) w.slow(proc(a.id).ip, proc(b.id).ip, 40);
      return;
    }
  }
}

function slowDisk(p: Proc, on: boolean): void {
  p.disk.slow = on ? 80 : 1;
}

function fullDisk(p: Proc, on: boolean): void {
  p.disk.full = on;
}

/** Ends every fault that still lasts. */
export function healAll(f: SimFleet): void {
  const { w } = f;
  w.trace('all faults end');
  w.healLinks();
  for (const e of f.engines) e.leaving = false;
  for (const p of w.procs()) {
    p.disk.slow = 1;
    p.disk.full = false;
    w.stall(p, false);
    if (p.frozen) w.wake(p);
    if (p.alive || f.lost.has(p.name)) continue;
    w.revive(p);
    f.starts.get(p.name)?.();
  }
}
