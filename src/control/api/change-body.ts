/**
 * Reading of what operators and applications send to be stored.
 */

import { IncomingRequest } from '../../shared/ports/network';
import { BodyClass } from '../../shared/transport/body-fields';
import { readBodyAs, readJsonBody } from '../../shared/transport/http-handlers';
import { findUncarriable } from '../../shared/util/uncarriable-values';

/**
 * Reads a JSON body that is to be stored and sent on; where it can't be read, or would not come back as it is, the call
 * is answered and the result is undefined.
 */
export function readChangeBody(call: IncomingRequest, maxBytes: number): Promise<unknown> {
  return readJsonBody(call, maxBytes, findUncarriable);
}

/** The same, as a class with declared fields; `step` names the call in errors. */
export function readChangeBodyAs<T extends object>(
  call: IncomingRequest,
  bodyClass: BodyClass<T>,
  maxBytes: number,
  step: string,
): Promise<T | undefined> {
  return readBodyAs(call, bodyClass, maxBytes, step, findUncarriable);
}
