import { OutlierEjection } from '../../src/data/gateway/outlier-ejection';

let time = 0;

function now(): number {
  return time;
}

function even(): number {
  return 0.5;
}

function ejectionsGrow(): void {
  time = 0;
  const ejection = new OutlierEjection(now, even, 100);
  const names = ['a', 'b', 'c', 'd'];
  ejection.recordStart('a');
  ejection.recordEnd('a', 'failed', 0);
  expect(ejection.available(names, true)).toEqual(['b', 'c', 'd']);
  time = 101;
  expect(ejection.available(names, true)).toEqual(['b', 'c', 'd', 'a']);
  expect(ejection.available(names, false)).toEqual(['b', 'c', 'd']);
  ejection.recordStart('a');
  expect(ejection.available(names, true)).toEqual(['b', 'c', 'd']);
  ejection.recordEnd('a', 'failed', 101);
  time = 250;
  expect(ejection.available(names, true)).toEqual(['b', 'c', 'd']);
  time = 302;
  expect(ejection.available(names, true)).toContain('a');
  ejection.recordStart('a');
  ejection.recordEnd('a', 'answered', 302);
  expect(ejection.available(names, false)).toContain('a');
}

function oneCrashIsOneFault(): void {
  time = 0;
  const ejection = new OutlierEjection(now, even, 100);
  for (let i = 0; i < 8; i++) ejection.recordStart('a');
  time = 50;
  for (let i = 0; i < 8; i++) ejection.recordEnd('a', 'failed', 10);
  time = 151;
  expect(ejection.available(['a', 'b', 'c'], true)).toContain('a');
}

function atMostHalfIsEjected(): void {
  time = 0;
  const ejection = new OutlierEjection(now, even, 100);
  for (const n of ['a', 'b', 'c']) {
    ejection.recordStart(n);
    ejection.recordEnd(n, 'failed', time);
    time += 10;
  }
  expect(ejection.available(['a', 'b', 'c', 'd'], false)).toEqual(['d', 'a']);
}

test(
  'an engine that fails is left alone for longer each time, and tried by one that may repeat',
  ejectionsGrow,
);
test('all that fails with one crash is one fault', oneCrashIsOneFault);
test('no more than half of a pool is left alone', atMostHalfIsEjected);
