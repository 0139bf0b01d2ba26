import { Outcome } from '../errors/errors';
import { HttpConnection, HttpWire, RawCall, RawListening, ServeLimits } from '../ports/ports';
import { splitAddress } from './http-io';
import { connect } from './raw-http-client';
import { serve } from './raw-http-server';

/** The machine's raw HTTP, by Node's own. */
export function realHttp(bind = ''): HttpWire {
  function connectFrom(at: string, within: number): Promise<Outcome<HttpConnection>> {
    return connect(at, within, bind === '' ? undefined : bind);
  }
  function serveHere(
    at: string,
    limits: ServeLimits,
    take: (call: RawCall) => Promise<void>,
  ): Promise<Outcome<RawListening>> {
    return serve(bind === '' ? at : `${bind}:${splitAddress(at).port}`, limits, take);
  }
  return { serve: serveHere, connect: connectFrom };
}
