import { PermitTable, WantedPermits } from '../../src/control/warm-up/permit-table';
import { HeldPermits } from '../../src/shared/replication/warm-up-permits';
import { manualClock, ManualClock } from '../shared/manual-clock';

const QUOTA = 4;
const TIMES = { afterGrantMs: 3000, afterReleaseMs: 1200 };

function want(count: number): WantedPermits[] {
  return [{ engine: 'i-1', count, quota: QUOTA }];
}

function makeTable(): { table: PermitTable; clock: ManualClock } {
  const clock = manualClock();
  return { table: new PermitTable(clock, TIMES), clock };
}

function withinQuota(): void {
  const { table, clock } = makeTable();
  expect(table.grant('one', want(3), false)).toEqual([['i-1', 3]]);
  expect(table.grant('other', want(3), false)).toEqual([['i-1', 1]]);
  expect(table.grant('third', want(3), false)).toEqual([]);
  clock.holdUp(TIMES.afterGrantMs);
  expect(table.grant('third', want(3), false)).toEqual([['i-1', 3]]);
  expect(table.grantedCount()).toBe(7);
}

function unknownReduction(): void {
  const { table, clock } = makeTable();
  table.grant('one', want(4), false);
  clock.holdUp(100);
  expect(table.grant('one', want(1), false)).toEqual([['i-1', 1]]);
  clock.holdUp(TIMES.afterReleaseMs);
  table.grant('one', want(1), false);
  expect(table.committed('i-1')).toBe(4);
  expect(table.grant('other', want(3), false)).toEqual([]);
  clock.holdUp(TIMES.afterGrantMs - TIMES.afterReleaseMs - 100);
  expect(table.grant('other', want(3), false)).toEqual([['i-1', 3]]);
}

function knownReduction(): void {
  const { table, clock } = makeTable();
  table.grant('one', want(4), false);
  table.grant('one', [], true);
  table.grant('one', [], true);
  clock.holdUp(TIMES.afterReleaseMs - 1);
  expect(table.grant('other', want(4), false)).toEqual([]);
  clock.holdUp(1);
  expect(table.grant('other', want(4), false)).toEqual([['i-1', 4]]);
}

function released(): void {
  const { table, clock } = makeTable();
  table.grant('one', want(4), false);
  table.release('one');
  clock.holdUp(TIMES.afterReleaseMs - 1);
  expect(table.committed('i-1')).toBe(4);
  clock.holdUp(1);
  expect(table.committed('i-1')).toBe(0);
}

function heldPermits(): void {
  const clock = manualClock();
  const held = new HeldPermits(clock.now);
  const grant = { requestedAt: 0, expiresAt: 1750, isComplete: false };
  held.note({ ...grant, disk: 'a', permits: [['i-1', 2]] });
  held.note({ ...grant, disk: 'b', permits: [['i-1', 1]], expiresAt: 1000 });
  expect(held.count('i-1')).toBe(3);
  clock.holdUp(1000);
  expect(held.count('i-1')).toBe(2);
  held.note({ ...grant, disk: 'a', requestedAt: 500, expiresAt: 2250 });
  held.note({ ...grant, disk: 'a', permits: [['i-1', 9]] });
  clock.holdUp(1000);
  expect(held.count('i-1')).toBe(2);
  held.note({ ...grant, disk: 'a', requestedAt: 900, expiresAt: 2650, isComplete: true });
  expect(held.count('i-1')).toBe(0);
  held.giveBack();
  held.note({ ...grant, disk: 'a', requestedAt: 950, expiresAt: 2700, permits: [['i-1', 2]] });
  expect(held.count('i-1')).toBe(0);
}

test('permits stay within the quota, and end where they are not renewed', withinQuota);
// Guards against FAILBACK: a router whose reply was lost may still use what it was granted before.
test(
  'a grant that was reduced counts until its own end where its router may not know',
  unknownReduction,
);
test('a grant that was reduced ends soon once its router has renewed after that', knownReduction);
test('permits that were given back may be granted again once they can have no effect', released);
test(
  'a router adds up what controllers grant, each for its own time, and takes nothing after it left',
  heldPermits,
);
