import { Fault } from '../tools/simfaults';
import { runSeed } from '../tools/simrun';

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

async function sameTrace(): Promise<void> {
  const a = await runSeed(5, { deployment: 'atlas-ordre', faults: 3 });
  const b = await runSeed(5, { deployment: 'atlas-ordre', faults: 3 });
  expect(a.hash).toBe(b.hash);
}

test('a controller whose disk was emptied still learns what is committed', emptiedController);
test('weights that were superseded twice still end by their own time', namedTwice);
test('a seed gives the same trace twice', sameTrace);
