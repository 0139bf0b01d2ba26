import { Fault } from '../../tools/sim/simfaults';
import { runSeed } from '../../tools/sim/simrun';

/** One fault of a written schedule. */
export function fault(at: number, kind: string, who: string, other: string, ms: number): Fault {
  return { at, kind, who, other, ms };
}

/** Runs a seed whole, and sees that it served and broke nothing. */
export async function clean(
  seed: number,
  deployment: string,
  faults: number,
  schedule?: Fault[],
): Promise<void> {
  const r = await runSeed(seed, { deployment, faults, schedule });
  expect({ seed, violations: r.violations }).toEqual({ seed, violations: [] });
  expect(r.report.asked).toBeGreaterThan(300);
}

/** Each engine in turn freezes, and a moment later the platform lists it as leaving. */
export function frozenLeavers(): Fault[] {
  const schedule: Fault[] = [];
  for (let i = 0; i < 4; i++)
    schedule.push(
      fault(8900 + i * 5000, 'engine-freeze', `engine-${i + 1}`, '', 6000),
      fault(9000 + i * 5000, 'leave', `engine-${i + 1}`, '', 4000),
    );
  return schedule;
}
