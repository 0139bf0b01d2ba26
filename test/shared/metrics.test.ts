import { makeMetrics } from '../../src/shared/observability/metrics';

const HISTOGRAM = 'prom-client/lib/histogram';
let loaded = 0;

function noted(): unknown {
  loaded++;
  return jest.requireActual(HISTOGRAM);
}

function fresh(): void {
  loaded = 0;
  jest.resetModules();
  jest.doMock(HISTOGRAM, noted);
}

async function buckets(): Promise<void> {
  const m = makeMetrics();
  const took = m.times('sync_ms', 'time of a synced write', 2000);
  for (const ms of [3, 4, 4.01, 150, 20000]) took(ms);
  const text = await m.text(['other 1']);
  expect(text.split('\n')).toEqual([
    'other 1',
    '# HELP sync_ms time of a synced write',
    '# TYPE sync_ms histogram',
    'sync_ms_bucket{le="4"} 2',
    'sync_ms_bucket{le="10"} 3',
    'sync_ms_bucket{le="20"} 3',
    'sync_ms_bucket{le="40"} 3',
    'sync_ms_bucket{le="100"} 3',
    'sync_ms_bucket{le="200"} 4',
    'sync_ms_bucket{le="400"} 4',
    'sync_ms_bucket{le="1000"} 4',
    'sync_ms_bucket{le="2000"} 4',
    'sync_ms_bucket{le="4000"} 4',
    'sync_ms_bucket{le="10000"} 4',
    'sync_ms_bucket{le="+Inf"} 5',
    'sync_ms_sum 20161.01',
    'sync_ms_count 5',
    '',
  ]);
  expect(text.endsWith('sync_ms_count 5\n')).toBe(true);
}

async function late(): Promise<void> {
  const m = makeMetrics();
  const took = m.times('sync_ms', 'time of a synced write', 2000);
  took(3);
  await Promise.resolve();
  expect(loaded).toBe(0);
  const [one, two] = await Promise.all([m.text([]), m.text([])]);
  expect(loaded).toBe(1);
  expect(one).toContain('sync_ms_count 1\n');
  expect(two).toBe(one);
  const other = m.times('effect_ms', 'from a change to its effect', 2000);
  took(3);
  other(5);
  const text = await m.text([]);
  expect(text).toContain('sync_ms_count 2\n');
  expect(text).toContain('effect_ms_count 1\n');
}

async function many(): Promise<void> {
  const m = makeMetrics();
  const took = m.times('sync_ms', 'time of a synced write', 2000);
  for (let i = 0; i < 1000; i++) took(3);
  for (let i = 0; i < 100 && loaded === 0; i++) await Promise.resolve();
  expect(loaded).toBe(1);
  for (let i = 0; i < 1000; i++) took(5);
  const text = await m.text([]);
  expect(text).toContain('sync_ms_bucket{le="4"} 1000\n');
  expect(text).toContain('sync_ms_count 2000\n');
}

beforeEach(fresh);
test('times are counted in buckets, each with those below it', buckets);
test('the library is loaded at the first reading, and no time is lost or counted twice', late);
test('when many times wait, the library is loaded unread, so that no more wait', many);
