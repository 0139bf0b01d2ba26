/**
 * Requests to the operators' interface of the controllers.
 */

import { describeError, errorOrValue, OperationError, Result } from '../../shared/errors/errors';
import { Network } from '../../shared/ports/network';
import { requestJson } from '../../shared/util/http-json';
import { Console } from './console';
import { EXIT_FINDINGS } from '../exit-codes';

/** How long one controller may take for its whole answer. */
export const REQUEST_TIMEOUT_MS = 8000;

/** A controller's answer. */
export interface HttpReply {
  status: number;
  body: unknown;
}

/** A client of the controllers. */
export interface ControllerClient {
  /** Requests an answer, or ends the program where no controller gives one. */
  request: (method: string, path: string, body?: unknown) => Promise<HttpReply>;
  /** The network that requests go out by. */
  network: Network;
}

/** Makes a client; `addresses` are asked for at each request. */
export function makeControllerClient(
  network: Network,
  console: Console,
  addresses: () => string[],
): ControllerClient {
  /** Asks the controllers in turn until one answers. A change goes no further than to the first that may have carried it out. */
  async function requestAny(
    method: string,
    path: string,
    body?: unknown,
  ): Promise<Result<HttpReply>> {
    let last: Result<HttpReply> | undefined;
    for (const address of addresses()) {
      const reply = await requestJson(network, {
        address,
        method,
        path,
        body: body === undefined ? undefined : JSON.stringify(body),
        timeoutMs: REQUEST_TIMEOUT_MS,
      });
      if (reply.isRight()) return reply;
      last = reply;
      const { certainty } = reply.extract() as OperationError;
      if (certainty !== 'refused' && method !== 'GET') break;
    }
    return last!;
  }

  async function request(method: string, path: string, body?: unknown): Promise<HttpReply> {
    const [error, reply] = errorOrValue(await requestAny(method, path, body));
    return error ? console.fail(EXIT_FINDINGS, describeError(error)) : reply;
  }

  return { request, network };
}
