/**
 * Lists the platform's engines: page by page where the platform has an adapter, otherwise by our own interface.
 */

import { Right } from 'purify-ts';
import { listEngines } from '../../shared/contracts/platform';
import { PlatformAdapter, EnginePage } from '../../shared/platform-adapter/platform-adapter';
import { failure, errorOrValue, Result } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { sendAdapterRequest } from '../../shared/platform-adapter/adapter-request';
import { Engine } from '../../shared/state/engines';

/** Pages that a list may have. */
const MAX_PAGES = 64;

/** Lists all of the platform's engines; each page has `timeoutMs` to come. */
export async function listAllEngines(
  ports: Ports,
  address: string,
  timeoutMs: number,
  adapter: PlatformAdapter | undefined,
): Promise<Result<Engine[]>> {
  if (!adapter) return listEngines(ports.network, address, timeoutMs);
  const engines = new Map<string, Engine>();
  let cursor: string | undefined;
  for (let pages = 0; pages < MAX_PAGES; pages++) {
    const request = adapter.instances.ask(undefined, cursor);
    const [error, response] = errorOrValue(
      await sendAdapterRequest(ports.network, address, request, timeoutMs),
    );
    if (error) return failure(error.step, error.peer, error.reason, error.certainty, error.code);
    const read = adapter.instances.read(response.status, response.body);
    if (read.isLeft()) {
      const code = `status-${response.status}` as const;
      return failure('list engines', address, read.extract(), 'failed', code);
    }
    const page = read.extract() as EnginePage;
    for (const engine of page.engines) engines.set(engine.id, engine);
    if (page.next === undefined) return Right([...engines.values()]);
    cursor = page.next;
  }
  return failure('list engines', address, `more than ${MAX_PAGES} pages`);
}
