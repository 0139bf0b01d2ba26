import { Left, Right } from 'purify-ts';
import { AdapterRequest } from './platform-adapter';
import { errorOrValue, Result } from '../errors/errors';
import { parseJson } from '../util/try-catch';
import { Network } from '../ports/network';

/** What was answered to what a dialect worded; a body that is no JSON is none. */
export interface AdapterResponse {
  status: number;
  body: unknown;
  headers: Record<string, string | undefined>;
}

/** Sends what a dialect worded and reads the answer whole; `within` is ms. */
export async function sendAdapterRequest(
  wire: Network,
  at: string,
  w: AdapterRequest,
  within: number,
  gone?: AbortSignal,
): Promise<Result<AdapterResponse>> {
  const headers: Record<string, string> = { 'content-type': 'application/json' };
  for (let i = 0; i + 1 < w.headers.length; i += 2) headers[w.headers[i]] = w.headers[i + 1];
  const body = typeof w.body === 'object' ? Buffer.from(w.body).toString('utf8') : w.body;
  const [f, r] = errorOrValue(
    await wire.request({
      address: at,
      method: w.method,
      path: w.target,
      headers,
      body,
      timeoutMs: within,
      signal: gone,
    }),
  );
  if (f) return Left(f);
  let text = '';
  for (;;) {
    const [g, piece] = errorOrValue(await r.nextChunk());
    if (g) return Left(g);
    if (piece === undefined) break;
    text += piece;
  }
  const [, value] = errorOrValue(
    text === '' ? Right(undefined) : parseJson(text, `${w.method} ${w.target}`, at),
  );
  return Right({ status: r.status, body: value, headers: r.headers });
}
