/**
 * Requests by the network port whose responses are read whole or line by line.
 */

import { Left, Right } from 'purify-ts';
import { errorOrValue, makeError, OperationError, Result } from '../errors/errors';
import { HttpRequest, HttpResponse, Network } from '../ports/network';
import { parseJson } from './try-catch';

/** A response that was read to its end; its body is undefined where it is empty. */
export interface JsonResponse {
  status: number;
  body: unknown;
  headers: Record<string, string | undefined>;
}

/** The error of a text that is longer than may be read as a whole. */
function tooLarge(step: string, peer: string, maxBytes: number): OperationError {
  return makeError(step, peer, `over ${maxBytes} bytes`, 'unknown', 'too-large');
}

/** Reads the body of a response to its end. Errors: `too-large` where it is longer than the network allows. */
export async function readText(response: HttpResponse): Promise<Result<string>> {
  const { maxWholeBytes = Infinity } = response;
  let text = '';
  for (;;) {
    const [error, chunk] = errorOrValue(await response.nextChunk());
    if (error) return Left(error);
    if (chunk === undefined) return Right(text);
    text += chunk;
    if (text.length <= maxWholeBytes) continue;
    response.cancel();
    return Left(tooLarge('read response', '', maxWholeBytes));
  }
}

/** Sends a request, and reads its JSON response to the end. */
export async function requestJson(
  network: Network,
  request: HttpRequest,
): Promise<Result<JsonResponse>> {
  const { method, path, address } = request;
  const headers = { 'content-type': 'application/json', ...request.headers };
  const [requestError, response] = errorOrValue(await network.request({ ...request, headers }));
  if (requestError) return Left(requestError);
  const [readError, text] = errorOrValue(await readText(response));
  if (readError) return Left(readError);
  function toResponse(body: unknown): JsonResponse {
    return { status: response!.status, body, headers: response!.headers };
  }
  return parseOptionalJson(text, `${method} ${path}`, address).map(toResponse);
}

/** Parses JSON; an empty text is no value. Errors: `bad-json`. */
export function parseOptionalJson(text: string, step: string, peer: string): Result<unknown> {
  return text === '' ? Right(undefined) : parseJson(text, step, peer);
}

/** Cuts pulled pieces into lines; undefined is a whole end, a broken last line and one over `maxBytes` are faults. */
export function makeLineReader(
  next: () => Promise<Result<string | undefined>>,
  peer: string,
  maxBytes = Infinity,
): () => Promise<Result<string | undefined>> {
  let held = '';
  async function line(): Promise<Result<string | undefined>> {
    for (;;) {
      const at = held.indexOf('\n');
      if (at >= 0) {
        const one = held.slice(0, at);
        held = held.slice(at + 1);
        return Right(one);
      }
      const p = await next();
      if (p.isLeft()) return p;
      const piece = p.extract() as string | undefined;
      if (piece === undefined) {
        if (held !== '') return Left(makeError('read lines', peer, 'broken last line'));
        return Right(undefined);
      }
      held += piece;
      if (held.length > maxBytes) return Left(tooLarge('read lines', peer, maxBytes));
    }
  }
  return line;
}

/** Reads an answer to its end after its last line, which frees its connection and timer; where more comes, it is cancelled. */
export async function readToEnd(
  line: () => Promise<Result<string | undefined>>,
  cancel: () => void,
): Promise<void> {
  const rest = await line();
  if (rest.isLeft() || rest.extract() !== undefined) cancel();
}
