import {
  assumedElapsedMs,
  batchSize,
  countLoading,
  currentWeightsOf,
  EngineUpdate,
  judgeReport,
  listedWeightsOf,
  nextRetry,
  OrderObservation,
  reportDelayMs,
  RetryState,
  selectNextUpdates,
  servingEngines,
  smoothLoadTime,
  updatesFor,
} from '../../src/control/singletons/rollout-decisions';
import { EngineReport } from '../../src/shared/platform-adapter/platform-adapter';
import { Engine } from '../../src/shared/state/engines';
import { NamedWeights } from '../../src/shared/state/weights';

const NAMED: NamedWeights = { model: 'm', weights: '3', older: ['1', '2'] };
const LIMITS = { rolloutTargetMs: 1000, oldWeightsRetireMs: 2000 };

function engine(id: string, weights: string, leaving = false): Engine {
  return { id, at: `${id}:1`, zone: 'z', model: 'm', weights, leaving };
}

function update(id: string): EngineUpdate {
  return { engine: engine(id, '1'), model: 'm', named: NAMED };
}

function idOf({ id }: Engine): string {
  return id;
}

function engineIdOf(chosen: EngineUpdate): string {
  return chosen.engine.id;
}

function batch(
  engineCount: number,
  lackingCount: number,
  elapsedMs: number,
  usualLoadMs = 10,
): number {
  return batchSize({ engineCount, lackingCount, elapsedMs, usualLoadMs }, LIMITS);
}

function earlyBatches(): void {
  expect([1, 3, 4, 8, 13, 40].map(early)).toEqual([1, 1, 1, 2, 3, 10]);
  function early(count: number): number {
    return batch(count, count, 0);
  }
}

function lateBatches(): void {
  expect(batch(12, 12, 0, 200)).toBe(3);
  expect(batch(12, 12, 500, 200)).toBe(6);
  expect(batch(12, 4, 1500, 200)).toBe(4);
  expect(batch(12, 12, 1999, 200)).toBe(6);
}

function retiredBatches(): void {
  expect(batch(12, 12, 2000, 200)).toBe(12);
}

function chosenEngines(): void {
  const updates = ['a', 'b', 'c', 'd', 'e'].map(update);
  const loading = new Map([['a', 'm']]);
  const retries = new Map<string, RetryState>([
    ['b', { attempts: 1, notBefore: 101 }],
    ['c', { attempts: 1, notBefore: 100 }],
  ]);
  function chosen(room: number): string[] {
    return selectNextUpdates(updates, room, loading, retries, 100).map(engineIdOf);
  }
  expect(chosen(2)).toEqual(['c', 'd']);
  expect(chosen(9)).toEqual(['c', 'd', 'e']);
  expect(chosen(-1)).toEqual([]);
}

function countedLoads(): void {
  const loading = new Map([
    ['a', 'm'],
    ['b', 'n'],
    ['c', 'm'],
  ]);
  expect([countLoading(loading, 'm'), countLoading(loading, 'other')]).toEqual([2, 0]);
}

function retryTimes(): void {
  const waits: number[] = [];
  let retry: RetryState | undefined;
  for (let attempt = 1; attempt <= 6; attempt++) {
    retry = nextRetry(retry, 1000, 50);
    waits.push(retry.notBefore - 1000);
  }
  expect(waits).toEqual([50, 100, 200, 400, 400, 400]);
  expect(retry?.attempts).toBe(6);
}

function lackingEngines(): void {
  const several: Engine = {
    ...engine('s', '3'),
    model: 'n',
    models: [{ name: 'm', weights: '2' }],
  };
  const engines = [engine('a', '1'), engine('b', '3'), engine('c', '4'), engine('d', '1', true)];
  const serving = servingEngines([...engines, several, { ...engine('e', '1'), model: 'n' }], 'm');
  expect(serving.map(idOf)).toEqual(['a', 'b', 'c', 's']);
  expect(listedWeightsOf(several, 'm')).toBe('2');
  expect(listedWeightsOf(several, 'n')).toBeUndefined();
  expect(updatesFor(serving, NAMED, nothing).map(engineIdOf)).toEqual(['a', 's']);
  expect(updatesFor(serving, NAMED, loadedByA).map(engineIdOf)).toEqual(['s']);
  function nothing(): undefined {
    return undefined;
  }
  function loadedByA({ id }: Engine): string | undefined {
    return id === 'a' ? '3' : undefined;
  }
}

function newerWeights(): void {
  expect(currentWeightsOf('1', '2', NAMED)).toBe('2');
  expect(currentWeightsOf('3', '2', NAMED)).toBe('3');
  expect(currentWeightsOf('1', undefined, NAMED)).toBe('1');
}

function times(): void {
  expect(smoothLoadTime(100, 200)).toBeCloseTo(130);
  expect(reportDelayMs(0, 400, 50)).toBe(200);
  expect(reportDelayMs(200, 400, 50)).toBe(30);
  expect(reportDelayMs(0, 10, 50)).toBe(30);
  const limits = { leaseMs: 100, rolloutTargetMs: 1000 };
  expect([100, 101].map(elapsed)).toEqual([500, 0]);
  function elapsed(inTouchMs: number): number {
    return assumedElapsedMs(inTouchMs, limits);
  }
}

function reportOf(weights: string, busy: boolean): EngineReport {
  const models = [{ name: 'm', weights }];
  return { models, busy, orders: 1, waiting: 0, running: 0, cacheUsed: 0, cacheTotal: 0 };
}

function verdict(change: Partial<OrderObservation>): string {
  const report = reportOf('1', false);
  const order = { sentAt: 0, isCertain: true };
  const observation = { order, now: 100, report, unansweredReports: 0, isListed: true, ...change };
  const limits = { weightsLoadTimeoutMs: 1000, engineReportMaxAgeMs: 50 };
  return judgeReport(update('a'), observation, limits);
}

function verdicts(): void {
  const loaded = reportOf('3', true);
  const busy = reportOf('1', true);
  const uncertain = { sentAt: 0, isCertain: false };
  expect(verdict({ report: loaded })).toBe('loaded');
  expect(verdict({ report: busy })).toBe('wait');
  expect(verdict({ now: 99 })).toBe('wait');
  expect(verdict({})).toBe('failed');
  expect(verdict({ order: uncertain })).toBe('order-again');
  expect(verdict({ order: uncertain, now: 99 })).toBe('wait');
  expect(verdict({ report: undefined, unansweredReports: 2 })).toBe('wait');
  expect(verdict({ report: undefined, unansweredReports: 3 })).toBe('failed');
  expect(verdict({ report: busy, now: 1001 })).toBe('failed');
  expect(verdict({ report: loaded, isListed: false })).toBe('failed');
}

test('a quarter of the engines load at once, and always one', earlyBatches);
test('a late rollout loads more at once, up to half of the engines', lateBatches);
test('once the older weights are retired, all engines may load', retiredBatches);
test('engines that load or wait for a retry are passed over', chosenEngines);
test('loads are counted by model', countedLoads);
test('the wait before a retry doubles, up to eight report ages', retryTimes);
test('engines that serve the model, stay, and have older weights are updated', lackingEngines);
test('weights never go back: the newer of list and answer counts', newerWeights);
test('load times, delays of reports, and the assumed start of a rollout', times);
test('a report tells whether an order is done, failed, open, or to be given again', verdicts);
