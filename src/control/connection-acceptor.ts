import { closeIdleChannels, openChannel, PeerChannel } from '../shared/transport/connections';
import { Result } from '../shared/errors/errors';
import { Connection, Listener } from '../shared/ports/network';
import { Ports } from '../shared/ports/ports';

/** What accepting connections needs of its controller. */
export interface ConnectionAcceptorDependencies {
  ports: Ports;
  /** Where connections are taken. */
  address: string;
  handlers: readonly object[];
  /** A connection that is silent for this long is closed. */
  idleTimeoutMs: number;
  isStopped: () => boolean;
}

/** Takes connections, and closes those that fall silent, as a peer that holds one never does. */
export async function acceptConnections(
  p: ConnectionAcceptorDependencies,
): Promise<Result<Listener>> {
  const taken = new Set<PeerChannel>();
  const listening = await p.ports.network.listen(p.address, take);
  if (listening.isRight()) void closeIdleChannels(p.ports, taken, p.idleTimeoutMs, p.isStopped);
  return listening;

  function take(connection: Connection): void {
    const exchange = openChannel(p.ports, connection, p.handlers);
    taken.add(exchange);
    void exchange.closed.then(forget);
    function forget(): void {
      taken.delete(exchange);
    }
  }
}
