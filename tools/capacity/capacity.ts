import { appendFileSync, mkdirSync } from 'node:fs';
import { resolve } from 'node:path';
import { Command } from 'commander';
import { AXES } from './axes';
import { planTable, plotAll, readRuns, slopesTable } from './report';

/** Where runs are kept, a line each. */
export const RUNS = resolve(__dirname, '../../../docs/capacity/runs.jsonl');

async function runAxes(
  names: string[],
  o: { runs: string; mark: string; net: string; sizes?: string },
): Promise<void> {
  mkdirSync(resolve(RUNS, '..'), { recursive: true });
  for (let i = 0; i < Number(o.runs); i++) {
    for (const a of AXES) {
      if (!names.includes(a.name)) continue;
      for (const size of o.sizes ? o.sizes.split(',').map(Number) : a.sizes) {
        const values = await a.run(size, resolve('fleet-data', `capacity-${o.net}`), Number(o.net));
        for (const [k, v] of Object.entries(values)) values[k] = Number(v.toPrecision(6));
        appendFileSync(RUNS, JSON.stringify({ mark: o.mark, axis: a.name, size, values }) + '\n');
        process.stdout.write(`${a.name} ${size}: ${JSON.stringify(values)}\n`);
      }
    }
  }
  process.exit(0);
}

async function report(o: { mark: string; plots: boolean }): Promise<void> {
  const runs = readRuns(RUNS);
  process.stdout.write(`${slopesTable(runs, o.mark)}\n\n${planTable(runs)}\n`);
  if (o.plots) await plotAll(runs, resolve(RUNS, '..'));
}

function nameOf(a: { name: string }): string {
  return a.name;
}

function main(): void {
  const cmd = new Command('capacity').description(
    'Measures what each role costs at growing sizes, and works out larger ones.',
  );
  cmd
    .command('run')
    .argument('<axes...>', AXES.map(nameOf).join(', '))
    .option('--runs <n>', 'runs at each size', '3')
    .option('--mark <name>', 'what the code stands at', 'now')
    .option('--net <n>', 'second number of the loopback addresses', '6')
    .option('--sizes <list>', 'other sizes, comma between')
    .action(runAxes);
  cmd
    .command('report')
    .description('prints the slopes and what follows from them, and draws them')
    .option('--mark <name>', 'whose slopes', 'now')
    .option('--no-plots', 'draw nothing')
    .action(report);
  cmd.parse();
}

if (require.main === module) main();
