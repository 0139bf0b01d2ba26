import {
  openChannel,
  HelloHandlers,
  PROTOCOL_VERSION,
} from '../../src/shared/transport/connections';
import { followCore, Follower } from '../../src/shared/replication/follower';
import { timeLimitsOf } from '../../src/shared/settings/time-limits';
import { defaultSettings } from '../../src/shared/settings/settings';
import { Proc } from '../../tools/sim/simworld';
import { CoreRig, makeCore, documentOf, PATHS } from './deploymentrig';

const BOUNDS = timeLimitsOf({ ...defaultSettings(), strict: false });

function followAt(f: CoreRig, p: Proc): Follower {
  const ports = f.net.ports(p);
  const at = `${p.ip}:7000`;
  const hello = { version: PROTOCOL_VERSION, name: p.name, role: 'router', at, zone: p.name };
  const edges: object[] = [new HelloHandlers(hello)];
  void ports.network.listen(at, taken);
  function taken(c: Parameters<typeof openChannel>[1]): void {
    openChannel(ports, c, edges);
  }
  return followCore(
    ports,
    BOUNDS,
    hello,
    {
      name: p.name,
      role: 'router',
      at,
      http: at,
      zone: p.name,
      life: ports.random.uuid().slice(0, 8),
    },
    f.core.map(wireOf),
    edges,
  );
}

function wireOf(p: Proc): string {
  return `${p.ip}:7000`;
}

/** Ms from when a majority and the follower are up until the follower has its leases. */
async function returns(seed: number): Promise<number> {
  const f = makeCore(seed);
  expect(
    (await f.settled(f.insist(0, PATHS.replace, 0, documentOf(1, ['/a/']), 9000)))?.status,
  ).toBe(200);
  const p = f.w.proc('router-1', '10.2.0.1');
  followAt(f, p);
  await f.pass(2000);
  for (const x of [...f.core, p]) f.w.kill(x, true);
  await f.pass(900);
  const late = [0, 230, 340];
  for (const x of f.core) f.w.revive(x);
  f.w.revive(p);
  f.start(f.core[seed % 3]);
  const follower = followAt(f, p);
  await f.pass(late[1]);
  f.start(f.core[(seed + 1) % 3]);
  const began = f.w.now();
  while (!follower.hasLease() && f.w.now() < began + 5000) await f.pass(5);
  f.start(f.core[(seed + 2) % 3]);
  await f.pass(late[2] - late[1]);
  expect(follower.value<{ revision: number }>('deployment')?.value.revision).toBe(1);
  return f.w.now() - began - (late[2] - late[1]);
}

async function soon(): Promise<void> {
  const took: number[] = [];
  for (let seed = 1; seed <= 12; seed++) took.push(await returns(seed));
  for (const ms of took) expect(ms).toBeLessThan(BOUNDS.retryPauseMs * 1.2);
}

test('after all lost power, a router has its leases soon after a majority is up', soon);
