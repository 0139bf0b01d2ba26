/**
 * Starts a router that serves a platform: it follows the core, and its gateway takes callers.
 */

import { Left, Right } from 'purify-ts';
import { errorOrValue, Result } from '../shared/errors/errors';
import { Ports } from '../shared/ports/ports';
import { Connection } from '../shared/ports/network';
import { timeLimitsOf } from '../shared/settings/time-limits';
import { Settings } from '../shared/settings/settings';
import { openChannel } from '../shared/transport/peer-channel';
import { PlatformAdapter } from '../shared/platform-adapter/platform-adapter';
import { startGateway } from './gateway/gateway';
import { joinAsRouter } from './router-identity';

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
  const { follower, handlers } = joinAsRouter(ports, settings, timeLimitsOf(settings));
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
