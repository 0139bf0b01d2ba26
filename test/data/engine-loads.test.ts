import { EngineLoads, InFlightLoad } from '../../src/data/gateway/engine-loads';

let time = 0;

function now(): number {
  return time;
}

function countsOwnAndOthers(): void {
  time = 0;
  const loads = new EngineLoads(now);
  const inFlight: InFlightLoad = {
    engine: 'a',
    prefillTokens: 1000,
    memoryTokens: 1200,
    sentAt: 0,
    expectedFirstEventMs: 100,
    transferMs: 20,
  };
  loads.recordStart(inFlight);
  expect(loads.snapshot('a')).toMatchObject({
    running: 1,
    prefillTokens: 1000,
    awaitingFirstEvent: 1,
    memoryTokens: 1200,
    transferMs: 20,
  });
  time = 50;
  expect(loads.snapshot('a')).toMatchObject({ prefillTokens: 500, transferMs: 0 });
  loads.applyBoard(
    [
      ['a', 2, 300, 900],
      ['b', 1, 0],
    ],
    true,
  );
  expect(loads.snapshot('a')).toMatchObject({ running: 3, prefillTokens: 800, memoryTokens: 2100 });
  expect(loads.ownLoads()).toEqual([['a', 1, 500, 1200]]);
  time = 400;
  expect(loads.snapshot('a').overdueMs).toBe(300);
  loads.recordFirstEvent(inFlight);
  expect(loads.snapshot('a')).toMatchObject({ running: 3, prefillTokens: 300, overdueMs: 0 });
  loads.applyBoard([['a', 0, 0]], false);
  loads.recordEnd(inFlight);
  expect(loads.snapshot('a').running).toBe(0);
  expect(loads.snapshot('b').running).toBe(1);
}

test('requests in flight are counted, with those of other routers', countsOwnAndOthers);
