import { mkdirSync, rmSync } from 'node:fs';
import { resolve } from 'node:path';
import { Clock } from '../../src/shared/ports/clock';
import { makeSystemClock } from '../../src/shared/system/system-clock';
import { seededDice } from '../sim/dice';
import { Day, startDay } from '../standins/platform/day';
import { Entry } from '../standins/platform/entry';
import { Guarantees } from '../standins/platform/ground';
import { DayReport, reportDay } from '../standins/platform/ledger';
import { withApart } from '../standins/platform/apart-site';
import { makeSite, Site, SITES } from '../standins/platform/site';
import { Builds } from './builds';
import { makeMachines } from './machines';
import { SoakStep } from './soak';
import { APART_TROUBLES } from './apart-troubles';
import { Played, TROUBLES as PLAIN_TROUBLES } from './troubles';

const TROUBLES = { ...PLAIN_TROUBLES, ...APART_TROUBLES };

/** How a day is played on real processes. */
export interface PlayWays {
  site: Site;
  folder: string;
  seconds: number;
  /** Troubles in turn, evenly over the day; each is waited for. */
  troubles: readonly string[];
  /** Troubles that overlap, each begun at its time; after those in turn. */
  steps?: readonly SoakStep[];
  seed: number;
  /** The builds that the processes run; the present one where it is left out. */
  builds?: Builds;
  /** Bounds that the ledger judges by, where they are others than those that the processes are told. */
  judged?: Guarantees;
  /** Is given what ends the day's processes and stand-ins, before any runs on. */
  begun?: (end: () => Promise<void>) => void;
}

/** What a played day came to. */
export interface PlayedDay extends DayReport {
  site: string;
  troubles: readonly string[];
  /** Ms until the first configuration was acknowledged, and until every node was ready. */
  ackMs: number;
  readyMs: number;
  allReady: boolean;
  /** Processes that ended by themselves. */
  ended: string[];
}

const UP_MS = 30000;

async function untilReady(clock: Clock, entry: Entry): Promise<boolean> {
  const end = clock.now() + UP_MS;
  while (clock.now() < end) {
    if (entry.allReady()) return true;
    await clock.sleep(50);
  }
  return false;
}

async function bring(p: Played, ways: PlayWays): Promise<void> {
  const { clock } = p.day.ground;
  const pause = (ways.seconds * 1000) / (ways.troubles.length + 1);
  const begun = clock.now();
  for (const [i, name] of ways.troubles.entries()) {
    await clock.sleep(Math.max(0, begun + pause * (i + 1) - clock.now()));
    await TROUBLES[name](p);
  }
}

/** Begins each step at its time, whether or not those before it are over; comes back when all are. */
async function overlap(p: Played, steps: readonly SoakStep[]): Promise<void> {
  const { clock } = p.day.ground;
  const begun = clock.now();
  const running: Promise<void>[] = [];
  for (const { at, trouble } of steps) {
    await clock.sleep(Math.max(0, begun + at - clock.now()));
    running.push(TROUBLES[trouble](p));
  }
  await Promise.all(running);
}

/** Plays one day: real processes of ours, and stand-ins for everything around. */
export async function playDay(ways: PlayWays): Promise<PlayedDay> {
  const clock = makeSystemClock();
  rmSync(ways.folder, { recursive: true, force: true });
  mkdirSync(ways.folder, { recursive: true });
  const day: Day = await startDay(ways.site, clock, seededDice(ways.seed));
  const machines = makeMachines(ways.site, clock, day.book, ways.folder, ways.builds);
  let ending: Promise<void> | undefined;
  async function endAll(): Promise<void> {
    await machines.stopAll();
    await day.close();
  }
  function end(): Promise<void> {
    return (ending ??= endAll());
  }
  ways.begun?.(end);
  try {
    const begun = clock.now();
    await machines.startAll();
    const entry = day.openEntry();
    const first = await day.operator.replace(day.config, 0, UP_MS);
    const ready = await untilReady(clock, entry);
    const readyMs = Math.round(clock.now() - begun);
    const clients = day.clients(entry, ways.seconds * 1000, machines.lifeOf);
    const applications = day.applications(machines);
    const played: Played = { day, machines, clients };
    await Promise.all([
      clients.run(),
      applications?.run(ways.seconds * 1000),
      bring(played, ways),
      overlap(played, ways.steps ?? []),
    ]);
    await applications?.readEnds(ways.site.bounds.contactMs);
    await day.operator.readBack(ways.site.bounds.contactMs);
    const ended: string[] = [];
    for (const [name, p] of machines.procs) for (const e of p.ended) ended.push(`${name} ${e}`);
    return {
      ...reportDay(day.book, ways.judged ?? ways.site.bounds),
      site: ways.site.name,
      troubles: ways.troubles,
      ackMs: Math.round((first.ackAt ?? NaN) - begun),
      readyMs,
      allReady: ready,
      ended,
    };
  } finally {
    await end();
  }
}

/** What the command line gives. */
export interface PlatformOptions {
  platform: string | true;
  seconds: string;
  fault?: string;
  net: string;
  scale: string;
  edges: string;
  engines: string;
  /** Whether zones may be cut apart, with tallies, evacuations and cold engines. */
  apart?: boolean;
}

/** Plays days from the command line; whether no rule was broken. */
export async function runPlatform(o: PlatformOptions): Promise<boolean> {
  const name = o.platform === true ? SITES[0] : o.platform;
  const folder = resolve('fleet-data', `platform-${name}`);
  const all = o.fault === 'all' ? Object.keys(TROUBLES) : (o.fault?.split(',') ?? []);
  const unknown = all.find(notThere);
  function notThere(x: string): boolean {
    return TROUBLES[x] === undefined;
  }
  const size = { edges: Number(o.edges), engines: Number(o.engines), scale: Number(o.scale) };
  const site = makeSite(name, size, Number(o.net), folder);
  if (!site || unknown !== undefined) {
    process.stderr.write(
      `fleet: there is no ${unknown ?? name}; sites are ${SITES.join(', ')}, faults are ${Object.keys(TROUBLES).join(', ')}\n`,
    );
    process.exit(2);
  }
  if (o.apart) withApart(site);
  let clean = true;
  const rows: string[] = [];
  const plays = o.fault === 'all' ? all.map(alone) : [all];
  function alone(x: string): string[] {
    return [x];
  }
  for (const troubles of plays) {
    const r = await playDay({ site, folder, seconds: Number(o.seconds), troubles, seed: 1 });
    const ok = Object.keys(r.broken).length === 0 && r.ended.length === 0;
    clean = clean && ok;
    if (plays.length === 1 || !ok) process.stdout.write(JSON.stringify(r, null, 2) + '\n');
    rows.push(
      `| ${troubles.join(', ') || 'none'} | ${r.served} of ${r.asked} | ${r.inAim} | ${r.firstMs.join(' / ')} | ${r.reused} | ${Object.keys(r.broken).join(', ') || '-'} |`,
    );
  }
  process.stdout.write(
    [
      '| fault | served | in the aim | ms to the first event, half / nine tenths | reused | broken |',
      '| --- | --- | --- | --- | --- | --- |',
      ...rows,
    ].join('\n') + '\n',
  );
  return clean;
}
