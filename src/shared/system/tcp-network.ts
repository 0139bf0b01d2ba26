/**
 * The network port, by the machine's own network.
 */

import { Result } from '../errors/errors';
import { Connection, IncomingRequest, Listener, Network } from '../ports/network';
import { makeHttpClient } from './http-client';
import { serveHttp } from './http-server';
import { acceptConnections, connectToProcess } from './message-connection';
import { defaultServerResources, ServerResources } from './server-resources';
import { boundAddress } from './sockets';

/**
 * The machine's network: Node's HTTP, and MessagePack over TCP. An HTTP connection may take `connectTimeoutMs`; `bind` is
 * the IP number to listen at and to connect from, where it is another than the one that the process tells. The functions
 * of the result need no `this`.
 */
export function makeSystemNetwork(
  connectTimeoutMs: number,
  bind = '',
  resources: ServerResources = defaultServerResources(),
): Network {
  const localAddress = bind === '' ? undefined : bind;

  function serve(
    address: string,
    onRequest: (call: IncomingRequest) => Promise<void>,
  ): Promise<Result<Listener>> {
    return serveHttp(boundAddress(address, bind), resources, onRequest);
  }

  function listen(
    address: string,
    onConnection: (connection: Connection) => void,
  ): Promise<Result<Listener>> {
    return acceptConnections(boundAddress(address, bind), resources, onConnection);
  }

  function connect(address: string, timeoutMs: number): Promise<Result<Connection>> {
    return connectToProcess(address, timeoutMs, localAddress, resources);
  }

  const request = makeHttpClient(connectTimeoutMs, localAddress, resources.maxWholeBytes);
  return { serveHttp: serve, request, listen, connect };
}
