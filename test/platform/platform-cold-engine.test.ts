import { EngineLife } from '../../tools/standins/platform/engine';
import { bench, call, play } from './platform-bench';

const PER_S = 27;
const COLD_MS = 3000;
const HEADER = 'plumhollow-warmup-ms';

type Bench = ReturnType<typeof bench>;

async function startCold(): Promise<{ b: Bench; engine: EngineLife }> {
  const b = bench();
  const engine = await play(b, b.start({ warmUpPerS: PER_S }));
  engine.goCold(COLD_MS);
  return { b, engine };
}

/** An engine that is cold tells for how long, in health answers and for the list, and the ledger knows of it. */
async function tellsOfCold(): Promise<void> {
  const { b, engine } = await startCold();
  expect(b.book.cold).toEqual([
    { instance: 'i-1.1', from: b.w.now(), until: b.w.now() + COLD_MS, perS: PER_S },
  ]);
  const first = await play(b, call(b, '/health', {}, 'GET'));
  const leftMs = Number(first.headers[HEADER]);
  expect(leftMs).toBeGreaterThan(0);
  expect(leftMs).toBeLessThanOrEqual(COLD_MS);
  expect(engine.warmupLeft()).toBeGreaterThan(0);
  await b.w.run(b.w.now() + COLD_MS);
  const later = await play(b, call(b, '/health', {}, 'GET'));
  expect(later.headers[HEADER]).toBe('0');
  expect(engine.warmupLeft()).toBe(0);
}

/** Arrivals are noted with the zone of their engine. */
async function notesZones(): Promise<void> {
  const { b } = await startCold();
  await play(b, call(b, '/x', { 'plumhollow-model': 'm', 'plumhollow-attempt-id': 't1' }));
  expect(b.book.arrivals).toMatchObject([{ id: 't1', zone: 'a' }]);
}

test('an engine that is cold tells for how long', tellsOfCold);
test('a request that reaches an engine is noted with its zone', notesZones);
