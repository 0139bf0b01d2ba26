import { Hollow, HollowSizes } from './hollow-fleet';
import { askAt, queryOf, voteOf } from './load';
import {
  addSeen,
  Axis,
  byNumber,
  costOf,
  Measured,
  quiet,
  sum,
  WINDOW,
  withFleet,
} from './measure';
import {
  applyIntents,
  changeList,
  changeRules,
  ChangeSeen,
  makeIntents,
  makeKeys,
} from './operators';
import { PLATFORM_AXES } from './platform-axes';

/** Quiet rates, and what changes of one rule cost, for a fleet with some tenants, keys and rules. */
async function control(
  h: Hollow,
  tenants: number,
  keys: number,
  rules: number,
  perS = 2,
  times = 8,
): Promise<Measured> {
  const out: Measured = {};
  const doc = makeIntents(tenants, rules);
  const first = await applyIntents(h, doc, 0);
  out['first file ms'] = first.ms;
  const made = await makeKeys(h, 0, keys);
  out['keys failed'] = made.failed;
  if (keys > 0) out['a key ms'] = made.ms / keys;
  await h.ports.clock.sleep(h.sizes.changeBoundMs * 0.5);
  Object.assign(out, await quiet(h, Math.max(WINDOW, h.sizes.changeBoundMs * 0.4)));
  let seen: ChangeSeen[] = [];
  async function change(): Promise<void> {
    seen = await changeRules(h, doc, times, perS);
  }
  Object.assign(out, await costOf(h, out, times, change));
  addSeen(out, seen);
  return out;
}

/** Makes an axis of the control plane; `sizesOf` says what its size means. */
function controlAxis(
  name: string,
  of: string,
  sizes: number[],
  fixed: string,
  sizesOf: (n: number) => {
    fleet: Partial<HollowSizes>;
    tenants: number;
    keys: number;
    rules: number;
    perS?: number;
    times?: number;
  },
): Axis {
  async function run(size: number, folder: string, net: number): Promise<Measured> {
    const s = sizesOf(size);
    function measure(h: Hollow): Promise<Measured> {
      return control(h, s.tenants, s.keys, s.rules, s.perS, s.times);
    }
    return withFleet(s.fleet, folder, net, measure);
  }
  return { name, of, sizes, fixed, run };
}

function nodesOf(
  changeBoundMs: number,
  controllers: number,
): (n: number) => {
  fleet: Partial<HollowSizes>;
  tenants: number;
  keys: number;
  rules: number;
  times: number;
} {
  function sizes(n: number): ReturnType<ReturnType<typeof nodesOf>> {
    return {
      fleet: { controllers, nodes: n, listed: 13, changeBoundMs },
      tenants: 8,
      keys: 8,
      rules: 24,
      times: 5,
    };
  }
  return sizes;
}

function tenantsOf(n: number): {
  fleet: Partial<HollowSizes>;
  tenants: number;
  keys: number;
  rules: number;
} {
  return { fleet: { nodes: 12, listed: 13 }, tenants: n, keys: n, rules: 24 };
}

function rulesOf(n: number): {
  fleet: Partial<HollowSizes>;
  tenants: number;
  keys: number;
  rules: number;
} {
  return { fleet: { nodes: 12, listed: 13 }, tenants: 8, keys: 8, rules: n };
}

function tenants17Of(n: number): ReturnType<typeof tenantsOf> {
  return {
    fleet: { controllers: 5, nodes: 6, listed: 13, changeBoundMs: 17000 },
    tenants: n,
    keys: n,
    rules: 24,
  };
}

function coreOf(changeBoundMs: number): (n: number) => ReturnType<typeof tenantsOf> {
  function sizes(n: number): ReturnType<typeof tenantsOf> {
    return {
      fleet: { controllers: n, nodes: 6, listed: 13, changeBoundMs },
      tenants: 8,
      keys: 8,
      rules: 24,
    };
  }
  return sizes;
}

function boundOf(s: number): {
  fleet: Partial<HollowSizes>;
  tenants: number;
  keys: number;
  rules: number;
} {
  return {
    fleet: { nodes: 50, listed: 13, changeBoundMs: s * 1000 },
    tenants: 8,
    keys: 8,
    rules: 24,
  };
}

