import { Clock } from '../../../src/shared/ports/clock';
import { RandomSource } from '../../../src/shared/ports/random';
import { Applications } from './applications';
import { Book, ConfigDoc, makeBook } from './book';
import { Clients, ClientWays, makeClients } from './clients';
import { EngineLife, startEngine } from './engine';
import { Entry, startEntry } from './entry';
import { Ground, makeGround } from './ground';
import { InstanceList, startList } from './instances';
import { EngineSpec } from './jobs';
import { makeOperator, Operator } from './operator';
import { Site } from './site';
import { startStore, StoreLife } from './store';

/** All stand-ins of one day, without the fleet itself. */
export interface Day {
  site: Site;
  ground: Ground;
  book: Book;
  /** Engines by address, in their present lives. */
  engines: Map<string, EngineLife>;
  store: StoreLife;
  list: InstanceList;
  operator: Operator;
  /** The configuration that clients go by. */
  config: ConfigDoc;
  /** Starts the entry and the clients, once the fleet's machines are known. */
  openEntry: () => Entry;
  clients: (entry: Entry, forMs: number, lifeOf: (router: string) => number) => Clients;
  /** The applications, where the site's zones may be cut apart. */
  applications: (links: DayLinks) => Applications | undefined;
  /** Starts a life of an engine at an address. */
  startLife: (spec: EngineSpec, versions?: Map<string, number>) => Promise<EngineLife>;
  /** Has an engine leave in order, and end. */
  leave: (e: EngineLife) => Promise<void>;
  /** Ends a life at once; the list shows it for some seconds. */
  crash: (e: EngineLife, how: 'reset' | 'dark') => Promise<void>;
  close: () => Promise<void>;
}

/** What a day's applications see of the fleet. */
export interface DayLinks {
  lifeOf: (ip: string) => number;
  reaches: (from: string, to: string) => boolean;
}

const FEED = { lateMs: 20, lost: 0, keep: 4000, maxConcurrent: 12 };

/** Starts the stand-ins of a site on real sockets. */
export async function startDay(site: Site, clock: Clock, dice: RandomSource): Promise<Day> {
  const book = makeBook(clock);
  const ground = makeGround(clock, dice, book, site.bounds);
  const list = await startList(ground, site.list.at, { ...site.list, page: 5 });
  const engines = new Map<string, EngineLife>();
  let lives = 1;
  let clients: Clients | undefined;

  async function startLife(spec: EngineSpec, versions?: Map<string, number>): Promise<EngineLife> {
    const s = engines.has(spec.at)
      ? { ...spec, instance: `${spec.instance.split('.')[0]}.${++lives}` }
      : spec;
    const e = await startEngine(ground, s, {
      feed: { ...FEED, maxConcurrent: 12 },
      warmupMs: 300,
      warmupSlow: 1.5,
      coldMs: clients === undefined ? undefined : site.apart?.warmUpMs,
      versions,
    });
    engines.set(spec.at, e);
    list.add(e);
    return e;
  }
  for (const spec of site.engines) await startLife(spec);
  const store = await startStore(ground, site.store.at, site.store.zone, site.store.cacheTokens, {
    ...FEED,
    maxConcurrent: 12,
  });
  const operator = makeOperator(ground, site.cores.map(controlOf));
  function controlOf(c: { control: string }): string {
    return c.control;
  }
  let entry: Entry | undefined;

  function openEntry(): Entry {
    entry = startEntry(clock, site.edges, site.zones);
    return entry;
  }
  function makeThem(e: Entry, forMs: number, lifeOf: (router: string) => number): Clients {
    const ways: ClientWays = {
      traffic: site.traffic,
      zones: site.zones,
      clients: 40,
      config,
      lifeOf,
      forMs,
      restMs: site.clientRestMs ?? 0,
    };
    clients = makeClients(ground, e, ways);
    return clients;
  }
  function applications(links: DayLinks): Applications | undefined {
    if (!site.apart) return undefined;
    const { tallies, callsPerS } = site.apart;
    const { zones, cores } = site;
    return new Applications(ground, { ...links, zones, nodes: cores, tallies, perS: callsPerS });
  }
  function config(): ConfigDoc {
    return day.config;
  }

  async function leave(e: EngineLife): Promise<void> {
    e.drain();
    await clock.sleep(site.bounds.drainMs + site.list.maxLagMs + 500);
    await e.end('reset');
    list.remove(e);
  }

  async function crash(e: EngineLife, how: 'reset' | 'dark'): Promise<void> {
    await e.end(how);
    function unlist(): void {
      list.remove(e);
    }
    clock.setTimer(2000, unlist);
  }

  async function close(): Promise<void> {
    entry?.stop();
    clients?.close();
    for (const e of engines.values()) {
      await e.end('reset');
      await e.clearDark();
    }
    await store.down();
    await list.close();
  }

  const day: Day = {
    site,
    ground,
    book,
    engines,
    store,
    list,
    operator,
    config: site.config,
    openEntry,
    clients: makeThem,
    applications,
    startLife,
    leave,
    crash,
    close,
  };
  return day;
}
