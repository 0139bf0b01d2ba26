import { lagMetricRows, makeFollowerLag } from '../../src/control/leases/follower-lag';
import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { Version } from '../../src/shared/state/versions';
import { makeNewsRig } from '../../tools/sim/news/rig';

function placeAt(number: number): Version {
  return { epoch: 1, by: 'core', number };
}

function countsFromTheFirstLacking(): void {
  let now = 0;
  function clock(): number {
    return now;
  }
  const lag = makeFollowerLag(clock);
  for (now = 100; now <= 300; now += 100)
    lag.note({ key: 'k', ...placeAt(now / 100), value: undefined });
  now = 1000;
  lag.note({ key: 'k', ...placeAt(3), epoch: 2, value: undefined });
  expect(lag.lagMs('k', undefined)).toBe(900);
  expect(lag.lagMs('k', placeAt(1))).toBe(800);
  expect(lag.lagMs('k', placeAt(3))).toBe(0);
  expect(lag.lagMs('other', undefined)).toBe(0);
}

/** A router that is cut off is behind for as long as its lease may last. */
async function ofARouterThatIsCutOff(): Promise<void> {
  const rig = makeNewsRig(3, 3);
  await rig.pass(3000);
  for (const proc of rig.followerProcs) rig.startFollower(proc);
  await rig.pass(2000);
  for (let i = 1; i <= 5; i++) rig.world.cut(`10.1.0.${i}`, rig.followerProcs[0].ip, true);
  const { leases } = rig.ownerOf(CONTROL_KEYS.engines)!;
  void rig.ownerOf(CONTROL_KEYS.engines)!.change({ kind: 'engines', engines: [] });
  await rig.pass(1100);
  expect(leases.routerLagMs(CONTROL_KEYS.engines)).toBeGreaterThanOrEqual(1000);
  expect(leases.lagRows().join()).toMatch(/router_lag_ms\{key="engines"\} 1\d\d\d/);
  await rig.pass(2000);
  expect(leases.routerLagMs(CONTROL_KEYS.engines)).toBe(0);
}

function asRows(): void {
  function lagOf(key: string): number {
    return key.length + 0.4;
  }
  expect(lagMetricRows(['a', 'bcd'], lagOf)).toEqual([
    'plumhollow_controller_router_lag_ms{key="a"} 1',
    'plumhollow_controller_router_lag_ms{key="bcd"} 3',
  ]);
}

test('a lag counts from the first version that is lacking', countsFromTheFirstLacking);
test('a router that is cut off is behind until its lease is over', ofARouterThatIsCutOff);
test('lags are told by key', asRows);
