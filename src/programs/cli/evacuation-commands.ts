/**
 * Commands that evacuate zones and take them back.
 */

import { Command } from 'commander';
import { PoolPlaces } from '../../control/api/evacuation-plan';
import { printChangeAndExit } from './change-reply';
import { Console } from './console';
import { ControllerClient, HttpReply } from './controller-client';
import { EXIT_FINDINGS, EXIT_OK } from '../exit-codes';

const OK = 200;
const PERCENT = 100;

interface EvacuateOptions {
  finish?: boolean;
  dryRun?: boolean;
  force?: boolean;
}

/** The body of `GET /v1/evacuations/ZONE`. */
interface PreviewBody {
  zone: string;
  evacuated: boolean;
  pools: PoolPlaces[];
}

function pathOf(zone: string): string {
  return `/v1/evacuations/${encodeURIComponent(zone)}`;
}

function isEmptied({ left, places }: PoolPlaces): boolean {
  return left === 0 && places > 0;
}

/** One line for each pool: the share of its places that is left. */
export function formatPlaces(pools: readonly PoolPlaces[]): string[] {
  function format({ pool, places, left }: PoolPlaces): string {
    const percent = places === 0 ? 0 : Math.floor((PERCENT * left) / places);
    return `  ${pool}: ${left} of ${places} places left (${percent}%)`;
  }
  return pools.map(format);
}

/** Adds the commands. */
export function addEvacuationCommands(
  program: Command,
  client: ControllerClient,
  console: Console,
): void {
  function exitUnlessOk(reply: HttpReply): void {
    if (reply.status !== OK) printChangeAndExit(console, reply);
  }

  async function evacuations(): Promise<void> {
    const reply = await client.request('GET', '/v1/evacuations');
    exitUnlessOk(reply);
    const { zones, pools } = reply.body as { zones: string[]; pools: PoolPlaces[] };
    const evacuated = zones.length > 0 ? `evacuated: ${zones.join(' ')}` : 'no zone is evacuated';
    console.print(reply.body, [evacuated, ...formatPlaces(pools)].join('\n'));
    process.exit(EXIT_OK);
  }

  /** Tells what would be left, before anything is changed; an evacuation that empties a pool needs `--force`. */
  async function start(zone: string, options: EvacuateOptions): Promise<void> {
    const reply = await client.request('GET', pathOf(zone));
    exitUnlessOk(reply);
    const { pools } = reply.body as PreviewBody;
    const text = [`without ${zone}`, ...formatPlaces(pools)].join('\n');
    const isRefused = !options.force && pools.some(isEmptied);
    const advice = isRefused ? '\na pool would have no place left: repeat with --force' : '';
    console.print(reply.body, `${text}${advice}`);
    if (options.dryRun || isRefused) process.exit(isRefused ? EXIT_FINDINGS : EXIT_OK);
    printChangeAndExit(console, await client.request('PUT', pathOf(zone)));
  }

  async function evacuate(zone: string, options: EvacuateOptions): Promise<void> {
    if (!options.finish) return start(zone, options);
    printChangeAndExit(console, await client.request('DELETE', pathOf(zone)));
  }

  program
    .command('evacuations')
    .description('the evacuated zones, and the places that are left in each pool')
    .action(evacuations);
  program
    .command('evacuate <zone>')
    .description('send nothing more to the engines of a zone; safe to repeat')
    .option('--finish', 'take the zone back')
    .option('--dry-run', 'only tell which places would be left')
    .option('--force', 'also where a pool would have no place left')
    .action(evacuate);
}
