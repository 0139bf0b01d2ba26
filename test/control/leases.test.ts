import { LeaseRegistry } from '../../src/control/leases/lease-registry';
import { openControlStore } from '../../src/control/storage/control-store';
import { errorOrValue } from '../../src/shared/errors/errors';
import { timeLimitsOf } from '../../src/shared/settings/time-limits';
import { PeerChannel } from '../../src/shared/transport/peer-channel';
import { VersionedValue } from '../../src/shared/state/versions';
import { makeSimFleet } from '../../tools/sim/simfleet';
import { makeNet } from '../../tools/sim/simwire';
import { makeWorld } from '../../tools/sim/simworld';

interface LeaseRig {
  leases: LeaseRegistry;
  lease: (incarnation: string, has: number) => Promise<boolean>;
  leave: (incarnation: string) => Promise<void>;
  learn: (number: number) => Promise<void>;
  effect: (number: number) => Promise<boolean>;
  pass: (ms: number) => Promise<void>;
}

/** One controller's leases under virtual time, old enough to speak of what is in effect. */
async function makeLeaseRig(): Promise<LeaseRig> {
  const world = makeWorld(1, false);
  const ports = makeNet(world).ports(world.proc('node', '127.10.1.1'));
  const timeLimits = timeLimitsOf(
    makeSimFleet(1, 'saffron-bay', 1, 1, false).settings('c', '', '', ''),
  );
  let ranUntil = 0;
  async function pass(ms: number): Promise<void> {
    await world.run((ranUntil += ms));
  }
  async function drive<T>(result: Promise<T>): Promise<T> {
    let done = false;
    function finish(): void {
      done = true;
    }
    void result.then(finish);
    while (!done) await pass(10);
    return result;
  }
  const [, store] = errorOrValue(await drive(openControlStore(ports, 1 << 20)));
  function voters(): { now: [] } {
    return { now: [] };
  }
  const leases = new LeaseRegistry(store!, ports, timeLimits, voters);
  const silentChannel = { request: never } as unknown as PeerChannel;
  function never(): Promise<never> {
    return new Promise(nothing);
  }
  function nothing(): void {
    // does nothing on purpose
  }
  function versionOf(number: number): { key: string; epoch: number; by: string; number: number } {
    return { key: 'k', epoch: 1, by: 'a', number };
  }
  function requestOf(incarnation: string, has: number): Parameters<LeaseRegistry['lease']>[0] {
    return {
      member: { name: 'edge-1', role: 'router', at: '', http: '', zone: '', life: incarnation },
      has: [['k', 1, 'a', has]],
    };
  }
  async function lease(incarnation: string, has: number): Promise<boolean> {
    return (
      (await leases.lease(requestOf(incarnation, has), silentChannel)).extract() as {
        granted: boolean;
      }
    ).granted;
  }
  async function leave(incarnation: string): Promise<void> {
    await leases.leave(requestOf(incarnation, 0));
  }
  async function learn(number: number): Promise<void> {
    const change: VersionedValue = { ...versionOf(number), value: number };
    await drive(store!.put({ key: 'k', learned: change }));
    leases.publish(change);
  }
  async function effect(number: number): Promise<boolean> {
    return (await drive(leases.effect({ ...versionOf(number), within: 20 }))).isRight();
  }
  await pass(timeLimits.leaseExpiryMs + 10);
  return { leases, lease, leave, learn, effect, pass };
}

async function twoLives(): Promise<void> {
  const rig = await makeLeaseRig();
  await rig.learn(1);
  expect(await rig.lease('frozen', 1)).toBe(true);
  await rig.learn(2);
  expect(await rig.lease('new', 2)).toBe(true);
  expect(await rig.effect(2)).toBe(false);
  expect(rig.leases.members()).toHaveLength(2);
  await rig.leave('new');
  expect(await rig.effect(2)).toBe(false);
  await rig.pass(1600);
  expect(await rig.effect(2)).toBe(true);
}

async function notLearnedHere(): Promise<void> {
  const rig = await makeLeaseRig();
  await rig.learn(1);
  expect(await rig.effect(2)).toBe(false);
  await rig.learn(2);
  expect(await rig.effect(2)).toBe(true);
}

test('a frozen router keeps its lease when a new process of its name asks for one', twoLives);
test(
  'a controller that has not learned a change does not say that it is in effect',
  notLearnedHere,
);
