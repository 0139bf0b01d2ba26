import { errorOrValue } from '../../src/shared/errors/errors';
import { Hollow, HollowSizes } from './hollow-fleet';
import { askAt, boardOf, placedOf, overlapOf } from './load';
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
import { ChangeSeen } from './operators';
import { keyOf, makeDoc, replaceDoc, updateRoutes } from './platform';
import { CHAIN, hollowHash } from './sources';

const CHANGES = 6;

/** What a change of one route costs controllers, nodes and whole routers, under a document of so many tenants and routes. */
async function changes(h: Hollow, tenants: number, routes: number): Promise<Measured> {
  const doc = makeDoc(tenants, routes);
  const first = await replaceDoc(h, doc);
  await h.ports.clock.sleep(h.sizes.changeBoundMs * 0.5);
  const out = await quiet(h, Math.max(WINDOW, h.sizes.changeBoundMs * 0.4));
  out['document B'] = JSON.stringify(doc).length;
  out['first document ms'] = first.status === 200 ? first.ms : NaN;
  const idle = await h.sample(WINDOW);
  const before = await h.read('routers', true);
  const began = h.ports.clock.now();
  let seen: ChangeSeen[] = [];
  async function change(): Promise<void> {
    seen = await updateRoutes(h, 1, routes, CHANGES, 1);
  }
  Object.assign(out, await costOf(h, out, CHANGES, change));
  addSeen(out, seen);
  const after = await h.read('routers', true);
  if (after.length === 0) return out;
  const s = (h.ports.clock.now() - began) / 1000;
  let cpu = 0;
  let bytes = 0;
  for (const [i, f] of after.entries()) {
    cpu += f.cpuMs - before[i].cpuMs - idle.routers[i].cpuMs * s;
    bytes +=
      f.bytesIn +
      f.bytesOut -
      before[i].bytesIn -
      before[i].bytesOut -
      (idle.routers[i].bytesIn + idle.routers[i].bytesOut) * s;
  }
  out['router cpu ms/s'] = sum(idle.routers.map(cpuOf)) / h.sizes.routers;
  out['router B/s'] = sum(idle.routers.map(bytesOf)) / h.sizes.routers;
  out['router heap MB'] = sum(after.map(heapOf)) / after.length;
  out['router rss MB'] = sum(after.map(rssOf)) / after.length;
  out['change: router cpu ms'] = cpu / h.sizes.routers / CHANGES;
  out['change: router B'] = bytes / h.sizes.routers / CHANGES;
  return out;
}

function cpuOf(r: { cpuMs: number }): number {
  return r.cpuMs;
}

function bytesOf(r: { bytesIn: number; bytesOut: number }): number {
  return r.bytesIn + r.bytesOut;
}

function heapOf(f: { heapMb: number }): number {
  return f.heapMb;
}

function rssOf(f: { rssMb: number }): number {
  return f.rssMb;
}

function changeAxis(
  name: string,
  of: string,
  sizes: number[],
  fixed: string,
  sizesOf: (n: number) => { fleet: Partial<HollowSizes>; tenants: number; routes: number },
): Axis {
  function run(size: number, folder: string, net: number): Promise<Measured> {
    const s = sizesOf(size);
    function measure(h: Hollow): Promise<Measured> {
      return changes(h, s.tenants, s.routes);
    }
    return withFleet({ platform: true, listed: 13, ...s.fleet }, folder, net, measure);
  }
  return { name, of, sizes, fixed, run };
}

const FEW = { controllers: 3, routers: 3, changeBoundMs: 6000 };

function byTenants(n: number): { fleet: Partial<HollowSizes>; tenants: number; routes: number } {
  return { fleet: FEW, tenants: n, routes: 48 };
}

function byRoutes(n: number): { fleet: Partial<HollowSizes>; tenants: number; routes: number } {
  return { fleet: FEW, tenants: 79, routes: n };
}

function byNodes(n: number): { fleet: Partial<HollowSizes>; tenants: number; routes: number } {
  return { fleet: { controllers: 5, nodes: n, changeBoundMs: 17000 }, tenants: 12000, routes: 200 };
}

