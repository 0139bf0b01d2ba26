/**
 * Starts a router that serves a platform: it follows the core, and its gateway takes callers.
 */

import { Left, Right } from 'purify-ts';
import { errorOrValue, Result } from '../shared/errors/errors';
import { followCore } from '../shared/replication/follower';
import { Ports } from '../shared/ports/ports';
import { Connection } from '../shared/ports/network';
import { timeLimitsOf } from '../shared/settings/time-limits';
import { Settings } from '../shared/settings/settings';
import { openChannel, HelloHandlers } from '../shared/transport/connections';
import { helloOf } from '../shared/transport/hello';
import { PlatformAdapter } from '../shared/platform-adapter/platform-adapter';
import { startGateway } from './gateway/gateway';
import { routerMember } from './router-member';

/** A running router of either manner of speaking. */
export interface RunningRouter {
  /** Closes all sockets, and gives the leases back. */
  stop: () => Promise<void>;
  /** Comes once nothing is in flight, or the time of a drain is over. */
  drain: () => Promise<void>;
}

/** Starts a router that speaks by an adapter. Errors: a socket can't be listened on. */
export async function startDialectRouter(
  ports: Ports,
  settings: Settings,
  adapter: PlatformAdapter,
): Promise<Result<RunningRouter>> {
  const hello = helloOf(settings, 'router');
  const member = routerMember(ports, settings);
  const handlers: object[] = [new HelloHandlers(hello)];
  const timeLimits = timeLimitsOf(settings);
  const follower = followCore(ports, {
    timeLimits,
    hello,
    member,
    seeds: settings.seeds,
    handlers,
  });
  function accept(connection: Connection): void {
    openChannel(ports, connection, handlers);
  }
  const [wireError, wire] = errorOrValue(await ports.network.listen(settings.wire, accept));
  if (wireError) return Left(wireError);
  const [gatewayError, gateway] = errorOrValue(
    await startGateway(ports, settings, follower, adapter, handlers),
  );
  if (gatewayError) return Left(gatewayError);
  const drain = gateway.drain.bind(gateway);
  const stopGateway = gateway.stop.bind(gateway);
  const closeWire = wire.close;

  async function stop(): Promise<void> {
    await stopGateway();
    await follower.releaseLeases();
    follower.stop();
    await closeWire();
  }

  return Right({ stop, drain });
}
