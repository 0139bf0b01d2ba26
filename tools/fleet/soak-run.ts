/** Soaks by seed, from the command line. */

import { renameSync, rmSync } from 'node:fs';
import { resolve } from 'node:path';
import { seededDice } from '../sim/dice';
import { withApart } from '../standins/platform/apart-site';
import { SITES } from '../standins/platform/site';
import { makeBuilds } from './builds';
import { makePatientSite, slowEngines, slowReaders, WIDE_BOUNDS } from './busy-machine';
import { PlatformOptions, PlayedDay, playDay } from './platform';
import { drawSoak, SoakStep } from './soak';

/** What the command line gives for soaks. */
export interface SoakOptions extends PlatformOptions {
  /** How many seeds. */
  soak: string;
  /** The first seed. */
  from: string;
  /** Steps a second. */
  steps: string;
  /** The folder of another release's build, which half of the processes of each role run. */
  otherBuild?: string;
}

/** How long clients may be without an answer while the core comes back, beside what is counted. */
const REPAIR_MS = 8000;

/** Two seeds in four, one on each site. */
function hasSlowEngines(seed: number): boolean {
  return seed % 4 >= 2;
}

/** Half of the seeds, of those with slow engines and of the others. */
function hasSlowReaders(seed: number): boolean {
  return seed % 8 >= 4;
}

interface Soaked {
  seed: number;
  steps: SoakStep[];
  day: PlayedDay;
}

/** Keeps the logs of a soak that broke a rule apart from those of the next ones. */
function keepLogs(folder: string, seed: number): void {
  const kept = `${folder}-seed-${seed}`;
  rmSync(kept, { recursive: true, force: true });
  renameSync(folder, kept);
}

async function soakOnce(o: SoakOptions, seed: number): Promise<Soaked> {
  const name = SITES[seed % SITES.length];
  const folder = resolve('fleet-data', `soak-${o.net}`);
  const size = { edges: Number(o.edges), engines: Number(o.engines), scale: Number(o.scale) };
  const seconds = Number(o.seconds);
  const steps = drawSoak(seededDice(seed), {
    seconds,
    perSecond: Number(o.steps),
    repairMs: REPAIR_MS,
    apart: o.apart,
  });
  const site = makePatientSite(name, size, Number(o.net), folder)!;
  if (o.apart) withApart(site);
  if (hasSlowEngines(seed)) slowEngines(site);
  if (hasSlowReaders(seed)) slowReaders(site);
  const day = await playDay({
    site,
    folder,
    seconds,
    troubles: [],
    steps,
    seed,
    builds: makeBuilds(o.otherBuild),
    judged: WIDE_BOUNDS,
  });
  if (!isClean(day)) keepLogs(folder, seed);
  return { seed, steps, day };
}

/** Whether no rule was broken and no process ended by itself. */
export function isClean(day: PlayedDay): boolean {
  return Object.keys(day.broken).length === 0 && day.ended.length === 0;
}

function say({ seed, steps, day }: Soaked): string {
  const figures = `seed ${seed}, ${day.site}: ${steps.length} steps, ${day.served} of ${day.asked} served`;
  if (isClean(day)) return `${figures}, clean`;
  return `${figures}\n${JSON.stringify({ broken: day.broken, ended: day.ended, steps }, null, 1)}`;
}

/** Plays soaks and prints each, and the sums; whether all were clean. */
export async function runSoaks(o: SoakOptions): Promise<boolean> {
  const from = Number(o.from);
  let failed = 0;
  for (let seed = from; seed < from + Number(o.soak); seed++) {
    const soaked = await soakOnce(o, seed);
    if (!isClean(soaked.day)) failed++;
    process.stdout.write(`${say(soaked)}\n`);
  }
  process.stdout.write(`soaks: ${o.soak} seeds from ${from}, ${failed} with a broken rule\n`);
  return failed === 0;
}