async function runIndexer(
  fleet: Partial<HollowSizes>,
  ask:
    | ((h: Hollow) => Promise<
        {
          name: string;
          n: number;
          perS: number;
          make: (n: number) => { type: string; body: unknown };
        }[]
      >)
    | undefined,
  folder: string,
  net: number,
): Promise<Measured> {
  async function measure(h: Hollow): Promise<Measured> {
    await h.ports.clock.sleep(2000);
    const out = await quiet(h);
    out.parts = (await h.read('indexer'))[0].more.parts;
    for (const a of ask ? await ask(h) : []) {
      const before = (await h.read('indexer'))[0];
      const seen = await askAt(
        h,
        new Array<string>(a.n).fill(h.indexers[0].wire),
        a.perS,
        WINDOW,
        false,
        a.make,
      );
      const after = (await h.read('indexer'))[0];
      const s = (after.atMs - before.atMs) / 1000;
      out[`${a.name}s cpu ms/s`] = (after.cpuMs - before.cpuMs) / s - out['indexer cpu ms/s'];
      out[`${a.name}: cpu ms`] = (out[`${a.name}s cpu ms/s`] * s) / seen.asked;
      out[`${a.name}: B`] =
        (after.bytesIn +
          after.bytesOut -
          before.bytesIn -
          before.bytesOut -
          (out['indexer in B/s'] + out['indexer out B/s']) * s) /
        seen.asked;
      out[`${a.name}: median ms`] = seen.msMedian;
      out[`${a.name}s failed`] = seen.failed;
    }
    return out;
  }
  return withFleet({ controllers: 1, indexers: 1, platform: true, ...fleet }, folder, net, measure);
}

function runFeeds(size: number, folder: string, net: number): Promise<Measured> {
  return runIndexer({ engines: 12, holds: 4000, eventsPerS: size }, undefined, folder, net);
}

function runSources(size: number, folder: string, net: number): Promise<Measured> {
  return runIndexer({ engines: size, holds: 200, eventsPerS: 1000 }, undefined, folder, net);
}

function runBlocks(size: number, folder: string, net: number): Promise<Measured> {
  return runIndexer({ engines: 4, holds: size / 4 }, undefined, folder, net);
}

function runOverlaps(size: number, folder: string, net: number): Promise<Measured> {
  function asks(h: Hollow): Promise<
    {
      name: string;
      n: number;
      perS: number;
      make: (n: number) => { type: string; body: unknown };
    }[]
  > {
    return Promise.resolve([
      { name: 'overlap', n: 4, perS: size, make: overlapOf(h) },
      { name: 'placed', n: 4, perS: size, make: placedOf(h) },
    ]);
  }
  return runIndexer({ engines: 4, holds: 20000 }, asks, folder, net);
}

/** The board: 16 routers' tells at 20 a second each, as at a bound of 2 s, with requests at every engine. */
function runBoard(size: number, folder: string, net: number): Promise<Measured> {
  function asks(): Promise<
    {
      name: string;
      n: number;
      perS: number;
      make: (n: number) => { type: string; body: unknown };
    }[]
  > {
    return Promise.resolve([{ name: 'tell', n: 16, perS: 320, make: boardOf(size, 40) }]);
  }
  return runIndexer({}, asks, folder, net);
}

/** One whole router under callers. */
async function runRequests(size: number, folder: string, net: number): Promise<Measured> {
  async function measure(h: Hollow): Promise<Measured> {
    const out: Measured = {};
    await replaceDoc(h, makeDoc(79, 48));
    async function ready(): Promise<boolean> {
      const [f, r] = errorOrValue(
        await h.ports.network.request({
          address: h.routerHttp[0],
          method: 'GET',
          path: '/api/readiness',
          timeoutMs: 1000,
        }),
      );
      return !f && r.status === 200;
    }
    out.ready = (await h.until(20000, ready)) ? 1 : 0;
    await h.ports.clock.sleep(1500);
    const idle = await h.sample(WINDOW);
    const before = { r: (await h.read('routers'))[0], i: (await h.read('indexer'))[0] };
    const seen = await callAt(h, size, WINDOW);
    const after = { r: (await h.read('routers', true))[0], i: (await h.read('indexer'))[0] };
    const s = (after.r.atMs - before.r.atMs) / 1000;
    out['router quiet cpu ms/s'] = idle.routers[0].cpuMs;
    out['router cpu ms/s'] = (after.r.cpuMs - before.r.cpuMs) / s;
    out['indexer cpu ms/s'] = (after.i.cpuMs - before.i.cpuMs) / s - idle.indexer[0].cpuMs;
    out['request: router cpu ms'] =
      (after.r.cpuMs - before.r.cpuMs - idle.routers[0].cpuMs * s) / seen.asked;
    out['request: indexer cpu ms'] =
      (after.i.cpuMs - before.i.cpuMs - idle.indexer[0].cpuMs * s) / seen.asked;
    out['request: indexer B'] =
      (after.i.bytesIn +
        after.i.bytesOut -
        before.i.bytesIn -
        before.i.bytesOut -
        (idle.indexer[0].bytesIn + idle.indexer[0].bytesOut) * s) /
      seen.asked;
    out['router heap MB'] = after.r.heapMb;
    out['router rss MB'] = after.r.rssMb;
    out['requests failed'] = seen.failed;
    out['request: median ms'] = seen.msMedian;
    return out;
  }
  return withFleet(
    {
      controllers: 1,
      indexers: 1,
      routers: 1,
      engines: 8,
      holds: 2000,
      eventsPerS: 200,
      platform: true,
    },
    folder,
    net,
    measure,
  );
}

