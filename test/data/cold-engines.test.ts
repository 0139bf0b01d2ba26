import { ColdEngineLog } from '../../src/data/gateway/cold-engine-log';
import { ColdEngines } from '../../src/data/gateway/cold-engines';
import { Pool } from '../../src/shared/state/deployment';
import { Engine } from '../../src/shared/state/engines';
import { ManualClock, manualClock } from '../shared/manual-clock';
import { deployment, route } from './gateway-fixture';

const WARM_UP_MS = 3000;
const LISTS_APART_MS = 500;

const ENGINE: Engine = {
  id: 'e1',
  at: '',
  zone: 'zone-a',
  model: 'm',
  weights: '1',
  leaving: false,
  pool: 'p',
  warmMs: 0,
};

function warmingPool(): Pool {
  const [pool] = deployment([route({})]).pools;
  return { ...pool, warmUpMs: WARM_UP_MS, warmUpPerS: 20 };
}

function ignore(): void {
  // nobody is told
}

function coldEngines(clock: ManualClock): ColdEngines {
  const logger = { debug: ignore, info: ignore, notice: ignore, warn: ignore, error: ignore };
  return new ColdEngines({
    clock,
    reportToleranceMs: 0,
    pool: warmingPool,
    log: new ColdEngineLog(clock, logger, WARM_UP_MS),
    reportUnreachable: ignore,
    isReachable: reachable,
  });
}

function reachable(): Promise<boolean> {
  return Promise.resolve(true);
}

/** Guards against FAILBACK: an engine of a zone that was taken back counts as warm once its entry goes and comes back. */
async function entryGoesAndComesBack(): Promise<void> {
  const clock = manualClock();
  const engines = coldEngines(clock);
  engines.applyEngines([ENGINE]);
  engines.applyEvacuations(['zone-a']);
  engines.applyEvacuations([]);
  expect(engines.isCold(ENGINE)).toBe(true);
  engines.applyEngines([]);
  await clock.advance(LISTS_APART_MS);
  engines.applyEngines([ENGINE]);
  expect(engines.isCold(ENGINE)).toBe(true);
  await clock.advance(WARM_UP_MS);
  expect(engines.isCold(ENGINE)).toBe(false);
}

/** Guards against FAILBACK: the engines of a zone that was taken back count as warm where their entries come only then. */
async function entryComesAfterTheEvacuation(): Promise<void> {
  const clock = manualClock();
  const engines = coldEngines(clock);
  engines.applyEvacuations(['zone-a']);
  engines.applyEvacuations([]);
  await clock.advance(LISTS_APART_MS);
  engines.applyEngines([ENGINE]);
  expect(engines.isCold(ENGINE)).toBe(true);
}

test('an engine stays cold while its entry is gone', entryGoesAndComesBack);
test('an entry that comes after the evacuation is cold', entryComesAfterTheEvacuation);
