import { runSeed } from '../../tools/sim/simrun';
import { clean, fault } from './seeds';

async function sameTrace(): Promise<void> {
  const a = await runSeed(5, { deployment: 'atlas-ordre', faults: 3 });
  const b = await runSeed(5, { deployment: 'atlas-ordre', faults: 3 });
  expect(a.hash).toBe(b.hash);
}

async function seedsExchanged(): Promise<void> {
  await clean(23, 'saffron-bay', 0, [
    fault(11882, 'seeds', 'core-3', 'index-core-2', 965),
    fault(26235, 'kill-ours', 'edge-4', 'edge-2', 1784),
  ]);
}

test('a seed gives the same trace twice', sameTrace);
test(
  'seeds exchanged for machines that know of nobody still lead to the core after all were killed',
  seedsExchanged,
);