/** Calls the first router at a pace; each request is of 20 parts, 17 of them shared. */
async function callAt(
  h: Hollow,
  perS: number,
  forMs: number,
): Promise<{ asked: number; failed: number; msMedian: number }> {
  const took: number[] = [];
  let failed = 0;
  let n = 0;
  async function one(i: number): Promise<void> {
    const parts: string[] = [];
    for (let k = 0; k < CHAIN - 3; k++)
      parts.push(`${hollowHash(h.engines[i % h.sizes.engines].id, 1 + (i % 50), k)}:64`);
    for (let k = 0; k < 3; k++) parts.push(`${hollowHash('own', i, k)}:64`);
    const headers = {
      host: 'desk.example',
      'plumhollow-attempt-id': `a${i}`,
      'plumhollow-model': 'roster',
      'plumhollow-token-count': `${CHAIN * 64},6`,
      'plumhollow-prompt-prefix': parts.join(','),
      'plumhollow-deadline-ms': '6000',
      authorization: `Token ${keyOf(i % 79)}`,
      'content-type': 'application/json',
    };
    const began = h.ports.clock.now();
    const [f, r] = errorOrValue(
      await h.ports.network.request({
        address: h.routerHttp[0],
        method: 'POST',
        path: `/p${i % 48}/x`,
        headers,
        body: '{"prompt":"one"}',
        timeoutMs: 8000,
      }),
    );
    for (let whole = f !== undefined; !whole;) {
      const [g, piece] = errorOrValue(await r!.nextChunk());
      whole = g !== undefined || piece === undefined;
    }
    if (f || r.status !== 200) failed++;
    else took.push(h.ports.clock.now() - began);
  }
  const going: Promise<void>[] = [];
  const began = h.ports.clock.now();
  while (h.ports.clock.now() - began < forMs) {
    for (const due = ((h.ports.clock.now() - began) / 1000) * perS; n < due; n++)
      going.push(one(n));
    await h.ports.clock.sleep(2);
  }
  await Promise.all(going);
  took.sort(byNumber);
  return { asked: n, failed, msMedian: took[took.length >> 1] ?? NaN };
}

/** Axes of a fleet whose edges speak the platform's manner. */
export const PLATFORM_AXES: Axis[] = [
  changeAxis(
    'deployment-tenants',
    'tenants',
    [8, 79, 1000, 4000, 12000],
    '3 controllers, 3 whole routers each in a process of its own, bound 6 s, 48 routes',
    byTenants,
  ),
  changeAxis(
    'deployment-routes',
    'routes',
    [48, 240, 1000, 4000],
    '3 controllers, 3 whole routers each in a process of its own, bound 6 s, 79 tenants',
    byRoutes,
  ),
  changeAxis(
    'deployment-nodes',
    'nodes',
    [25, 100, 200, 390],
    '5 controllers, bound 17 s, 12,000 tenants, 200 routes',
    byNodes,
  ),
  {
    name: 'feed-events',
    of: 'events a second',
    sizes: [1000, 2000, 4000, 8000, 16000],
    fixed: "1 indexer, 12 sources of 4,000 parts, the platform's feeds",
    run: runFeeds,
  },
  {
    name: 'feed-sources',
    of: 'sources',
    sizes: [13, 42, 160, 320, 640],
    fixed: "1 indexer, 1,000 events a second of all together, the platform's feeds",
    run: runSources,
  },
  {
    name: 'feed-blocks',
    of: 'kept blocks',
    sizes: [100000, 250000, 500000, 1000000],
    fixed: "1 indexer, 4 sources, the platform's feeds",
    run: runBlocks,
  },
  {
    name: 'overlaps',
    of: 'requests a second',
    sizes: [100, 200, 400, 800, 1600],
    fixed:
      '1 indexer, 4 sources of 20,000 parts, prompts of 20 parts: a question, and a word of the placing',
    run: runOverlaps,
  },
  {
    name: 'board',
    of: 'engines',
    sizes: [13, 42, 160, 320, 640],
    fixed: '16 routers that each tell 20 times a second of 40 engines that changed',
    run: runBoard,
  },
  {
    name: 'requests',
    of: 'requests a second',
    sizes: [20, 40, 80, 160],
    fixed: '1 whole router, 1 indexer, 8 hollow engines, prompts of 20 parts, answers of 6 events',
    run: runRequests,
  },
];
