import { VoterHealthTracker } from '../../src/control/membership/voter-health';
import { timeLimitsOf } from '../../src/shared/settings/time-limits';
import { defaultSettings } from '../../src/shared/settings/settings';
import { Voter } from '../../src/shared/state/voter-set';
import { Clock } from '../../src/shared/ports/clock';

const VOTER: Voter = { disk: 'd1', at: '10.0.0.1:7000' };
const TIME_LIMITS = timeLimitsOf(defaultSettings());

/** A tracker whose view of the one voter a test sets. */
function makeTracker(): {
  tracker: VoterHealthTracker;
  view: { nowMs: number; up: boolean; leaving: boolean; otherDisk: boolean };
} {
  const view = { nowMs: 0, up: true, leaving: false, otherDisk: false };
  function now(): number {
    return view.nowMs;
  }
  function isUp(): boolean {
    return view.up;
  }
  function isLeaving(): boolean {
    return view.leaving;
  }
  function hasOtherDisk(): boolean {
    return view.otherDisk;
  }
  const clock = { now } as Clock;
  const timeLimits = TIME_LIMITS;
  const tracker = new VoterHealthTracker({ clock, timeLimits, isUp, isLeaving, hasOtherDisk });
  return { tracker, view };
}

function isLostOnlyAfterTheLimit(): void {
  const { tracker, view } = makeTracker();
  expect(tracker.healthOf(VOTER)).toBe('here');
  view.up = false;
  tracker.observe({ now: [VOTER] });
  view.nowMs = TIME_LIMITS.voterLostAfterMs;
  expect([tracker.healthOf(VOTER), tracker.isGone(VOTER)]).toEqual(['away', false]);
  view.nowMs += 1;
  expect([tracker.healthOf(VOTER), tracker.isGone(VOTER)]).toEqual(['lost', true]);
}

function startsAnewAfterAReturn(): void {
  const { tracker, view } = makeTracker();
  for (const up of [false, true, false]) {
    view.up = up;
    view.nowMs += TIME_LIMITS.voterLostAfterMs;
    tracker.observe({ now: [VOTER] });
  }
  view.nowMs += TIME_LIMITS.voterLostAfterMs;
  expect(tracker.healthOf(VOTER)).toBe('away');
}

function ordersCauses(): void {
  const { tracker, view } = makeTracker();
  view.leaving = true;
  expect([tracker.healthOf(VOTER), tracker.isGone(VOTER)]).toEqual(['leaving', false]);
  view.otherDisk = true;
  expect([tracker.healthOf(VOTER), tracker.isGone(VOTER)]).toEqual(['emptied', true]);
}

test('a voter is lost once it was unreachable for longer than the limit', isLostOnlyAfterTheLimit);
test('the time without a connection starts again after a return', startsAnewAfterAReturn);
test('another disk counts before a leave, and a leave before a connection', ordersCauses);
