/**
 * Starts a hollow fleet.
 */

import { ChildProcess, fork } from 'node:child_process';
import { mkdirSync, rmSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { Ports } from '../../src/shared/ports/ports';
import { makeSystemClock } from '../../src/shared/system/system-clock';
import { makeSystemRandom } from '../../src/shared/system/system-random';
import { makeFileDisk } from '../../src/shared/system/file-disk';
import { makeLogger } from '../../src/shared/system/logger';
import { makeSystemNetwork } from '../../src/shared/system/tcp-network';
import { readSettings, Settings } from '../../src/shared/settings/settings';
import { Engine } from '../../src/shared/state/engines';
import { startPlatform } from '../standins/platform';
import { Figures, Rates, ratesOf } from './meter';
import { startList } from './platform';
import { RoleAnswer, RoleWays } from './role-messages';
import { HollowSizes, HollowProc, Hollow, MODEL, SALT } from './hollow-fleet';

/** Processes that nodes are shared out to, at the most. */
const NODE_PROCS = 6;

const SOURCE_PROCS = 3;

/** Settings of a fleet whose edges speak the platform's manner. */
const PLATFORM: Partial<Settings> = {
  dialect: 'platform',
  strict: false,
  bootstrap: true,
  foundBy: 'majority',
};

function chunks<T>(list: readonly T[], most: number): T[][] {
  const out: T[][] = [];
  const n = Math.min(most, list.length);
  for (let i = 0; i < n; i++) out.push([]);
  for (const [i, x] of list.entries()) out[i % n].push(x);
  return out;
}

function spawnRole(w: RoleWays, holds: number): Promise<HollowProc> {
  const child = fork(join(__dirname, 'role.js'), [JSON.stringify(w)], {
    execArgv: ['--expose-gc'],
    serialization: 'advanced',
  });
  const waits = new Map<number, (f: Figures) => void>();
  let last = 0;
  function ask(gc: boolean): Promise<Figures> {
    const n = ++last;
    function wait(done: (f: Figures) => void): void {
      waits.set(n, done);
      child.send({ n, gc });
    }
    return new Promise(wait);
  }
  function wait(up: (p: HollowProc) => void): void {
    function said(a: RoleAnswer): void {
      if (a.n === 0) return up({ role: w.role, holds, child, ask });
      waits.get(a.n)?.(a.figures);
      waits.delete(a.n);
    }
    child.on('message', said);
  }
  return new Promise(wait);
}

/** Starts a hollow fleet on loopback addresses `127.NET.*`; its disks are under `folder`, which is emptied. */
export async function startHollow(sizes: HollowSizes, folder: string, net = 6): Promise<Hollow> {
  rmSync(folder, { recursive: true, force: true });
  mkdirSync(folder, { recursive: true });
  const ports: Ports = {
    clock: makeSystemClock(),
    random: makeSystemRandom(),
    disk: makeFileDisk(folder),
    network: makeSystemNetwork(4000),
    logger: makeLogger('capacity', 'runner'),
  };
  const controllers: Hollow['controllers'] = [];
  const indexers: Hollow['indexers'] = [];
  const routerHttp: string[] = [];
  const engines: Engine[] = [];
  const procs: HollowProc[] = [];
  const platform = `127.${net}.0.1:7400`;
  for (let i = 0; i < sizes.controllers; i++)
    controllers.push({ wire: `127.${net}.1.${i + 1}:7401`, http: `127.${net}.1.${i + 1}:7402` });
  for (let i = 0; i < sizes.indexers; i++)
    indexers.push({ wire: `127.${net}.1.${i + 1}:7403`, http: `127.${net}.1.${i + 1}:7404` });
  for (let i = 0; i < sizes.engines + sizes.listed; i++) {
    engines.push({
      id: `engine-${i + 1}`,
      at: `127.${net}.${100 + Math.floor(i / 200)}.${(i % 200) + 1}:7405`,
      zone: `zone-${i % 7}`,
      model: MODEL,
      weights: 'w1',
      leaving: false,
    });
  }
  const seeds = controllers.map(wireOf);
  function wireOf(c: { wire: string }): string {
    return c.wire;
  }
  function settingsOf(
    name: string,
    wire: string,
    http: string,
    more: Partial<Settings> = {},
  ): Settings {
    const flags = {
      name,
      wire,
      http,
      seeds,
      zone: 'zone-1',
      changeBoundMs: sizes.changeBoundMs,
      ...(sizes.platform ? PLATFORM : {}),
      ...more,
    };
    return readSettings(undefined, flags, ['name', 'wire', 'http', 'seeds']).orDefault(
      undefined as never,
    );
  }
  const listening = await (sizes.platform ? startList : startPlatform)(ports, platform, engines);
  const ups: Promise<HollowProc>[] = [];
  for (const [i, c] of controllers.entries()) {
    ups.push(
      spawnRole(
        {
          role: 'controller',
          settings: settingsOf(`core-${i + 1}`, c.wire, c.http, {
            platform,
            ...(sizes.platform
              ? { quorumMember: true, tolerated: (sizes.controllers - 1) / 2 }
              : {}),
            data: join(resolve(folder), `core-${i + 1}`),
          }),
        },
        1,
      ),
    );
  }
  for (const [i, c] of indexers.entries())
    ups.push(
      spawnRole(
        {
          role: 'indexer',
          settings: settingsOf(`index-${i + 1}`, c.wire, c.http, { indexMostParts: 8000000 }),
        },
        1,
      ),
    );
  const alike: Settings[] = [];
  for (let i = 0; i < sizes.nodes; i++)
    alike.push(
      settingsOf(
        `edge-${i + 1}`,
        `127.${net}.${10 + Math.floor(i / 200)}.${(i % 200) + 1}:7406`,
        `127.${net}.${10 + Math.floor(i / 200)}.${(i % 200) + 1}:7407`,
      ),
    );
  for (const list of chunks(alike, NODE_PROCS))
    ups.push(spawnRole({ role: 'nodes', settings: list }, list.length));
  const whole: Settings[] = [];
  for (let i = 0; i < sizes.routers; i++) {
    const ip = `127.${net}.${20 + Math.floor(i / 200)}.${(i % 200) + 1}`;
    whole.push(settingsOf(`door-${i + 1}`, `${ip}:7406`, `${ip}:7407`));
    routerHttp.push(`${ip}:7407`);
  }
  for (const list of chunks(whole, NODE_PROCS))
    ups.push(spawnRole({ role: 'routers', settings: list }, list.length));
  const hollow = engines.slice(0, sizes.engines);
  for (const list of chunks(hollow, SOURCE_PROCS)) {
    function sourceOf(e: Engine): {
      id: string;
      at: string;
      model: string;
      salt: string;
      holds: number;
      eventsPerS: number;
    } {
      return {
        id: e.id,
        at: e.at,
        model: MODEL,
        salt: SALT,
        holds: sizes.holds,
        eventsPerS: sizes.eventsPerS / sizes.engines,
      };
    }
    ups.push(
      spawnRole(
        {
          role: 'sources',
          dialect: sizes.platform ? 'platform' : 'own',
          sources: list.map(sourceOf),
        },
        list.length,
      ),
    );
  }
  procs.push(...(await Promise.all(ups)));

  async function sample(ms: number): Promise<Record<string, Rates[]>> {
    const before = await Promise.all(procs.map(quick));
    await ports.clock.sleep(ms);
    const after = await Promise.all(procs.map(quick));
    const out: Record<string, Rates[]> = {};
    for (const [i, p] of procs.entries())
      out[p.role] = [...(out[p.role] ?? []), ratesOf(before[i], after[i])];
    return out;
  }

  function quick(p: HollowProc): Promise<Figures> {
    return p.ask(false);
  }

  function read(role: string, gc = false): Promise<Figures[]> {
    const out: Promise<Figures>[] = [];
    for (const p of procs) if (p.role === role) out.push(p.ask(gc));
    return Promise.all(out);
  }

  async function until(within: number, test: () => Promise<boolean>): Promise<boolean> {
    const end = ports.clock.now() + within;
    while (ports.clock.now() < end) {
      if (await test()) return true;
      await ports.clock.sleep(100);
    }
    return false;
  }

  async function stop(): Promise<void> {
    const over: Promise<void>[] = [];
    for (const p of procs) over.push(ended(p.child));
    for (const p of procs) p.child.kill('SIGKILL');
    await Promise.all(over);
    await listening.map(closeOf).orDefault(Promise.resolve());
    rmSync(folder, { recursive: true, force: true });
  }

  function closeOf(l: { close: () => Promise<void> }): Promise<void> {
    return l.close();
  }

  function ended(c: ChildProcess): Promise<void> {
    function wait(done: () => void): void {
      if (c.exitCode !== null || c.signalCode !== null) done();
      else c.once('exit', done);
    }
    return new Promise(wait);
  }

  return {
    sizes,
    ports,
    procs,
    controllers,
    indexers,
    routerHttp,
    engines,
    sample,
    read,
    until,
    stop,
  };
}

/** Waits until all nodes and routers hold leases, and indexers listen to all engines; says whether they did. */
export async function settled(h: Hollow, within: number): Promise<boolean> {
  const { sizes } = h;
  async function test(): Promise<boolean> {
    for (const c of await h.read('controller'))
      if (c.more.majority !== 1 || c.more.members < sizes.nodes + sizes.routers + sizes.indexers)
        return false;
    for (const role of sizes.platform ? ['nodes'] : ['nodes', 'routers']) {
      let live = 0;
      for (const f of await h.read(role)) live += f.more.live;
      if (live < (role === 'nodes' ? sizes.nodes : sizes.routers)) return false;
    }
    for (const f of await h.read('indexer'))
      if (
        f.more.open !== 1 ||
        f.more.listeners < sizes.engines ||
        f.more.batches <
          sizes.engines * (sizes.platform ? sizes.holds : Math.ceil(sizes.holds / 20))
      )
        return false;
    return true;
  }
  return h.until(within, test);
}
