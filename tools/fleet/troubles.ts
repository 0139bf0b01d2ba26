import { sha256Hex } from '../../src/shared/util/hashing';
import { SPOILT, spoiltItems } from './invalid-changes';
import { ConfigDoc, ConfigSent, troubled } from '../standins/platform/book';
import { Day } from '../standins/platform/day';
import { EngineLife } from '../standins/platform/engine';
import { EngineTroubles, calm } from '../standins/platform/jobs';
import { Clients } from '../standins/platform/clients';
import { Machines } from './machines';

/** A day that is played: the stand-ins, our processes, the clients. */
export interface Played {
  day: Day;
  machines: Machines;
  clients: Clients;
}

const WHILE = 2000;

type Trouble = (p: Played) => Promise<void>;

/** The engines that generate, in their present lives. */
export function generators(p: Played): EngineLife[] {
  const out: EngineLife[] = [];
  for (const e of p.day.engines.values())
    if (e.spec.service === p.day.site.service && e.state === 'ready') out.push(e);
  return out;
}

function namesOf(p: Played, role: string): string[] {
  const all: string[] = [];
  for (const [name, x] of p.machines.procs) if (x.of.role === role) all.push(name);
  return all;
}

/** Sends a changed configuration on top of the newest; clients go by it once it is acknowledged. */
export async function change(p: Played, alter: (doc: ConfigDoc) => void): Promise<ConfigSent> {
  const { day } = p;
  const doc = JSON.parse(JSON.stringify(day.config)) as ConfigDoc;
  const base = doc.revision;
  doc.revision += 1 + Math.floor(day.ground.dice.next() * 3);
  alter(doc);
  const sent = await day.operator.replace(doc, base, 20000);
  if (sent.outcome === 'acked') day.config = doc;
  return sent;
}

/** Has some engines be in a trouble for a while. */
function engines(name: string, how: Partial<EngineTroubles>, ms: number, count = 1): Trouble {
  async function bring(p: Played): Promise<void> {
    const some = generators(p).slice(0, count);
    const overs = some.map(begin);
    function begin(e: EngineLife): () => void {
      Object.assign(e.troubles, how);
      return troubled(p.day.book, name, e.spec.instance);
    }
    await p.day.ground.clock.sleep(ms);
    for (const e of some) Object.assign(e.troubles, calm());
    for (const over of overs) over();
  }
  return bring;
}

function kills(role: string, pauseMs: number, count = 1): Trouble {
  async function bring(p: Played): Promise<void> {
    await Promise.all(namesOf(p, role).slice(0, count).map(end));
    function end(name: string): Promise<void> {
      return p.machines.kill(name, pauseMs);
    }
  }
  return bring;
}

function freezes(role: string, ms: number): Trouble {
  function bring(p: Played): Promise<void> {
    return p.machines.freeze(namesOf(p, role)[1], ms);
  }
  return bring;
}

/** Restarts most routers of one zone at once: fewer than half of them are in then, and callers are sent to all. */
async function rollMostOfZone(p: Played): Promise<void> {
  const { edges, zones } = p.day.site;
  const there = new Set<string>();
  for (const e of edges) if (e.zone === zones[0]) there.add(e.name);
  const names: string[] = [];
  for (const [name, x] of p.machines.procs) if (there.has(x.of.name)) names.push(name);
  await Promise.all(names.slice(0, Math.max(1, names.length - 1)).map(roll));
  function roll(name: string): Promise<void> {
    return p.machines.roll(name);
  }
}

/** How long a process is held up as its SIGTERM comes, in ms. */
const HELD_UP_MS = 800;

/** Restarts two routers at once that are held up as their signals come, as on a busy machine. */
async function rollHeldUp(p: Played): Promise<void> {
  await Promise.all(namesOf(p, 'router').slice(0, 2).map(roll));
  function roll(name: string): Promise<void> {
    return p.machines.roll(name, HELD_UP_MS);
  }
}

const STORM_CHANGES = 40;
const STORM_GAP_MS = 100;

/** Changes of all routes' time-outs, of the limits and of a route, a tenth of a second apart; the time-outs never fall below the clients' own. */
async function configStorm(p: Played): Promise<void> {
  const { clock } = p.day.ground;
  for (let n = 0; n < STORM_CHANGES; n++) {
    const next = clock.now() + STORM_GAP_MS;
    await change(p, alter);
    await clock.sleep(Math.max(0, next - clock.now()));
    function alter(doc: ConfigDoc): void {
      const had = doc.routes.length;
      doc.routes = doc.routes.filter(isOther);
      const isBack = doc.routes.length < had;
      for (const r of doc.routes) r.timeoutMs += isBack ? -500 : 500;
      doc.limits.idleTimeoutMs += isBack ? -100 : 100;
      if (isBack) return;
      doc.routes.push({ ...doc.routes[1], name: STORM_ROUTE, pathPrefix: `/${STORM_ROUTE}/` });
    }
  }
}

