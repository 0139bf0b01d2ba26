import { Fault } from '../tools/sim/simfaults';
import { runSeed } from '../tools/sim/simrun';

function fault(at: number, kind: string, who: string, other: string, ms: number): Fault {
  return { at, kind, who, other, ms };
}

async function clean(seed: number, deployment: string, faults: number, schedule?: Fault[]): Promise<void> {
  const r = await runSeed(seed, { deployment, faults, schedule });
  expect({ seed, violations: r.violations }).toEqual({ seed, violations: [] });
  expect(r.report.asked).toBeGreaterThan(300);
}

async function emptiedController(): Promise<void> {
  await clean(3, 'saffron-bay', 0, [fault(24159, 'wipe', 'core-1', 'edge-2', 3915)]);
}

async function namedTwice(): Promise<void> {
  await clean(48, 'saffron-bay', 6);
}

async function lapsedLease(): Promise<void> {
  await clean(1063, 'saffron-bay', 0, [
    fault(12700, 'kill-ours', 'index-core-2', 'index-core-3', 486),
    fault(26790, 'core-from-edge', 'index-core-1', 'index-core-2', 4947),
    fault(29312, 'kill-core', 'edge-1', 'engine-1', 6160),
  ]);
}

async function wokenEngine(): Promise<void> {
  await clean(1099, 'atlas-ordre', 10);
}

async function oneHolder(): Promise<void> {
  await clean(115, 'atlas-ordre', 6);
}

async function replaced(): Promise<void> {
  const r = await runSeed(104, { deployment: 'atlas-ordre', faults: 0, replace: true });
  expect({ violations: r.violations, replaced: r.ops.replaced }).toEqual({ violations: [], replaced: true });
}

async function fullAtStart(): Promise<void> {
  await clean(57, 'saffron-bay', 0, [fault(20583, 'disk-full', 'core-3', 'index-core-2', 2998), fault(21408, 'power-core', 'index-core-3', 'core-3', 325), fault(25995, 'wipe', 'core-2', 'edge-3', 2146)]);
}

async function secondTries(): Promise<void> {
  const turned: Fault[] = [];
  for (let t = 9000; t < 35000; t += 700) for (const e of ['engine-1', 'engine-2', 'engine-3', 'engine-4']) turned.push(fault(t, 'engine-turns', e, '', 400));
  const r = await runSeed(9, { deployment: 'saffron-bay', faults: 0, schedule: turned });
  expect(r.violations).toEqual([]);
  expect(r.secondTryShare).toBeGreaterThan(0.05);
}

async function suspended(): Promise<void> {
  const schedule: Fault[] = [];
  for (let i = 0; i < 4; i++) schedule.push(fault(9000 + i * 5000, 'suspend', `edge-${i + 1}`, '', 4000), fault(9010 + i * 5000, 'edge-from-core', `edge-${i + 1}`, '', 5500));
  await clean(1, 'saffron-bay', 0, schedule);
}

async function frozenLeaver(): Promise<void> {
  const schedule: Fault[] = [];
  for (let i = 0; i < 4; i++) schedule.push(fault(8900 + i * 5000, 'engine-freeze', `engine-${i + 1}`, '', 6000), fault(9000 + i * 5000, 'leave', `engine-${i + 1}`, '', 4000));
  await clean(2, 'saffron-bay', 0, schedule);
}

async function seedsExchanged(): Promise<void> {
  await clean(23, 'saffron-bay', 0, [fault(11882, 'seeds', 'core-3', 'index-core-2', 965), fault(26235, 'kill-ours', 'edge-4', 'edge-2', 1784)]);
}

async function emptiedOwner(): Promise<void> {
  await clean(503, 'saffron-bay', 0, [fault(22166, 'release-all', 'edge-1', 'edge-2', 3052), fault(23575, 'wipe', 'core-2', 'core-1', 4935)]);
}

async function noMajorityForTheList(): Promise<void> {
  await clean(3236, 'atlas-ordre', 0, [
    fault(19726, 'kill-edge', 'core-2', 'index-core-1', 3194), fault(20790, 'rolling', 'edge-4', 'platform', 495),
    fault(27896, 'release-all', 'core-1', 'engine-4', 305), fault(29575, 'disk-stall', 'core-3', 'platform', 5501),
  ]);
}

async function namedBeforeAllDied(): Promise<void> {
  const crashes = [1, 2, 3, 4].map(crash);
  function crash(n: number): Fault {
    return fault(25000, 'engine-crash', `engine-${n}`, '', 1000);
  }
  await clean(2, 'atlas-ordre', 0, [fault(21000, 'kill-ours', '', '', 6500), ...crashes]);
}

async function sameTrace(): Promise<void> {
  const a = await runSeed(5, { deployment: 'atlas-ordre', faults: 3 });
  const b = await runSeed(5, { deployment: 'atlas-ordre', faults: 3 });
  expect(a.hash).toBe(b.hash);
}

test('a controller whose disk was emptied still learns what is committed', emptiedController);
test('weights that were superseded twice still end by their own time', namedTwice);
test('a claim that lapsed while cut off is not revived by a core that refuses', lapsedLease);
test('a leg that waits in a frozen engine is cut when its tenant is walled off', wokenEngine);
test('an old holder of a duty stops before a new one orders', oneHolder);
test('a lost core machine is replaced by an empty one under traffic', replaced);
test('a controller whose disk is full at its start votes again when there is room', fullAtStart);
test('second tries stay under a fifth while all engines turn all away again and again', secondTries);
test('a seed gives the same trace twice', sameTrace);
test('a router whose machine was suspended lets nothing in by the claim it had before', suspended);
test('an engine that froze and was then known to leave begins nothing when it wakes', frozenLeaver);
test('seeds exchanged for machines that know of nobody still lead to the core after all were killed', seedsExchanged);
test('an emptied controller owns no key that the others leave to it', emptiedOwner);
test('a leaving engine gets nothing new also while the core has no majority to take the list', noMajorityForTheList);
test('weights that were named before all of ours were killed do not serve anew after it', namedBeforeAllDied);
