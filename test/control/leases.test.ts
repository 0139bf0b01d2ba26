import { LeaseRegistry } from '../../src/control/leases/lease-registry';
import { openControlStore } from '../../src/control/storage/control-store';
import { errorOrValue } from '../../src/shared/errors/errors';
import { timeLimitsOf } from '../../src/shared/settings/time-limits';
import { PeerChannel } from '../../src/shared/transport/connections';
import { VersionedValue } from '../../src/shared/state/versions';
import { makeSimFleet } from '../../tools/sim/simfleet';
import { makeNet } from '../../tools/sim/simwire';
import { makeWorld } from '../../tools/sim/simworld';

interface Desk {
  leases: LeaseRegistry;
  lease: (life: string, has: number) => Promise<boolean>;
  leave: (life: string) => Promise<void>;
  learn: (number: number) => Promise<void>;
  effect: (number: number) => Promise<boolean>;
  pass: (ms: number) => Promise<void>;
}

/** One controller's leases under virtual time, old enough to speak of what is in effect. */
async function desk(): Promise<Desk> {
  const w = makeWorld(1, false);
  const ports = makeNet(w).ports(w.proc('node', '127.10.1.1'));
  const bounds = timeLimitsOf(
    makeSimFleet(1, 'saffron-bay', 1, 1, false).settings('c', '', '', ''),
  );
  let upTo = 0;
  async function pass(ms: number): Promise<void> {
    await w.run((upTo += ms));
  }
  async function drive<T>(p: Promise<T>): Promise<T> {
    let done = false;
    function told(): void {
      done = true;
    }
    void p.then(told);
    while (!done) await pass(10);
    return p;
  }
  const [, slots] = errorOrValue(await drive(openControlStore(ports, 1 << 20)));
  function voters(): { now: [] } {
    return { now: [] };
  }
  const leases = new LeaseRegistry(slots!, ports, bounds, voters);
  const deaf = { request: never } as unknown as PeerChannel;
  function never(): Promise<never> {
    return new Promise(nothing);
  }
  function nothing(): void {}
  function place(number: number): { key: string; epoch: number; by: string; number: number } {
    return { key: 'k', epoch: 1, by: 'a', number };
  }
  function asks(life: string, has: number): Parameters<LeaseRegistry['lease']>[0] {
    return {
      member: { name: 'edge-1', role: 'router', at: '', http: '', zone: '', life },
      has: [['k', 1, 'a', has]],
    };
  }
  async function lease(life: string, has: number): Promise<boolean> {
    return ((await leases.lease(asks(life, has), deaf)).extract() as { granted: boolean }).granted;
  }
  async function leave(life: string): Promise<void> {
    await leases.leave(asks(life, 0));
  }
  async function learn(number: number): Promise<void> {
    const n: VersionedValue = { ...place(number), value: number };
    await drive(slots!.put({ key: 'k', learned: n }));
    leases.publish(n);
  }
  async function effect(number: number): Promise<boolean> {
    return (await drive(leases.effect({ ...place(number), within: 20 }))).isRight();
  }
  await pass(bounds.leaseExpiryMs + 10);
  return { leases, lease, leave, learn, effect, pass };
}

async function twoLives(): Promise<void> {
  const d = await desk();
  await d.learn(1);
  expect(await d.lease('frozen', 1)).toBe(true);
  await d.learn(2);
  expect(await d.lease('new', 2)).toBe(true);
  expect(await d.effect(2)).toBe(false);
  expect(d.leases.members()).toHaveLength(2);
  await d.leave('new');
  expect(await d.effect(2)).toBe(false);
  await d.pass(1600);
  expect(await d.effect(2)).toBe(true);
}

async function notLearnedHere(): Promise<void> {
  const d = await desk();
  await d.learn(1);
  expect(await d.effect(2)).toBe(false);
  await d.learn(2);
  expect(await d.effect(2)).toBe(true);
}

test('a frozen router keeps its claim when a new process of its name asks for one', twoLives);
test(
  'a controller that has not learned a change does not say that it is in effect',
  notLearnedHere,
);