const STORM_ROUTE = 'storm';

function isOther(r: { name: string }): boolean {
  return r.name !== STORM_ROUTE;
}

const LONG_CHANGES = 3;
const ROUTES_OF_A_LONG_CHANGE = 1400;
const LONG_ROUTE = 'long-';

/** Changes that add many routes each, one upon the other, and one that takes them all away. */
async function longChanges(p: Played): Promise<void> {
  for (let n = 0; n < LONG_CHANGES; n++) {
    await change(p, add);
    function add(doc: ConfigDoc): void {
      for (let i = 0; i < ROUTES_OF_A_LONG_CHANGE; i++) {
        const name = `${LONG_ROUTE}${sha256Hex(`${n} ${i}`).slice(0, 12)}`;
        doc.routes.push({ ...doc.routes[1], name, pathPrefix: `/${name}/` });
      }
    }
  }
  await change(p, remove);
  function remove(doc: ConfigDoc): void {
    doc.routes = doc.routes.filter(isShort);
  }
}

function isShort(r: { name: string }): boolean {
  return !r.name.startsWith(LONG_ROUTE);
}

function rolls(role: string, count: number): Trouble {
  async function bring(p: Played): Promise<void> {
    for (const name of namesOf(p, role).slice(0, count)) await p.machines.roll(name);
  }
  return bring;
}

async function wipes(p: Played): Promise<void> {
  await p.machines.wipe(namesOf(p, 'controller')[2], 500);
}

function crashes(how: 'reset' | 'dark'): Trouble {
  async function bring(p: Played): Promise<void> {
    const { day } = p;
    const e = generators(p)[0];
    const over = troubled(day.book, 'crash', e.spec.instance);
    await day.crash(e, how);
    await day.ground.clock.sleep(1500);
    await e.clearDark();
    await day.startLife(e.spec, e.versions);
    over();
  }
  return bring;
}

/** Engines are replaced one after the other; the address of each goes to an engine of another service. */
async function release(p: Played): Promise<void> {
  const { day } = p;
  const app = [...day.engines.values()].find(isApp)!;
  function isApp(e: EngineLife): boolean {
    return e.spec.service === day.site.app;
  }
  const old = generators(p)[0];
  const parts = old.spec.at.split(':');
  const fresh = parts[0].replace(/\.3\.(\d+)$/, '.5.$1');
  await day.startLife({
    ...old.spec,
    instance: `${old.spec.instance.split('.')[0]}n.1`,
    at: `${fresh}:${parts[1]}`,
    revision: 'v2',
  });
  await day.leave(old);
  await day.ground.clock.sleep(day.site.bounds.addressReuseS * 1000);
  await day.startLife({ ...app.spec, at: old.spec.at, instance: 'i-reuse.1' });
  await day.ground.clock.sleep(1000);
}

async function bump(p: Played): Promise<void> {
  const { site, ground, operator } = p.day;
  const top = Math.max(1, ...(ground.named.get(site.model) ?? []));
  await operator.nameVersion(site.model, top + 1, 20000);
}

async function revoke(p: Played): Promise<void> {
  const { day } = p;
  const key = day.config.tenants[0].apiKeys[0];
  await change(p, drop);
  function drop(doc: ConfigDoc): void {
    doc.tenants[0].apiKeys = [...doc.tenants[0].apiKeys.slice(1), `fresh-${doc.revision}`];
  }
  await probeAll(p, day.config.routes[0].hostname, `${day.config.routes[1].pathPrefix}p`, key);
  await day.ground.clock.sleep(day.site.bounds.configApplyMs + 200);
  await probeAll(p, day.config.routes[0].hostname, `${day.config.routes[1].pathPrefix}p`, key);
}

/** Asks each node straight. */
async function probeAll(p: Played, host: string, target: string, key?: string): Promise<void> {
  for (const n of p.day.site.edges) await p.clients.probe(n, host, target, key);
}

async function config(p: Played): Promise<void> {
  const { day } = p;
  const key = day.config.tenants[1].apiKeys[0];
  const host = day.config.routes[0].hostname;
  await change(p, add);
  function add(doc: ConfigDoc): void {
    doc.routes = doc.routes.filter(isNotAdded);
    doc.routes.push({ ...doc.routes[1], name: 'added', pathPrefix: '/added/' });
  }
  await probeAll(p, host, '/added/x', key);
  await day.ground.clock.sleep(day.site.bounds.configApplyMs + 200);
  await probeAll(p, host, '/added/x', key);
  await probeAll(p, host, '/never/x', key);
  await change(p, remove);
  function remove(doc: ConfigDoc): void {
    doc.routes = doc.routes.filter(isNotAdded);
  }
  function isNotAdded(r: { name: string }): boolean {
    return r.name !== 'added';
  }
  await day.ground.clock.sleep(day.site.bounds.configApplyMs + 200);
  await probeAll(p, host, '/added/x', key);
}

