/**
 * Accepts connections of peers, and closes those that are idle for too long.
 */

import { closeIdleChannels } from '../shared/transport/idle-channels';
import { openChannel, PeerChannel } from '../shared/transport/peer-channel';
import { Result } from '../shared/errors/errors';
import { Connection, Listener } from '../shared/ports/network';
import { Ports } from '../shared/ports/ports';

/** What accepting connections needs of its controller. */
export interface ConnectionAcceptorDependencies {
  ports: Ports;
  /** Where connections are accepted. */
  address: string;
  handlers: readonly object[];
  /** Holds the accepted connections that are open. */
  channels: Set<PeerChannel>;
  /** A connection on which nothing arrives for this many ms is closed; live peers never are silent for so long. */
  idleTimeoutMs: number;
  isStopped: () => boolean;
}

/** Listens, and dispatches what arrives on each accepted connection to the handlers. */
export async function acceptConnections(
  dependencies: ConnectionAcceptorDependencies,
): Promise<Result<Listener>> {
  const { ports, address, handlers, channels, idleTimeoutMs, isStopped } = dependencies;
  const listening = await ports.network.listen(address, accept);
  if (listening.isRight()) void closeIdleChannels(ports, channels, idleTimeoutMs, isStopped);
  return listening;

  function accept(connection: Connection): void {
    const channel = openChannel(ports, connection, handlers);
    channels.add(channel);
    void channel.closed.then(forget);
    function forget(): void {
      channels.delete(channel);
    }
  }
}
