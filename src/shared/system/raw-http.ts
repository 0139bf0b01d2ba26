import { Result } from '../errors/errors';
import {
  HttpConnection,
  RawHttpNetwork,
  RawIncomingRequest,
  RawListener,
  ServeLimits,
} from '../ports/raw-http';
import { splitAddress } from './http-io';
import { connect } from './raw-http-client';
import { serve } from './raw-http-server';

/** The machine's raw HTTP, by Node's own. */
export function makeRawHttpNetwork(bind = ''): RawHttpNetwork {
  function connectFrom(at: string, within: number): Promise<Result<HttpConnection>> {
    return connect(at, within, bind === '' ? undefined : bind);
  }
  function serveHere(
    at: string,
    limits: ServeLimits,
    take: (call: RawIncomingRequest) => Promise<void>,
  ): Promise<Result<RawListener>> {
    return serve(bind === '' ? at : `${bind}:${splitAddress(at).port}`, limits, take);
  }
  return { serve: serveHere, connect: connectFrom };
}