function perSOf(n: number): {
  fleet: Partial<HollowSizes>;
  tenants: number;
  keys: number;
  rules: number;
  perS: number;
  times: number;
} {
  return {
    fleet: { nodes: 24, listed: 13 },
    tenants: 8,
    keys: 8,
    rules: 240,
    perS: n,
    times: Math.max(6, n * 4),
  };
}

async function runList(size: number, folder: string, net: number): Promise<Measured> {
  async function measure(h: Hollow): Promise<Measured> {
    await h.ports.clock.sleep(1000);
    const out = await quiet(h);
    const took: number[] = [];
    async function change(): Promise<void> {
      for (let i = 0; i < 6; i++) took.push(await changeList(h, 10000));
    }
    Object.assign(out, await costOf(h, out, 6, change));
    out['change: median ms'] = took.sort(byNumber)[3];
    return out;
  }
  return withFleet({ nodes: 12, listed: size }, folder, net, measure);
}

async function runIndex(
  sizes: Partial<HollowSizes>,
  perS: number,
  folder: string,
  net: number,
): Promise<Measured> {
  async function measure(h: Hollow): Promise<Measured> {
    await h.ports.clock.sleep(2000);
    const out = await quiet(h);
    const parts = sum((await h.read('indexer')).map(partsOf)) / h.sizes.indexers;
    out.parts = parts;
    if (perS === 0) return out;
    const before = await h.read('indexer');
    const seen = await askAt(h, h.indexers.map(wireOf), perS, WINDOW, false, queryOf(h));
    const after = await h.read('indexer');
    const s = (after[0].atMs - before[0].atMs) / 1000;
    out['queries cpu ms/s'] = (after[0].cpuMs - before[0].cpuMs) / s - out['indexer cpu ms/s'];
    out['query: cpu ms'] =
      (out['queries cpu ms/s'] * s) / (after[0].more.queries - before[0].more.queries);
    out['query: B'] =
      (after[0].bytesIn +
        after[0].bytesOut -
        before[0].bytesIn -
        before[0].bytesOut -
        (out['indexer in B/s'] + out['indexer out B/s']) * s) /
      (after[0].more.queries - before[0].more.queries);
    out['query: median ms'] = seen.msMedian;
    out['query: most ms'] = seen.msMost;
    out['queries failed'] = seen.failed;
    return out;
  }
  return withFleet({ controllers: 1, indexers: 1, ...sizes }, folder, net, measure);
}

function partsOf(f: { more: Record<string, number> }): number {
  return f.more.parts;
}

function wireOf(c: { wire: string }): string {
  return c.wire;
}

function runBlocks(size: number, folder: string, net: number): Promise<Measured> {
  return runIndex({ engines: 4, holds: size / 4, eventsPerS: 0 }, 200, folder, net);
}

function runEvents(size: number, folder: string, net: number): Promise<Measured> {
  return runIndex({ engines: 12, holds: 4000, eventsPerS: size }, 0, folder, net);
}

function runFeeds(size: number, folder: string, net: number): Promise<Measured> {
  return runIndex({ engines: size, holds: 200, eventsPerS: 1000 }, 0, folder, net);
}

function runQueries(size: number, folder: string, net: number): Promise<Measured> {
  return runIndex({ engines: 4, holds: 20000, eventsPerS: 0 }, size, folder, net);
}

async function runVotes(size: number, folder: string, net: number): Promise<Measured> {
  async function measure(h: Hollow): Promise<Measured> {
    const out = await quiet(h);
    const before = await h.read('controller');
    const seen = await askAt(
      h,
      h.controllers.map(wireOf),
      size * 2,
      WINDOW,
      true,
      voteOf(`${size}`),
    );
    const after = await h.read('controller');
    const s = (after[0].atMs - before[0].atMs) / 1000;
    function per(of: 'cpuMs' | 'bytesIn' | 'bytesOut' | 'diskBytes' | 'diskSyncs'): number {
      let t = 0;
      for (const [i, f] of after.entries()) t += f[of] - before[i][of];
      return t / after.length;
    }
    out['votes cpu ms/s'] = per('cpuMs') / s - out['controller cpu ms/s'];
    out['vote: cpu ms'] = (out['votes cpu ms/s'] * s) / (seen.asked / 2);
    out['vote: B'] =
      (per('bytesIn') +
        per('bytesOut') -
        (out['controller in B/s'] + out['controller out B/s']) * s) /
      (seen.asked / 2);
    out['vote: disk B'] = per('diskBytes') / (seen.asked / 2);
    out['syncs/s'] = per('diskSyncs') / s;
    out['vote: median ms'] = seen.msMedian;
    out['votes failed'] = seen.failed;
    return out;
  }
  return withFleet({ controllers: 3 }, folder, net, measure);
}

