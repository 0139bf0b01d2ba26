/** The command line of the model checker. */
import { Command } from 'commander';
import { readFileSync } from 'node:fs';
import {
  Exploration,
  exploreExhaustively,
  exploreRandomly,
  Limits,
  othersThan,
  replay,
  Subject,
} from './explore';
import { INVARIANTS, InvariantName } from './invariants';
import { MUTATIONS, UNCHANGED } from './mutations';
import { WORLDS } from './worlds';

interface Options {
  world: string;
  schedules: string;
  seed: string;
  exhaustive?: boolean;
  deviations?: string;
  replay?: string;
  without?: string;
  known?: string;
  only?: InvariantName;
  minutes?: string;
  syncedReads?: boolean;
}

const MINUTE = 60000;

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

function report(found: Exploration): void {
  const { tally, broken } = found;
  say(
    `${tally.schedules} schedules, ${tally.steps} steps, ${tally.states.size} distinct states, ${tally.cutOff} schedules cut off`,
  );
  if (found.complete !== undefined)
    say(found.complete ? 'the search is complete' : 'the search is partial');
  say('| invariant | checks | schedules | distinct states |');
  say('| --- | --- | --- | --- |');
  for (const name of Object.keys(INVARIANTS) as InvariantName[]) {
    const { checks, schedules, states } = tally.invariants[name];
    say(`| ${name} | ${checks} | ${schedules} | ${states} |`);
  }
  for (const [name, count] of tally.known) say(`known: ${name} broken in ${count} schedules`);
  if (!broken) return say('no other invariant was broken');
  say(`broken after ${found.foundAfter} schedules; the shortest known has these steps:`);
  for (const [i, label] of broken.labels.entries()) say(`${i + 1}. ${label}`);
  for (const v of broken.violations) say(`${v.invariant}: ${v.text}`);
}

function knownOf(list: string | undefined): Set<InvariantName> {
  return new Set((list?.split(',') ?? []) as InvariantName[]);
}

function explore(subject: Subject, limits: Limits, options: Options): Promise<Exploration> {
  if (options.replay !== undefined) return replay(subject, readSteps(options.replay));
  return options.exhaustive
    ? exploreExhaustively(subject, limits)
    : exploreRandomly(subject, limits, Number(options.seed));
}

function readSteps(file: string): string[] {
  return readFileSync(file, 'utf8').trimEnd().split('\n');
}

async function main(): Promise<void> {
  const options = new Command('model')
    .option('--world <name>', Object.keys(WORLDS).join(', '), 'race')
    .option('--schedules <n>', 'the most schedules', '1000')
    .option('--seed <n>', 'the seed of random schedules', '1')
    .option('--exhaustive', 'all schedules instead of random ones')
    .option('--deviations <n>', 'exhaustively, how often another than the oldest event is next')
    .option('--replay <file>', 'the schedule of a file, one step a line')
    .option('--without <mechanism>', `leave one out: ${Object.keys(MUTATIONS).join(', ')}`)
    .option('--known <invariants>', 'count these violations and go on, for faults that are known')
    .option('--only <invariant>', 'count the violations of all others and go on')
    .option('--minutes <n>', 'begin no schedule later than this')
    .option('--synced-reads', 'with a disk port that syncs what it reads, as a repair on trial')
    .parse()
    .opts<Options>();
  const plan = WORLDS[options.world];
  const mutation = options.without === undefined ? UNCHANGED : MUTATIONS[options.without];
  if (!plan || !mutation) {
    process.stderr.write(`model: there is no ${plan ? options.without : options.world}\n`);
    process.exitCode = 2;
    return;
  }
  say(`${options.world}: ${plan.summary}; ${mutation.summary}`);
  const limits: Limits = {
    schedules: Number(options.schedules),
    deviations: options.deviations === undefined ? undefined : Number(options.deviations),
    ms: options.minutes === undefined ? undefined : Number(options.minutes) * MINUTE,
  };
  const subject: Subject = {
    plan: { ...plan, syncedReads: options.syncedReads },
    mutation,
    known: options.only ? othersThan(options.only) : knownOf(options.known),
  };
  const found = await explore(subject, limits, options);
  report(found);
  process.exitCode = found.broken ? 1 : 0;
}

if (require.main === module) void main();
