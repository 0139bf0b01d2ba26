import { runSeed } from '../../tools/sim/simrun';
import { clean, fault } from './seeds';

async function emptiedController(): Promise<void> {
  await clean(3, 'saffron-bay', 0, [fault(24159, 'wipe', 'core-1', 'edge-2', 3915)]);
}

async function fullAtStart(): Promise<void> {
  await clean(57, 'saffron-bay', 0, [
    fault(20583, 'disk-full', 'core-3', 'index-core-2', 2998),
    fault(21408, 'power-core', 'index-core-3', 'core-3', 325),
    fault(25995, 'wipe', 'core-2', 'edge-3', 2146),
  ]);
}

async function replaced(): Promise<void> {
  const r = await runSeed(104, { deployment: 'atlas-ordre', faults: 0, replace: true });
  expect({ violations: r.violations, replaced: r.ops.replaced }).toEqual({
    violations: [],
    replaced: true,
  });
}

async function emptiedOwner(): Promise<void> {
  await clean(503, 'saffron-bay', 0, [
    fault(22166, 'release-all', 'edge-1', 'edge-2', 3052),
    fault(23575, 'wipe', 'core-2', 'core-1', 4935),
  ]);
}

test('a controller whose disk was emptied still learns what is committed', emptiedController);
test('a controller whose disk is full at its start votes again when there is room', fullAtStart);
test('a lost core machine is replaced by an empty one under traffic', replaced);
test('an emptied controller owns no key that the others leave to it', emptiedOwner);
