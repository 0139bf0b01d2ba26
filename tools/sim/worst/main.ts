/** Worst days by seed, from the command line. */
import { playWorstDay, shrinkWorstDay, WorstDay } from './day';

/** What to play. */
export interface WorstRun {
  from: number;
  seeds: number;
  /** Prints the trace and the history, and the shortest known schedule of a violation. */
  verbose: boolean;
  /** How many faults are drawn for each day; by the seed where left out. */
  faultCount?: number;
}

const TOLD_VIOLATIONS = 3;

function sayDay(day: WorstDay): string {
  const { seed, size, calls, acknowledged, refused, unknown, longestCalmMs } = day;
  const figures = `${calls} calls, ${acknowledged} acknowledged, ${refused} refused, ${unknown} unknown, longest in calm times ${Math.round(longestCalmMs)} ms`;
  const told = day.violations.slice(0, TOLD_VIOLATIONS);
  return [`seed ${seed}, ${size} controllers: ${figures}`, ...told].join('\n  ');
}

async function sayShrunk(day: WorstDay): Promise<void> {
  process.stdout.write(`${day.lines.join('\n')}\n${day.history}`);
  const shrunk = await shrinkWorstDay(day);
  process.stdout.write(
    `shortest known schedule:\n${JSON.stringify(shrunk.schedule, null, 1)}\n${sayDay(shrunk)}\n`,
  );
}

/** Plays days and prints those that fail, and the sums; returns the number of days that fail. */
export async function runWorstDays(run: WorstRun): Promise<number> {
  const sums = { calls: 0, acknowledged: 0, refused: 0, unknown: 0, failed: 0 };
  const faults: Record<string, number> = {};
  let longestCalmMs = 0;
  for (let seed = run.from; seed < run.from + run.seeds; seed++) {
    const day = await playWorstDay(seed, {
      keepLines: run.verbose,
      faultCount: run.faultCount,
    });
    sums.calls += day.calls;
    sums.acknowledged += day.acknowledged;
    sums.refused += day.refused;
    sums.unknown += day.unknown;
    longestCalmMs = Math.max(longestCalmMs, day.longestCalmMs);
    for (const [kind, count] of Object.entries(day.faults))
      faults[kind] = (faults[kind] ?? 0) + count;
    if (day.violations.length === 0) continue;
    sums.failed++;
    process.stdout.write(`${sayDay(day)}\n`);
    if (run.verbose) await sayShrunk(day);
  }
  process.stdout.write(
    `worst days: ${run.seeds} seeds from ${run.from}, ${sums.failed} with violations; ${sums.calls} calls, ${sums.acknowledged} acknowledged, ${sums.refused} refused, ${sums.unknown} unknown; longest in calm times ${Math.round(longestCalmMs)} ms\nfaults: ${JSON.stringify(faults)}\n`,
  );
  return sums.failed;
}
