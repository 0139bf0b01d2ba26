import { Fault } from '../../tools/sim/simfaults';
import { runSeed } from '../../tools/sim/simrun';
import { clean, fault, frozenLeavers } from './seeds';

async function secondTries(): Promise<void> {
  const turned: Fault[] = [];
  for (let t = 9000; t < 35000; t += 700)
    for (const e of ['engine-1', 'engine-2', 'engine-3', 'engine-4'])
      turned.push(fault(t, 'engine-turns', e, '', 400));
  const r = await runSeed(9, { deployment: 'saffron-bay', faults: 0, schedule: turned });
  expect(r.violations).toEqual([]);
  expect(r.secondTryShare).toBeGreaterThan(0.05);
}

async function frozenLeaver(): Promise<void> {
  await clean(2, 'saffron-bay', 0, frozenLeavers());
}

async function noMajorityForTheList(): Promise<void> {
  await clean(3236, 'atlas-ordre', 0, [
    fault(19726, 'kill-edge', 'core-2', 'index-core-1', 3194),
    fault(20790, 'rolling', 'edge-4', 'platform', 495),
    fault(27896, 'release-all', 'core-1', 'engine-4', 305),
    fault(29575, 'disk-stall', 'core-3', 'platform', 5501),
  ]);
}

test(
  'second tries stay under a fifth while all engines turn all away again and again',
  secondTries,
);
test('an engine that froze and was then known to leave begins nothing when it wakes', frozenLeaver);
test(
  'a leaving engine gets nothing new also while the core has no majority to take the list',
  noMajorityForTheList,
);
