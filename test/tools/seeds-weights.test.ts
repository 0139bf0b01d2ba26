import { Fault } from '../../tools/sim/simfaults';
import { clean, fault } from './seeds';

async function namedTwice(): Promise<void> {
  await clean(48, 'saffron-bay', 6);
}

async function namedBeforeAllDied(): Promise<void> {
  const crashes = [1, 2, 3, 4].map(crash);
  function crash(n: number): Fault {
    return fault(25000, 'engine-crash', `engine-${n}`, '', 1000);
  }
  await clean(2, 'atlas-ordre', 0, [fault(21000, 'kill-ours', '', '', 6500), ...crashes]);
}

async function wokenEngine(): Promise<void> {
  await clean(1099, 'atlas-ordre', 10);
}

test('weights that were superseded twice still end by their own time', namedTwice);
test(
  'weights that were named before all of ours were killed do not serve anew after it',
  namedBeforeAllDied,
);
test('a leg that waits in a frozen engine is cut when its tenant is walled off', wokenEngine);
