import { Left, Right } from 'purify-ts';
import { failure, errorOrValue, Result } from '../errors/errors';
import { requestJson } from '../util/http-json';
import { Network } from '../ports/network';
import { Engine } from '../state/engines';

/** Asks the platform for its list of engines. */
export async function listEngines(
  wire: Network,
  at: string,
  within: number,
): Promise<Result<Engine[]>> {
  const [f, r] = errorOrValue(
    await requestJson(wire, {
      address: at,
      method: 'GET',
      path: '/api/engines',
      timeoutMs: within,
    }),
  );
  if (f) return Left(f);
  const list = (r.body as { engines?: unknown } | undefined)?.engines;
  if (r.status !== 200 || !Array.isArray(list))
    return failure('list engines', at, `status ${r.status}`, 'failed', 'bad-return');
  const out: Engine[] = [];
  for (const e of list as Partial<Engine>[]) {
    if (typeof e.id !== 'string' || typeof e.at !== 'string' || typeof e.model !== 'string')
      return failure(
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
