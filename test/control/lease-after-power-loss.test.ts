import { openChannel } from '../../src/shared/transport/peer-channel';
import { HelloHandlers } from '../../src/shared/transport/hello-handlers';
import { PROTOCOL_VERSION } from '../../src/shared/transport/hello';
import { followCore, Follower } from '../../src/shared/replication/follower';
import { timeLimitsOf } from '../../src/shared/settings/time-limits';
import { defaultSettings } from '../../src/shared/settings/settings';
import { Proc } from '../../tools/sim/process';
import { CoreRig, makeCore, documentOf, PATHS } from './deploymentrig';

const BOUNDS = timeLimitsOf({ ...defaultSettings(), strict: false });

function followAt(rig: CoreRig, router: Proc): Follower {
  const ports = rig.net.ports(router);
  const address = `${router.ip}:7000`;
  const hello = {
    version: PROTOCOL_VERSION,
    name: router.name,
    role: 'router',
    at: address,
    zone: router.name,
  };
  const edges: object[] = [new HelloHandlers(hello)];
  void ports.network.listen(address, taken);
  function taken(connection: Parameters<typeof openChannel>[1]): void {
    openChannel(ports, connection, edges);
  }
  return followCore(ports, {
    timeLimits: BOUNDS,
    hello,
    member: {
      name: router.name,
      role: 'router',
      at: address,
      http: address,
      zone: router.name,
      life: ports.random.uuid().slice(0, 8),
    },
    seeds: rig.core.map(wireOf),
    handlers: edges,
  });
}

function wireOf(router: Proc): string {
  return `${router.ip}:7000`;
}

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
