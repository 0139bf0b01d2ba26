/** Troubles of sites whose zones may be cut apart. */

import { troubled } from '../standins/platform/book';
import { EngineLife } from '../standins/platform/engine';
import { Played } from './troubles';

/** How long a zone is cut off, and how long its machines are without power, in ms. */
const CUT_MS = 4000;
const DARK_MS = 1000;
/** How long a zone's engines are away before they come back cold. */
const AWAY_MS = 1500;
/** How long a zone is evacuated beyond the bound, and how long before its end its engines turn cold. */
const EVACUATED_MS = 2000;
const COLD_BEFORE_END_MS = 300;
const CALL_MS = 20000;

type Trouble = (p: Played) => Promise<void>;

function drawnZone({ day }: Played): string {
  const { zones } = day.site;
  return zones[Math.floor(day.ground.dice.next() * zones.length)];
}

/** The engines of a zone that generate, in their present lives. */
function enginesIn({ day }: Played, zone: string): EngineLife[] {
  const there: EngineLife[] = [];
  for (const engine of day.engines.values()) {
    const { spec, state } = engine;
    if (spec.zone === zone && spec.service === day.site.service && state === 'ready')
      there.push(engine);
  }
  return there;
}

/** Cuts a zone off from the others; clients still reach it. */
async function cutZone(p: Played): Promise<void> {
  const { book, ground } = p.day;
  const overCore = troubled(book, 'zone-cut', 'core');
  const overLinks = troubled(book, 'zone-cut', 'links');
  const heal = p.machines.cutOff(drawnZone(p));
  await ground.clock.sleep(CUT_MS);
  heal();
  overLinks();
  overCore();
}

/** Has engines end at once and come back together, cold. */
async function comeBackCold(p: Played, engines: EngineLife[], awayMs: number): Promise<void> {
  const { day } = p;
  const overs = engines.map(begin);
  await Promise.all(engines.map(crash));
  await day.ground.clock.sleep(awayMs);
  await Promise.all(engines.map(start));
  for (const over of overs) over();

  function begin({ spec }: EngineLife): () => void {
    return troubled(day.book, 'cold-return', spec.instance);
  }
  function crash(engine: EngineLife): Promise<void> {
    return day.crash(engine, 'dark');
  }
  async function start(engine: EngineLife): Promise<void> {
    await engine.clearDark();
    await day.startLife(engine.spec, engine.versions);
  }
}

async function returnCold(p: Played): Promise<void> {
  await comeBackCold(p, enginesIn(p, drawnZone(p)), AWAY_MS);
}

/** A zone loses power: its machines and engines are gone at once, and come back. */
async function loseZone(p: Played): Promise<void> {
  const zone = drawnZone(p);
  const engines = comeBackCold(p, enginesIn(p, zone), DARK_MS);
  const killed: Promise<void>[] = [];
  for (const [name, { of }] of p.machines.procs)
    if (of.zone === zone) killed.push(p.machines.kill(name, DARK_MS));
  await Promise.all([engines, ...killed]);
}

/** A zone is emptied and taken back; its engines have turned cold shortly before. */
async function evacuateZone(p: Played): Promise<void> {
  const { operator, ground, site } = p.day;
  const zone = drawnZone(p);
  if (!(await operator.evacuate(zone, 'start', CALL_MS))) return;
  await ground.clock.sleep(site.bounds.evacuateMs + EVACUATED_MS);
  for (const engine of enginesIn(p, zone)) engine.goCold(site.apart!.warmUpMs);
  await ground.clock.sleep(COLD_BEFORE_END_MS);
  await operator.evacuate(zone, 'finish', CALL_MS);
}

/** The troubles of such sites, by name. */
export const APART_TROUBLES: Record<string, Trouble> = {
  'zone-cut': cutZone,
  'zone-loss': loseZone,
  'cold-return': returnCold,
  evacuate: evacuateZone,
};
