/**
 * Requests to machines of the platform, in the form that its adapter makes.
 */

import { Left, Right } from 'purify-ts';
import { errorOrValue, Result } from '../errors/errors';
import { Network } from '../ports/network';
import { JsonResponse, parseOptionalJson, readText } from '../util/http-json';
import { setOwnField } from '../util/plain-object';
import { AdapterRequest } from './platform-adapter';

function headersOf(request: AdapterRequest): Record<string, string> {
  const headers: Record<string, string> = { 'content-type': 'application/json' };
  for (let i = 0; i + 1 < request.headers.length; i += 2)
    setOwnField(headers, request.headers[i], request.headers[i + 1]);
  return headers;
}

/**
 * Sends an adapter's request, and reads the response to its end; a body that is no JSON is read as none. `timeoutMs`
 * is for the complete response.
 */
export async function sendAdapterRequest(
  network: Network,
  address: string,
  request: AdapterRequest,
  timeoutMs: number,
  signal?: AbortSignal,
): Promise<Result<JsonResponse>> {
  const { method, target } = request;
  const headers = headersOf(request);
  const body =
    typeof request.body === 'object' ? Buffer.from(request.body).toString('utf8') : request.body;
  const [requestError, response] = errorOrValue(
    await network.request({ address, method, path: target, headers, body, timeoutMs, signal }),
  );
  if (requestError) return Left(requestError);
  const [readError, text] = errorOrValue(await readText(response));
  if (readError) return Left(readError);
  const [, value] = errorOrValue(parseOptionalJson(text, `${method} ${target}`, address));
  return Right({ status: response.status, body: value, headers: response.headers });
}
