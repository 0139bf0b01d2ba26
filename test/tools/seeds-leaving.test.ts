import { runSeed } from '../../tools/sim/simrun';
import { MECHANISMS } from '../../tools/sim/without';
import { clean, frozenLeavers } from './seeds';

async function heldBefore(): Promise<void> {
  for (const seed of [3, 8]) await clean(seed, 'saffron-bay', 0, frozenLeavers());
}

async function uncut(): Promise<void> {
  MECHANISMS['leaving-cut']();
  const r = await runSeed(2, { deployment: 'saffron-bay', faults: 0, schedule: frozenLeavers() });
  expect(r.violations.join('\n')).toMatch(/leaving: engine-\d got .* after it was known to leave/);
}

test(
  'an attempt that a frozen engine held before it was known to leave, and that was cut in time, is not new to it',
  heldBefore,
);
test(
  'without the cut, an engine that was known to leave begins when it wakes, and the ledger tells',
  uncut,
);
