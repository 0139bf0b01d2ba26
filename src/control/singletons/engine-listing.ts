import { Right } from 'purify-ts';
import { listEngines } from '../../shared/contracts/platform';
import { PlatformAdapter, EnginePage } from '../../shared/platform-adapter/platform-adapter';
import { failure, errorOrValue, Result } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { sendAdapterRequest } from '../../shared/platform-adapter/adapter-request';
import { Engine } from '../../shared/state/engines';

/** Pages that a list may have at the most. */
const MOST_PAGES = 64;

/** Lists the platform's engines whole, page by page where it is worded in a dialect. */
export async function listAllEngines(
  ports: Ports,
  at: string,
  within: number,
  dialect: PlatformAdapter | undefined,
): Promise<Result<Engine[]>> {
  if (!dialect) return listEngines(ports.network, at, within);
  const all = new Map<string, Engine>();
  let next: string | undefined;
  for (let i = 0; i < MOST_PAGES; i++) {
    const [f, r] = errorOrValue(
      await sendAdapterRequest(ports.network, at, dialect.instances.ask(undefined, next), within),
    );
    if (f) return failure(f.step, f.peer, f.reason, f.certainty, f.code);
    const page = dialect.instances.read(r.status, r.body);
    if (page.isLeft())
      return failure('list engines', at, page.extract(), 'failed', `status-${r.status}`);
    const { engines, next: following } = page.extract() as EnginePage;
    for (const e of engines) all.set(e.id, e);
    if (following === undefined) return Right([...all.values()]);
    next = following;
  }
  return failure('list engines', at, `more than ${MOST_PAGES} pages`);
}

/** Leaves out what only counts down: how much longer an engine is slow stays as it was first told, until that is over. */
export function keepReportedWarmUp(before: readonly Engine[], list: readonly Engine[]): Engine[] {
  const told = new Map<string, Engine>();
  for (const e of before) told.set(e.id, e);
  function settle(e: Engine): Engine {
    const was = told.get(e.id)?.warmMs;
    return e.warmMs !== undefined && e.warmMs > 0 && was !== undefined && was > 0
      ? { ...e, warmMs: was }
      : e;
  }
  return list.map(settle);
}
