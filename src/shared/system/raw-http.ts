/**
 * The raw HTTP port, by Node's own.
 */

import { Result } from '../errors/errors';
import {
  HttpConnection,
  RawHttpNetwork,
  RawIncomingRequest,
  RawListener,
  ServeLimits,
} from '../ports/raw-http';
import { connect } from './raw-http-client';
import { serve } from './raw-http-server';
import { defaultServerResources, ServerResources } from './server-resources';
import { boundAddress } from './sockets';

/**
 * The machine's raw HTTP; `bind` is the IP number to listen at and to connect from, where it is another than the one
 * that the process tells. The functions of the result need no `this`.
 */
export function makeRawHttpNetwork(
  bind = '',
  resources: ServerResources = defaultServerResources(),
): RawHttpNetwork {
  function connectFrom(address: string, timeoutMs: number): Promise<Result<HttpConnection>> {
    return connect(address, timeoutMs, bind === '' ? undefined : bind);
  }
  function serveAt(
    address: string,
    limits: ServeLimits,
    onRequest: (call: RawIncomingRequest) => Promise<void>,
  ): Promise<Result<RawListener>> {
    return serve(boundAddress(address, bind), limits, resources.account, onRequest);
  }
  return { serve: serveAt, connect: connectFrom };
}
