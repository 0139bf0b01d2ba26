import { cacheSalt, WeightsTracker } from '../../src/data/gateway/weights-tracker';
import { WeightsMessages } from '../../src/data/gateway/weights-messages';
import { dispatch } from '../../src/shared/transport/message-handlers';
import { Clock } from '../../src/shared/ports/clock';
import { compareWeights, lacks } from '../../src/shared/state/weights';
import { Engine } from '../../src/shared/state/engines';

const STOP = 6000;
const LATE = 2000;

interface Fixture {
  tracker: WeightsTracker;
  pass: (ms: number) => void;
}

function makeFixture(): Fixture {
  let t = 1000;
  function now(): number {
    return t;
  }
  function pass(ms: number): void {
    t += ms;
  }
  return { tracker: new WeightsTracker({ now } as Clock, STOP, LATE), pass };
}

function engine(id: string, ...weights: string[]): Engine {
  function model(w: string, i: number): { name: string; weights: string } {
    return { name: `m${i + 1}`, weights: w };
  }
  return {
    id,
    at: `${id}:1`,
    zone: 'z',
    model: 'm1',
    weights: weights[0],
    leaving: false,
    models: weights.map(model),
  };
}

function ordersWeights(): void {
  expect(compareWeights('9', '10')).toBeLessThan(0);
  expect(compareWeights('10', '10')).toBe(0);
  const named = { model: 'm', weights: 'blue', older: ['red', 'green'] };
  expect(compareWeights('green', 'red', named)).toBeGreaterThan(0);
  expect(lacks('never named', named)).toBe(true);
  expect(lacks('12', { model: 'm', weights: '11', older: ['*'] })).toBe(false);
}

function servesOldForATime(): void {
  const { tracker, pass } = makeFixture();
  tracker.recordEngines([engine('a', '1'), engine('b', '2')]);
  expect(tracker.expectedWeights('a', 'm1')).toEqual({ weights: '1', kind: 'now' });
  tracker.recordNaming({ model: 'm1', weights: '2', older: ['*'] }, true);
  expect(tracker.expectedWeights('a', 'm1')).toEqual({ weights: '1', kind: 'old' });
  expect(tracker.expectedWeights('b', 'm1')).toEqual({ weights: '2', kind: 'now' });
  pass(STOP - 1);
  expect(tracker.expectedWeights('a', 'm1')?.kind).toBe('old');
  pass(1);
  expect(tracker.expectedWeights('a', 'm1')).toBeUndefined();
  expect(tracker.expectedWeights('b', 'm1')).toEqual({ weights: '2', kind: 'now' });
}

function eachByItsOwnTime(): void {
  const { tracker, pass } = makeFixture();
  tracker.recordEngines([engine('a', '1'), engine('b', '2')]);
  tracker.recordNaming({ model: 'm1', weights: '2', older: ['*'] }, true);
  pass(STOP / 2);
  tracker.recordNaming({ model: 'm1', weights: '3', older: ['*', '2'] }, true);
  pass(STOP / 2);
  expect(tracker.expectedWeights('a', 'm1')).toBeUndefined();
  expect(tracker.expectedWeights('b', 'm1')?.kind).toBe('old');
  pass(STOP / 2);
  expect(tracker.expectedWeights('b', 'm1')).toBeUndefined();
}

function caughtUp(): void {
  const { tracker, pass } = makeFixture();
  tracker.recordEngines([engine('a', '1')]);
  tracker.recordNaming({ model: 'm1', weights: '2', older: ['*'] }, false);
  pass(LATE - 1);
  expect(tracker.expectedWeights('a', 'm1')?.kind).toBe('old');
  pass(1);
  expect(tracker.expectedWeights('a', 'm1')).toBeUndefined();
}

