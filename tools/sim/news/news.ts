/** Measures how changes reach many followers behind thin links, in the simulator. */
import { Command } from 'commander';
import { NewsResult, NewsWays, playNews, Spread } from './play';

/** What the command line tells. */
interface Options {
  followers: string;
  routes: string;
  rates: string;
  add: string;
  seconds: string;
  seed: string;
  loseOwner: boolean;
  processors?: string;
}

const ENGINES_GAP_MS = 250;
const MS_PER_S = 1000;
const HEADS = [
  'followers',
  'routes',
  'changes/s',
  'owner lost',
  'acknowledged ms (50, 99, 100 %)',
  'at followers ms',
  'engines ms',
  'kB/follower',
  'refused leases %',
  'lost connections',
  'processor ms',
];

function numbersOf(text: string): number[] {
  return text === '' ? [] : text.split(',').map(Number);
}

function sayTimes({ half, most, all }: Spread): string {
  return `${half}, ${most}, ${all}`;
}

function sayRow(ways: NewsWays, result: NewsResult): string {
  const refused = (result.refusedLeases / Math.max(1, result.leaseAsks)) * 100;
  const cells = [
    ways.followers,
    ways.routes,
    MS_PER_S / ways.gapMs,
    ways.loseOwner ? 'yes' : 'no',
    sayTimes(result.acknowledged),
    sayTimes(result.changes),
    sayTimes(result.engines),
    Math.round(result.bytesPerFollower / MS_PER_S),
    refused.toFixed(1),
    result.lostConnections,
    result.processorMs,
  ];
  return `| ${cells.join(' | ')} |`;
}

function waysOf(o: Options, followers: number, routes: number, rate: number): NewsWays {
  const [controller, follower] = numbersOf(o.processors ?? '');
  return {
    seed: Number(o.seed),
    followers,
    routes,
    additions: numbersOf(o.add),
    changes: Math.round(Number(o.seconds) * rate),
    gapMs: MS_PER_S / rate,
    enginesGapMs: ENGINES_GAP_MS,
    loseOwner: o.loseOwner,
    processors: controller && follower ? { controller, follower } : undefined,
  };
}

async function measure(o: Options): Promise<void> {
  process.stdout.write(`| ${HEADS.join(' | ')} |\n|${' --- |'.repeat(HEADS.length)}\n`);
  for (const followers of numbersOf(o.followers))
    for (const routes of numbersOf(o.routes))
      for (const rate of numbersOf(o.rates)) {
        const ways = waysOf(o, followers, routes, rate);
        process.stdout.write(`${sayRow(ways, await playNews(ways))}\n`);
      }
}

function main(): void {
  new Command('news')
    .description('Measures how changes reach many followers behind thin links, in the simulator.')
    .option('--followers <list>', 'how many follow the core', '10,70,200')
    .option('--routes <list>', 'routes of the deployment that stands', '350,2000,8000')
    .option('--rates <list>', 'changes a second', '1,5,10')
    .option('--add <list>', 'routes that long changes add first, one after the other', '')
    .option('--seconds <n>', 'how long the changes go on', '4')
    .option('--seed <n>', 'the world', '3')
    .option('--lose-owner', 'kill the owner of the deployment midway', false)
    .option('--processors <controller,follower>', 'shares of a processor; runs then do not repeat')
    .action(measure)
    .parse();
}

if (require.main === module) main();
