import { Worded } from './dialect';
import { Outcome } from './errors';
import { askJson } from './lib';
import { Wire } from './ports';

/** Sends what a dialect worded and reads a JSON answer whole; `within` is ms. */
export function askWorded(wire: Wire, at: string, w: Worded, within: number, gone?: AbortSignal): Promise<Outcome<{ status: number; body: unknown; headers: Record<string, string | undefined> }>> {
  const headers: Record<string, string> = {};
  for (let i = 0; i + 1 < w.headers.length; i += 2) headers[w.headers[i]] = w.headers[i + 1];
  const body = typeof w.body === 'object' ? Buffer.from(w.body).toString('utf8') : w.body;
  return askJson(wire, { at, method: w.method, path: w.target, headers, body, within, gone });
}
