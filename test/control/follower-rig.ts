import { openChannel } from '../../src/shared/transport/peer-channel';
import { HelloHandlers } from '../../src/shared/transport/hello-handlers';
import { PROTOCOL_VERSION } from '../../src/shared/transport/hello';
import { followCore, Follower } from '../../src/shared/replication/follower';
import { timeLimitsOf } from '../../src/shared/settings/time-limits';
import { defaultSettings } from '../../src/shared/settings/settings';
import { Proc } from '../../tools/sim/process';
import { CoreRig } from './deploymentrig';

/** The time limits of followers. */
export const BOUNDS = timeLimitsOf({ ...defaultSettings(), strict: false });

/** Starts a router's follower on a machine, in a zone of its own where none is given. */
export function followAt(rig: CoreRig, router: Proc, zone = router.name): Follower {
  const ports = rig.net.ports(router);
  const address = wireOf(router);
  const hello = {
    version: PROTOCOL_VERSION,
    name: router.name,
    role: 'router',
    at: address,
    zone,
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
      zone,
      life: ports.random.uuid().slice(0, 8),
    },
    seeds: rig.core.map(wireOf),
    handlers: edges,
  });
}

function wireOf(machine: Proc): string {
  return `${machine.ip}:7000`;
}