function endedIsTooLate(): void {
  const { tracker } = makeFixture();
  tracker.recordEngines([engine('a', '1')]);
  tracker.recordNaming({ model: 'm1', weights: '2', older: ['*'] }, true);
  tracker.recordNaming({ model: 'm1', weights: '2', older: [] }, true);
  expect(tracker.expectedWeights('a', 'm1')).toBeUndefined();
}

function answersGoBeforeTheList(): void {
  const { tracker } = makeFixture();
  tracker.recordEngines([engine('a', '1', '7')]);
  tracker.recordNaming({ model: 'm1', weights: '2', older: ['*'] }, true);
  tracker.recordReported('a', { m1: '2' });
  tracker.recordEngines([engine('a', '1', '7')]);
  expect(tracker.expectedWeights('a', 'm1')).toEqual({ weights: '2', kind: 'now' });
  expect(tracker.expectedWeights('a', 'm2')).toEqual({ weights: '7', kind: 'now' });
  tracker.recordReported('a', { m1: '3' });
  expect(tracker.expectedWeights('a', 'm1')).toEqual({ weights: '3', kind: 'now' });
  tracker.recordEngines([]);
  tracker.recordEngines([engine('a', '1', '7')]);
  expect(tracker.expectedWeights('a', 'm1')).toEqual({ weights: '1', kind: 'old' });
}

function loadingIsLeftAlone(): void {
  const { tracker, pass } = makeFixture();
  tracker.recordEngines([engine('a', '1', '7'), engine('b', '1')]);
  tracker.recordNaming({ model: 'm1', weights: '2', older: ['*'] }, true);
  tracker.recordLoading(['a'], 900);
  expect(tracker.expectedWeights('a', 'm1')).toEqual({ weights: '2', kind: 'loading' });
  expect(tracker.expectedWeights('a', 'm2')).toEqual({ weights: '7', kind: 'now' });
  expect(tracker.expectedWeights('b', 'm1')?.kind).toBe('old');
  pass(900);
  expect(tracker.expectedWeights('a', 'm1')?.kind).toBe('old');
  tracker.recordLoading(['a'], 900);
  tracker.recordReported('a', { m1: '2' });
  expect(tracker.expectedWeights('a', 'm1')?.kind).toBe('now');
}

async function coreSays(): Promise<void> {
  const { tracker } = makeFixture();
  const handlers = [new WeightsMessages(tracker)];
  tracker.recordEngines([engine('a', '1')]);
  tracker.recordNaming({ model: 'm1', weights: '2', older: ['*'] }, true);
  await dispatch(handlers, 'loading', { engines: ['a'], within: 900 }, undefined, 'core');
  expect(tracker.expectedWeights('a', 'm1')?.kind).toBe('loading');
  await dispatch(handlers, 'loading', { engines: ['a'], within: 0 }, undefined, 'core');
  expect(tracker.expectedWeights('a', 'm1')?.kind).toBe('old');
  await dispatch(handlers, 'loaded', { engine: 'a', weights: { m1: '2' } }, undefined, 'core');
  expect(tracker.expectedWeights('a', 'm1')).toEqual({ weights: '2', kind: 'now' });
  expect((await dispatch(handlers, 'loading', { engines: 'a' }, undefined, 'core')).isLeft()).toBe(
    true,
  );
}

function saltsHoldWeights(): void {
  expect(cacheSalt('w', '1')).not.toBe(cacheSalt('w', '2'));
}

test('whole numbers rise by size, others by their naming', ordersWeights);
test('older weights serve until the time after the naming was heard', servesOldForATime);
test('each older weights end by their own time', eachByItsOwnTime);
test(
  'a naming that was only caught up on leaves the older ones the time of a router out of touch',
  caughtUp,
);
test('the core says which engines load and have loaded', coreSays);
test('what the core has ended serves no more', endedIsTooLate);
test('what an engine answers goes before a list that lags', answersGoBeforeTheList);
test(
  'an engine that takes up weights is left alone until it has them or the time is over',
  loadingIsLeftAlone,
);
test('parts of other weights stand under another text', saltsHoldWeights);