/** All axes. */
export const AXES: Axis[] = [
  controlAxis(
    'nodes',
    'nodes',
    [12, 25, 50, 100, 200, 390],
    '3 controllers, bound 2 s, 13 engines listed, 8 tenants, 24 rules',
    nodesOf(2000, 3),
  ),
  controlAxis(
    'nodes-17s',
    'nodes',
    [50, 100, 200, 300, 390],
    '5 controllers, bound 17 s, 13 engines listed, 8 tenants, 24 rules',
    nodesOf(17000, 5),
  ),
  controlAxis(
    'bound',
    'seconds of the bound',
    [2, 4, 8, 17],
    '3 controllers, 50 nodes, 13 engines listed, 8 tenants, 24 rules',
    boundOf,
  ),
  controlAxis(
    'tenants',
    'tenants',
    [8, 79, 300, 1000],
    '3 controllers, 12 nodes, bound 2 s, 24 rules, one key each',
    tenantsOf,
  ),
  controlAxis(
    'tenants-17s',
    'tenants',
    [79, 1000, 4000, 12000],
    '5 controllers, 6 nodes each in a process of its own, bound 17 s, 24 rules, one key each',
    tenants17Of,
  ),
  controlAxis(
    'core',
    'controllers',
    [1, 3, 5, 7],
    '6 nodes each in a process of its own, bound 2 s, 8 tenants, 24 rules',
    coreOf(2000),
  ),
  controlAxis(
    'core-17s',
    'controllers',
    [1, 3, 5, 7],
    '6 nodes each in a process of its own, bound 17 s, 8 tenants, 24 rules',
    coreOf(17000),
  ),
  controlAxis(
    'rules',
    'rules',
    [24, 240, 1000, 4000],
    '3 controllers, 12 nodes, bound 2 s, 8 tenants',
    rulesOf,
  ),
  controlAxis(
    'changes',
    'changes a second',
    [0.5, 1, 2, 4],
    '3 controllers, 24 nodes, bound 2 s, 8 tenants, 240 rules',
    perSOf,
  ),
  {
    name: 'list',
    of: 'engines listed',
    sizes: [13, 42, 160, 320, 640],
    fixed: '3 controllers, 12 nodes, bound 2 s',
    run: runList,
  },
  {
    name: 'blocks',
    of: 'kept blocks',
    sizes: [100000, 250000, 500000, 1000000, 2000000],
    fixed: '1 indexer, 4 sources, no events, 200 queries a second of 20 parts',
    run: runBlocks,
  },
  {
    name: 'events',
    of: 'events a second',
    sizes: [1000, 2000, 4000, 8000, 16000],
    fixed: '1 indexer, 12 sources of 4,000 parts',
    run: runEvents,
  },
  {
    name: 'feeds',
    of: 'sources',
    sizes: [13, 42, 160, 320, 640],
    fixed: '1 indexer, 1,000 events a second of all together',
    run: runFeeds,
  },
  {
    name: 'queries',
    of: 'queries a second',
    sizes: [100, 200, 400, 800, 1600],
    fixed: '1 indexer, 4 sources, 80,000 parts, prompts of 20 parts',
    run: runQueries,
  },
  {
    name: 'votes',
    of: 'unsafe requests a second',
    sizes: [50, 100, 200, 400, 800],
    fixed: '3 controllers, a vote and a note of the run each',
    run: runVotes,
  },
  ...PLATFORM_AXES,
];
