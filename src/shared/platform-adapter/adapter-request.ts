import { Left, Right } from 'purify-ts';
import { Worded } from './platform-adapter';
import { open, Outcome } from '../errors/errors';
import { parseJson } from '../util/lib';
import { Wire } from '../ports/ports';

/** What was answered to what a dialect worded; a body that is no JSON is none. */
export interface Answered {
  status: number;
  body: unknown;
  headers: Record<string, string | undefined>;
}

/** Sends what a dialect worded and reads the answer whole; `within` is ms. */
export async function askWorded(
  wire: Wire,
  at: string,
  w: Worded,
  within: number,
  gone?: AbortSignal,
): Promise<Outcome<Answered>> {
  const headers: Record<string, string> = { 'content-type': 'application/json' };
  for (let i = 0; i + 1 < w.headers.length; i += 2) headers[w.headers[i]] = w.headers[i + 1];
  const body = typeof w.body === 'object' ? Buffer.from(w.body).toString('utf8') : w.body;
  const [f, r] = open(
    await wire.ask({ at, method: w.method, path: w.target, headers, body, within, gone }),
  );
  if (f) return Left(f);
  let text = '';
  for (;;) {
    const [g, piece] = open(await r.next());
    if (g) return Left(g);
    if (piece === undefined) break;
    text += piece;
  }
  const [, value] = open(
    text === '' ? Right(undefined) : parseJson(text, `${w.method} ${w.target}`, at),
  );
  return Right({ status: r.status, body: value, headers: r.headers });
}
