import { WarmUpReports } from '../../src/control/singletons/warm-up-reports';
import { Engine } from '../../src/shared/state/engines';
import { manualClock } from '../shared/manual-clock';

const TOLERANCE_MS = 400;

function engine(warmMs: number): Engine {
  return { id: 'i-1', at: '', zone: 'a', model: '', weights: '', leaving: false, warmMs };
}

function warmMsOf(list: readonly Engine[]): number | undefined {
  return list[0]?.warmMs;
}

function countsDown(): void {
  const clock = manualClock();
  const reports = new WarmUpReports(clock, TOLERANCE_MS);
  let committed = reports.keepFirst([], [engine(3000)]);
  clock.holdUp(800);
  committed = reports.keepFirst(committed, [engine(2200)]);
  expect(warmMsOf(committed)).toBe(3000);
  clock.holdUp(2300);
  expect(warmMsOf(reports.keepFirst(committed, [engine(0)]))).toBe(0);
}

function coldAgain(): void {
  const clock = manualClock();
  const reports = new WarmUpReports(clock, TOLERANCE_MS);
  const committed = reports.keepFirst([], [engine(3000)]);
  clock.holdUp(2000);
  expect(warmMsOf(reports.keepFirst(committed, [engine(2500)]))).toBe(2500);
}

function coldAgainWithTheSameTime(): void {
  const clock = manualClock();
  const reports = new WarmUpReports(clock, TOLERANCE_MS);
  const committed = reports.keepFirst([], [engine(3000)]);
  clock.holdUp(2500);
  expect(warmMsOf(reports.keepFirst(committed, [engine(3000)]))).toBe(3001);
}

function otherWatcher(): void {
  const reports = new WarmUpReports(manualClock(), TOLERANCE_MS);
  expect(warmMsOf(reports.keepFirst([engine(3000)], [engine(2900)]))).toBe(2900);
}

test('a warm-up that counts down stays as it was first reported, until it is over', countsDown);
// Guards against FAILBACK: the first report hid that an engine had turned cold again.
test('an engine that turns cold again while it warms up is reported anew', coldAgain);
// Guards against FAILBACK: a new report that equals the committed one would change nothing at routers.
test('a new report never equals the one that is committed', coldAgainWithTheSameTime);
// Guards against FAILBACK: a watcher that takes over can't know when the committed report was made.
test('a watcher that takes over reports anew', otherWatcher);
