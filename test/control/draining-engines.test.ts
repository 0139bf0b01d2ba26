import { Right } from 'purify-ts';
import { Controller } from '../../src/control/controller';
import { watchEngineList } from '../../src/control/singletons/engine-list-watch';
import { timeLimitsOf } from '../../src/shared/settings/time-limits';
import { Ports } from '../../src/shared/ports/ports';
import { defaultSettings } from '../../src/shared/settings/settings';
import { Engine } from '../../src/shared/state/engines';
import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { makeNewsRig, NEWS_BOUNDS, NewsRig } from '../../tools/sim/news/rig';
import { makeWorld } from '../../tools/sim/simworld';

const ENGINE: Engine = {
  id: 'a',
  at: '10.9.0.1:8000',
  zone: 'a',
  model: 'm',
  weights: '1',
  leaving: false,
};
const FOLLOWERS = 3;

async function listed(rig: NewsRig, engines: Engine[]): Promise<void> {
  const owner = rig.ownerOf(CONTROL_KEYS.engines)!;
  await owner.change({ kind: 'engines', engines });
}

function heardOf(rig: NewsRig): boolean[] {
  return [...rig.followers.values()].map(hasHeard);
}

function hasHeard(follower: { isDraining: (id: string) => boolean }): boolean {
  return follower.isDraining(ENGINE.id);
}

async function startRig(): Promise<NewsRig> {
  const rig = makeNewsRig(3, FOLLOWERS);
  await rig.pass(3000);
  for (const proc of rig.followerProcs) rig.startFollower(proc);
  await rig.pass(2000);
  return rig;
}

/** A list that was read before the engine left, and is committed after routers heard that it leaves. */
async function outlastsOlderList(): Promise<void> {
  const rig = await startRig();
  rig.ownerOf(CONTROL_KEYS.engines)!.leases.notifyAll('leaving', [ENGINE.id]);
  await rig.pass(100);
  expect(heardOf(rig)).toEqual([true, true, true]);
  void listed(rig, [ENGINE]);
  await rig.pass(500);
  expect(heardOf(rig)).toEqual([true, true, true]);
  void listed(rig, [{ ...ENGINE, leaving: true }]);
  await rig.pass(500);
  void listed(rig, [ENGINE]);
  await rig.pass(500);
  expect(heardOf(rig)).toEqual([false, false, false]);
}

/** An engine that no list shows as leaving any more serves again after the bound. */
async function endsWithTheBound(): Promise<void> {
  const rig = await startRig();
  rig.ownerOf(CONTROL_KEYS.engines)!.leases.notifyAll('leaving', [ENGINE.id]);
  void listed(rig, [ENGINE]);
  await rig.pass(NEWS_BOUNDS.leavingBoundMs + 100);
  expect(heardOf(rig)).toEqual([false, false, false]);
}

/** The platform's list shows that an engine leaves while no majority takes the list yet. */
async function toldBeforeTheList(): Promise<void> {
  const world = makeWorld(1, false);
  const proc = world.proc('core-1', '10.1.0.1');
  const told: unknown[] = [];
  const settings = { ...defaultSettings(), platform: '10.0.0.1:80' };
  function tell(type: string, body: unknown): void {
    told.push([type, body]);
  }
  function never(): Promise<never> {
    return new Promise(nothing);
  }
  function nothing(): void {
    // does nothing on purpose
  }
  function yes(): boolean {
    return true;
  }
  function no(): boolean {
    return false;
  }
  function value(): { value: Engine[] } {
    return { value: [ENGINE] };
  }
  function ask(): Promise<unknown> {
    const pieces = [JSON.stringify({ engines: [{ ...ENGINE, leaving: true }] })];
    function next(): Promise<unknown> {
      return Promise.resolve(Right(pieces.shift()));
    }
    return Promise.resolve(Right({ status: 200, headers: {}, nextChunk: next }));
  }
  const controller = {
    settings,
    timeLimits: timeLimitsOf(settings),
    isStopped: no,
    isPreferredOwner: yes,
    hasQuorum: yes,
    keyOwner: { owns: yes },
    committedValue: value,
    change: never,
    leases: { notifyAll: tell },
  } as unknown as Controller;
  const ports = {
    clock: world.clock(proc),
    network: { request: ask },
    logger: world.log(proc),
  } as unknown as Ports;
  void watchEngineList(controller, ports);
  await world.run(2000);
  expect(told).toEqual([['leaving', [ENGINE.id]]]);
}

test('that an engine leaves outlasts a list from before', outlastsOlderList);
test(
  'that an engine leaves is forgotten after the bound, where lists show it serving',
  endsWithTheBound,
);
test('routers hear that an engine leaves before its list is committed', toldBeforeTheList);
