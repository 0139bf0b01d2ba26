import { makeMetrics } from '../src/shared/metrics';

function buckets(): void {
  const m = makeMetrics();
  const took = m.times('sync_ms', 'time of a synced write', 2000);
  for (const ms of [3, 4, 4.01, 150, 20000]) took(ms);
  const text = m.text(['other 1']);
  expect(text.split('\n')).toEqual(expect.arrayContaining(['other 1', '# HELP sync_ms time of a synced write', '# TYPE sync_ms histogram', 'sync_ms_bucket{le="4"} 2', 'sync_ms_bucket{le="10"} 3',
    'sync_ms_bucket{le="200"} 4', 'sync_ms_bucket{le="10000"} 4', 'sync_ms_bucket{le="+Inf"} 5', 'sync_ms_count 5']));
  expect(text.endsWith('sync_ms_count 5\n')).toBe(true);
}

test('times are counted in buckets, each with those below it', buckets);
