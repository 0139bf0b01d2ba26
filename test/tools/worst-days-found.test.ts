import { playWorstDay } from '../../tools/sim/worst/day';
import { documentOf, makeCore, PATHS } from '../control/deploymentrig';

/** Seeds of worst days that have failed. */
const FOUND_SEEDS = [2024];

/** More changes than any operator makes between two calls of one order. */
const CHANGES_BETWEEN = 1100;

const TAKEN = 200;
const LOWEST_UNCLEAR = 500;

async function foundSeeds(): Promise<void> {
  for (const seed of FOUND_SEEDS) {
    const day = await playWorstDay(seed);
    expect({ seed, violations: day.violations }).toEqual({ seed, violations: [] });
  }
}

async function takenOrderIsSentAgain(): Promise<void> {
  const rig = makeCore(3);
  const first = documentOf(1, ['/1/']);
  await rig.settled(rig.insist(0, PATHS.replace, 0, first, 12000));
  for (let base = 1; base <= CHANGES_BETWEEN; base++) {
    const document = documentOf(base + 1, [`/${base + 1}/`]);
    const heard = await rig.settled(rig.insist(base, PATHS.replace, base, document, 5000));
    expect(heard?.status).toBe(TAKEN);
  }
  const again = await rig.settled(rig.call(rig.core[1], 'POST', PATHS.replace, 0, first));
  const isKept = again?.status === TAKEN || (again?.status ?? LOWEST_UNCLEAR) >= LOWEST_UNCLEAR;
  expect({ status: again?.status, isKept }).toEqual({ status: again?.status, isKept: true });
}

test('worst days that have failed keep the rules', foundSeeds);
test(
  'an order that was taken is not refused when it is sent again after 1,100 others',
  takenOrderIsSentAgain,
);
