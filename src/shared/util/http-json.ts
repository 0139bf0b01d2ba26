/**
 * Requests by the network port whose responses are read whole or line by line.
 */

import { Left, Right } from 'purify-ts';
import { OperationError, makeError, Result } from '../errors/errors';
import { HttpRequest, Network } from '../ports/network';
import { parseJson } from './try-catch';

/** Asks over HTTP and reads a JSON return whole. */
export async function requestJson(
  wire: Network,
  q: HttpRequest,
): Promise<Result<{ status: number; body: unknown; headers: Record<string, string | undefined> }>> {
  const step = `${q.method} ${q.path}`;
  const r = await wire.request({
    ...q,
    headers: { 'content-type': 'application/json', ...q.headers },
  });
  if (r.isLeft()) return r;
  const reply = r.extract() as Exclude<ReturnType<typeof r.extract>, OperationError>;
  let text = '';
  for (;;) {
    const p = await reply.nextChunk();
    if (p.isLeft()) return p;
    const piece = p.extract() as string | undefined;
    if (piece === undefined) break;
    text += piece;
  }
  const parsed = text === '' ? Right(undefined) : parseJson(text, step, q.address);
  function whole(body: unknown): {
    status: number;
    body: unknown;
    headers: Record<string, string | undefined>;
  } {
    return { status: reply.status, body, headers: reply.headers };
  }
  return parsed.map(whole);
}

/** Cuts pulled pieces into lines; undefined is a whole end, a broken last line is a fault. */
export function makeLineReader(
  next: () => Promise<Result<string | undefined>>,
  peer: string,
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
