import { closeSilent, converse, Exchange } from '../shared/transport/connections';
import { Outcome } from '../shared/errors/errors';
import { Connection, Listening, Ports } from '../shared/ports/ports';

/** What accepting connections needs of its controller. */
export interface AcceptParts {
  ports: Ports;
  /** Where connections are taken. */
  at: string;
  edges: readonly object[];
  /** A connection that is silent for this long is closed. */
  silence: number;
  stopped(): boolean;
}

/** Takes connections, and closes those that fall silent, as a peer that holds one never does. */
export async function acceptConnections(p: AcceptParts): Promise<Outcome<Listening>> {
  const taken = new Set<Exchange>();
  const listening = await p.ports.wire.accept(p.at, take);
  if (listening.isRight()) void closeSilent(p.ports, taken, p.silence, p.stopped);
  return listening;

  function take(connection: Connection): void {
    const exchange = converse(p.ports, connection, p.edges);
    taken.add(exchange);
    void exchange.done.then(forget);
    function forget(): void {
      taken.delete(exchange);
    }
  }
}
