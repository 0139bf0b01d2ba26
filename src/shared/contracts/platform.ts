import { Left, Right } from 'purify-ts';
import { bad, open, Outcome } from '../errors/errors';
import { askJson } from '../util/lib';
import { Wire } from '../ports/ports';
import { Engine } from '../state/words';

/** Asks the platform for its list of engines. */
export async function listEngines(
  wire: Wire,
  at: string,
  within: number,
): Promise<Outcome<Engine[]>> {
  const [f, r] = open(await askJson(wire, { at, method: 'GET', path: '/api/engines', within }));
  if (f) return Left(f);
  const list = (r.body as { engines?: unknown } | undefined)?.engines;
  if (r.status !== 200 || !Array.isArray(list))
    return bad('list engines', at, `status ${r.status}`, 'failed', 'bad-return');
  const out: Engine[] = [];
  for (const e of list as Partial<Engine>[]) {
    if (typeof e.id !== 'string' || typeof e.at !== 'string' || typeof e.model !== 'string')
      return bad(
        'list engines',
        at,
        'an engine lacks its id, address or model',
        'failed',
        'bad-return',
      );
    out.push({
      id: e.id,
      at: e.at,
      zone: e.zone ?? '',
      model: e.model,
      weights: e.weights ?? '',
      leaving: e.leaving === true,
    });
  }
  return Right(out);
}
