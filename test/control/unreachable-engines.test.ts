import { UnreachableEngines } from '../../src/control/warm-up/unreachable-engines';
import { FollowerWarmUp } from '../../src/shared/replication/follower-warm-up';
import { Member } from '../../src/shared/state/members';
import { manualClock, ManualClock } from '../shared/manual-clock';
import { engineOf } from './warm-up-rig';

const REPORT_MS = 1750;

function router(name: string, zone: string): Member {
  return { name, role: 'router', at: '', http: '', zone, life: 'one' };
}

const NEAR = [router('near-1', 'zone-a'), router('near-2', 'zone-a'), router('near-3', 'zone-a')];
const FAR = [router('far-1', 'zone-b'), router('far-2', 'zone-b')];

function makeReports(members: readonly Member[]): {
  reports: UnreachableEngines;
  clock: ManualClock;
} {
  const clock = manualClock();
  const engines = [engineOf('i-1', 'zone-a')];
  function enginesOf(): typeof engines {
    return engines;
  }
  function membersOf(): readonly Member[] {
    return members;
  }
  const reports = new UnreachableEngines({
    clock,
    reportMs: REPORT_MS,
    engines: enginesOf,
    members: membersOf,
  });
  return { reports, clock };
}

function twoOfItsZone(): void {
  const { reports, clock } = makeReports([...NEAR, ...FAR]);
  reports.note(NEAR[0], ['i-1']);
  reports.note(NEAR[0], ['i-1']);
  expect(reports.list()).toEqual([]);
  reports.note(NEAR[1], ['i-1', 'i-unknown']);
  expect(reports.list()).toEqual(['i-1']);
  clock.holdUp(REPORT_MS);
  expect(reports.list()).toEqual([]);
}

function otherZones(): void {
  const { reports } = makeReports([...NEAR, ...FAR]);
  for (const member of FAR) reports.note(member, ['i-1']);
  reports.note(NEAR[0], ['i-1']);
  expect(reports.list()).toEqual([]);
}

function onlyRouter(): void {
  const { reports } = makeReports([NEAR[0], ...FAR]);
  reports.note(NEAR[0], ['i-1']);
  expect(reports.list()).toEqual(['i-1']);
}

function followerTellsAndHears(): void {
  const clock = manualClock();
  const heard: string[] = [];
  let wakes = 0;
  function wake(): void {
    wakes++;
  }
  function hear(engine: string): void {
    heard.push(engine);
  }
  const warmUp = new FollowerWarmUp(clock.now, REPORT_MS, wake);
  void warmUp.notices.observe(hear);
  warmUp.reportUnreachable('i-1');
  warmUp.reportUnreachable('i-1');
  expect(wakes).toBe(1);
  expect(warmUp.unreachable()).toEqual(['i-1']);
  clock.holdUp(REPORT_MS);
  expect(warmUp.unreachable()).toEqual([]);
  const update = { disk: 'a', requestedAt: 0, expiresAt: 1, isComplete: false };
  warmUp.note({ ...update, unreachable: ['i-2'] });
  warmUp.note(update);
  warmUp.note({ ...update, unreachable: ['i-2', 'i-3'] });
  expect(warmUp.reported()).toEqual(['i-2', 'i-3']);
  warmUp.note({ ...update, isComplete: true });
  expect(warmUp.reported()).toEqual([]);
  warmUp.note({ ...update, unreachable: ['i-2'] });
  expect(heard).toEqual(['i-2', 'i-3', 'i-2']);
}

// Guards against FAILBACK: only routers that had tried an engine while it was down knew that it may have started again.
test('an engine counts as unreachable once two routers of its zone report it', twoOfItsZone);
test('routers of other zones and a single router do not make an engine unreachable', otherZones);
test('the only router of a zone is believed', onlyRouter);
test(
  'a follower reports for some time, and hears of each engine once from each controller',
  followerTellsAndHears,
);