async function race(p: Played): Promise<void> {
  const { day } = p;
  const base = day.config.revision;
  function of(n: number): ConfigDoc {
    return {
      ...day.config,
      revision: base + n,
      limits: { ...day.config.limits, idleTimeoutMs: 15000 + n },
    };
  }
  const both = await Promise.all([
    day.operator.replace(of(2), base, 20000),
    day.operator.replace(of(3), base, 20000),
  ]);
  for (const c of both) if (c.outcome === 'acked') day.config = c.doc;
}

async function badConfig(p: Played): Promise<void> {
  const { day } = p;
  function older(doc: ConfigDoc): void {
    doc.revision = day.config.revision;
    doc.limits.idleTimeoutMs++;
  }
  for (const spoil of [...SPOILT, older]) await change(p, spoil);
}

/** The same through changes of named items. */
async function badUpdate(p: Played): Promise<void> {
  const { day } = p;
  for (const spoil of SPOILT) {
    const base = day.config.revision;
    const doc = JSON.parse(JSON.stringify(day.config)) as ConfigDoc;
    doc.revision = base + 1;
    spoil(doc);
    await day.operator.update(spoiltItems(day.config, doc), doc, base, 20000);
  }
  const same = { ...day.config };
  await day.operator.update({ revision: same.revision }, same, same.revision, 20000);
}

async function eventsLost(p: Played): Promise<void> {
  const { day } = p;
  const over = troubled(day.book, 'events', 'events');
  for (const e of day.engines.values()) Object.assign(e.keeper.ways, { lost: 0.3, lateMs: 400 });
  await day.ground.clock.sleep(WHILE);
  for (const e of day.engines.values()) Object.assign(e.keeper.ways, { lost: 0, lateMs: 20 });
  over();
}

async function emptyStore(p: Played): Promise<void> {
  const { day } = p;
  const over = troubled(day.book, 'crash', 'store');
  await day.store.down();
  await day.ground.clock.sleep(1500);
  await day.store.up();
  over();
}

async function slowLinks(p: Played): Promise<void> {
  const { day } = p;
  day.ground.links.slow = 200;
  await day.ground.clock.sleep(WHILE);
  day.ground.links.slow = 1;
}

async function listDown(p: Played): Promise<void> {
  const { day } = p;
  const over = troubled(day.book, 'down', 'list');
  day.list.troubles.down = true;
  await day.ground.clock.sleep(WHILE);
  day.list.troubles.down = false;
  over();
}

/** The troubles that the runner brings about, by name. */
export const TROUBLES: Record<string, Trouble> = {
  'kill-controller': kills('controller', 500),
  'kill-core': kills('controller', 500, 3),
  'kill-indexers': kills('indexer', 500, 3),
  'kill-router': kills('router', 500),
  'kill-routers': kills('router', 500, Infinity),
  'wipe-controller': wipes,
  'freeze-controller': freezes('controller', 4000),
  'freeze-router': freezes('router', 4000),
  'roll-router': rolls('router', 1),
  'roll-routers': rolls('router', 3),
  'roll-zone': rollMostOfZone,
  'roll-held-up': rollHeldUp,
  'roll-controller': rolls('controller', 1),
  'crash-engine': crashes('reset'),
  'dark-engine': crashes('dark'),
  release,
  'version-bump': bump,
  revoke,
  config,
  'config-storm': configStorm,
  'long-changes': longChanges,
  race,
  'bad-config': badConfig,
  'bad-update': badUpdate,
  garble: engines('garble', { garble: 0.3 }, WHILE),
  'lost-answers': engines('lost', { lost: 0.3 }, WHILE),
  'break-off': engines('break', { breakOff: 0.3 }, WHILE),
  'no-answer': engines('garbage', { noAnswer: 0.3 }, WHILE),
  fails: engines('grey', { fails: 0.5 }, WHILE),
  silent: engines('silent', { silent: 0.5 }, WHILE),
  'close-idle': engines('idle', { closeIdle: true }, WHILE, 2),
  'slow-engine': engines('slow', { slow: 8 }, WHILE),
  full: engines('full', { full: true }, WHILE),
  'lying-health': engines('lying', { full: true, lyingHealth: true }, WHILE),
  'events-lost': eventsLost,
  'empty-store': emptyStore,
  'slow-links': slowLinks,
  'list-down': listDown,
};
