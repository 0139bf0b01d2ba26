import { Fault } from '../../tools/sim/simfaults';
import { clean, fault } from './seeds';

async function lapsedLease(): Promise<void> {
  await clean(1063, 'saffron-bay', 0, [
    fault(12700, 'kill-ours', 'index-core-2', 'index-core-3', 486),
    fault(26790, 'core-from-edge', 'index-core-1', 'index-core-2', 4947),
    fault(29312, 'kill-core', 'edge-1', 'engine-1', 6160),
  ]);
}

async function oneHolder(): Promise<void> {
  await clean(115, 'atlas-ordre', 6);
}

async function suspended(): Promise<void> {
  const schedule: Fault[] = [];
  for (let i = 0; i < 4; i++)
    schedule.push(
      fault(9000 + i * 5000, 'suspend', `edge-${i + 1}`, '', 4000),
      fault(9010 + i * 5000, 'edge-from-core', `edge-${i + 1}`, '', 5500),
    );
  await clean(1, 'saffron-bay', 0, schedule);
}

test('a claim that lapsed while cut off is not revived by a core that refuses', lapsedLease);
test('an old holder of a duty stops before a new one orders', oneHolder);
test('a router whose machine was suspended lets nothing in by the claim it had before', suspended);
