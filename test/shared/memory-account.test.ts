import { MemoryAccount, MemoryHold, MemoryHolder } from '../../src/shared/limits/memory-account';
import { manualClock, ManualClock } from './manual-clock';

const PATIENCE_MS = 100;
const OPTIONS = {
  capacityBytes: 1000,
  reserveBytes: 100,
  smallBytes: 50,
  maxHolders: 5,
  patienceMs: PATIENCE_MS,
};

/** A holder that a test makes evictable or not. */
class Holder implements MemoryHolder {
  hold!: MemoryHold;
  wasEvicted = false;

  constructor(private readonly evictable: boolean) {}

  isEvictable(): boolean {
    return this.evictable;
  }

  evict(): void {
    this.wasEvicted = true;
    this.hold.close();
  }
}

let clock: ManualClock;
let account: MemoryAccount;

function open(bytes: number, evictable = true): Holder {
  const holder = new Holder(evictable);
  holder.hold = account.open(holder, bytes)!;
  return holder;
}

function ignore(): void {
  // what is granted later is read from the account
}

function begin(): void {
  clock = manualClock();
  account = new MemoryAccount(clock, OPTIONS);
}

/** Work that needs more than there is waits, and goes on when others have released theirs. */
function waitsForRoom(): void {
  const first = open(0);
  const second = open(0);
  expect(first.hold.reserve(800, ignore)).toBe(true);
  let isGranted = false;
  function onGranted(): void {
    isGranted = true;
  }
  expect(second.hold.reserve(500, onGranted)).toBe(false);
  expect([isGranted, second.hold.bytes]).toEqual([false, 0]);
  first.hold.release(800);
  expect([isGranted, second.hold.bytes]).toEqual([true, 500]);
}

/** After the patience the holder that has held most for longest gives way, and nobody else. */
async function costliestGivesWay(): Promise<void> {
  const large = open(0);
  const small = open(0);
  large.hold.reserve(600, ignore);
  small.hold.reserve(300, ignore);
  await clock.advance(PATIENCE_MS);
  const newcomer = open(0);
  newcomer.hold.reserve(400, ignore);
  expect(large.wasEvicted).toBe(false);
  await clock.advance(2 * PATIENCE_MS);
  expect([large.wasEvicted, small.wasEvicted]).toEqual([true, false]);
  expect(newcomer.hold.bytes).toBe(400);
}

/** One that gets on is left alone; so is one whose request may have run. */
async function leavesOthersAlone(): Promise<void> {
  const running = open(0, false);
  const moving = open(0);
  running.hold.reserve(500, ignore);
  moving.hold.reserve(400, ignore);
  const newcomer = open(0);
  newcomer.hold.reserve(400, ignore);
  for (let step = 0; step < 20; step++) {
    await clock.advance(PATIENCE_MS / 4);
    moving.hold.noteProgress();
  }
  expect([running.wasEvicted, moving.wasEvicted]).toEqual([false, false]);
  moving.hold.close();
  expect(newcomer.hold.bytes).toBe(400);
}

/** What holds little is served while the account is full for those that hold much. */
function keepsReserve(): void {
  open(0).hold.reserve(900, ignore);
  expect(open(0).hold.reserve(60, ignore)).toBe(false);
  expect(open(0).hold.reserve(50, ignore)).toBe(true);
}

/** The only work there is gets what it needs. */
function servesTheOnlyOne(): void {
  const only = open(10);
  expect(only.hold.reserve(5000, ignore)).toBe(true);
}

/** There are no more holders than may be: one that gets nowhere makes room, and without one the newcomer is refused. */
async function boundsHolders(): Promise<void> {
  const holders = [open(1, false), open(1, false), open(1, false), open(1, false), open(1)];
  expect(account.open(new Holder(true), 1)).toBeUndefined();
  await clock.advance(PATIENCE_MS);
  expect(account.open(new Holder(true), 1)).toBeDefined();
  expect(holders[4].wasEvicted).toBe(true);
  expect(account.figures()).toMatchObject({ holders: 5, evicted: 1, refused: 1 });
}

/** What was waited for is not granted to one that has closed. */
function forgetsClosed(): void {
  const first = open(0);
  first.hold.reserve(900, ignore);
  const gone = open(0);
  gone.hold.reserve(400, ignore);
  gone.hold.close();
  first.hold.close();
  expect(account.figures()).toMatchObject({ usedBytes: 0, waiting: 0, holders: 0 });
}

beforeEach(begin);

test('work waits for room, and goes on when there is some', waitsForRoom);
test('the holder that has held most for longest gives way', costliestGivesWay);
test('who gets on, or may have run, does not give way', leavesOthersAlone);
test('a reserve is kept for those that hold little', keepsReserve);
test('the only work there is gets what it needs', servesTheOnlyOne);
test('holders are bounded', boundsHolders);
test('one that has closed gets nothing more', forgetsClosed);
