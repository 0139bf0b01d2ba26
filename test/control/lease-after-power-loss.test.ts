import { makeCore, documentOf, PATHS } from './deploymentrig';
import { BOUNDS, followAt } from './follower-rig';

/** Ms from when a majority and the follower are up until the follower has its leases. */
async function returns(seed: number): Promise<number> {
  const rig = makeCore(seed);
  expect(
    (await rig.settled(rig.insist(0, PATHS.replace, 0, documentOf(1, ['/a/']), 9000)))?.status,
  ).toBe(200);
  const router = rig.w.proc('router-1', '10.2.0.1');
  followAt(rig, router);
  await rig.pass(2000);
  for (const proc of [...rig.core, router]) rig.w.kill(proc, true);
  await rig.pass(900);
  const late = [0, 230, 340];
  for (const proc of rig.core) rig.w.revive(proc);
  rig.w.revive(router);
  rig.start(rig.core[seed % 3]);
  const follower = followAt(rig, router);
  await rig.pass(late[1]);
  rig.start(rig.core[(seed + 1) % 3]);
  const began = rig.w.now();
  while (!follower.hasLease() && rig.w.now() < began + 5000) await rig.pass(5);
  rig.start(rig.core[(seed + 2) % 3]);
  await rig.pass(late[2] - late[1]);
  expect(follower.value<{ revision: number }>('deployment')?.value.revision).toBe(1);
  return rig.w.now() - began - (late[2] - late[1]);
}

async function soon(): Promise<void> {
  const took: number[] = [];
  for (let seed = 1; seed <= 12; seed++) took.push(await returns(seed));
  for (const ms of took) expect(ms).toBeLessThan(BOUNDS.retryPauseMs * 1.2);
}

test('after all lost power, a router has its leases soon after a quorum is up', soon);
