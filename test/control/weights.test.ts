import { cacheSalt, WeightsTracker } from '../../src/data/gateway/weights-tracker';
import { WeightsMessages } from '../../src/data/gateway/weights-messages';
import { dispatch } from '../../src/shared/transport/message-handlers';
import { Clock } from '../../src/shared/ports/clock';
import { compareWeights, lacks } from '../../src/shared/state/weights';
import { Engine } from '../../src/shared/state/engines';

const STOP = 6000;
const LATE = 2000;

interface Desk {
  book: WeightsTracker;
  pass: (ms: number) => void;
}

function desk(): Desk {
  let t = 1000;
  function now(): number {
    return t;
  }
  function pass(ms: number): void {
    t += ms;
  }
  return { book: new WeightsTracker({ now } as Clock, STOP, LATE), pass };
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
  const { book, pass } = desk();
  book.recordEngines([engine('a', '1'), engine('b', '2')]);
  expect(book.expectedWeights('a', 'm1')).toEqual({ weights: '1', kind: 'now' });
  book.recordNaming({ model: 'm1', weights: '2', older: ['*'] }, true);
  expect(book.expectedWeights('a', 'm1')).toEqual({ weights: '1', kind: 'old' });
  expect(book.expectedWeights('b', 'm1')).toEqual({ weights: '2', kind: 'now' });
  pass(STOP - 1);
  expect(book.expectedWeights('a', 'm1')?.kind).toBe('old');
  pass(1);
  expect(book.expectedWeights('a', 'm1')).toBeUndefined();
  expect(book.expectedWeights('b', 'm1')).toEqual({ weights: '2', kind: 'now' });
}

function eachByItsOwnTime(): void {
  const { book, pass } = desk();
  book.recordEngines([engine('a', '1'), engine('b', '2')]);
  book.recordNaming({ model: 'm1', weights: '2', older: ['*'] }, true);
  pass(STOP / 2);
  book.recordNaming({ model: 'm1', weights: '3', older: ['*', '2'] }, true);
  pass(STOP / 2);
  expect(book.expectedWeights('a', 'm1')).toBeUndefined();
  expect(book.expectedWeights('b', 'm1')?.kind).toBe('old');
  pass(STOP / 2);
  expect(book.expectedWeights('b', 'm1')).toBeUndefined();
}

function caughtUp(): void {
  const { book, pass } = desk();
  book.recordEngines([engine('a', '1')]);
  book.recordNaming({ model: 'm1', weights: '2', older: ['*'] }, false);
  pass(LATE - 1);
  expect(book.expectedWeights('a', 'm1')?.kind).toBe('old');
  pass(1);
  expect(book.expectedWeights('a', 'm1')).toBeUndefined();
}

function endedIsTooLate(): void {
  const { book } = desk();
  book.recordEngines([engine('a', '1')]);
  book.recordNaming({ model: 'm1', weights: '2', older: ['*'] }, true);
  book.recordNaming({ model: 'm1', weights: '2', older: [] }, true);
  expect(book.expectedWeights('a', 'm1')).toBeUndefined();
}

function answersGoBeforeTheList(): void {
  const { book } = desk();
  book.recordEngines([engine('a', '1', '7')]);
  book.recordNaming({ model: 'm1', weights: '2', older: ['*'] }, true);
  book.recordReported('a', { m1: '2' });
  book.recordEngines([engine('a', '1', '7')]);
  expect(book.expectedWeights('a', 'm1')).toEqual({ weights: '2', kind: 'now' });
  expect(book.expectedWeights('a', 'm2')).toEqual({ weights: '7', kind: 'now' });
  book.recordReported('a', { m1: '3' });
  expect(book.expectedWeights('a', 'm1')).toEqual({ weights: '3', kind: 'now' });
  book.recordEngines([]);
  book.recordEngines([engine('a', '1', '7')]);
  expect(book.expectedWeights('a', 'm1')).toEqual({ weights: '1', kind: 'old' });
}

function loadingIsLeftAlone(): void {
  const { book, pass } = desk();
  book.recordEngines([engine('a', '1', '7'), engine('b', '1')]);
  book.recordNaming({ model: 'm1', weights: '2', older: ['*'] }, true);
  book.recordLoading(['a'], 900);
  expect(book.expectedWeights('a', 'm1')).toEqual({ weights: '2', kind: 'loading' });
  expect(book.expectedWeights('a', 'm2')).toEqual({ weights: '7', kind: 'now' });
  expect(book.expectedWeights('b', 'm1')?.kind).toBe('old');
  pass(900);
  expect(book.expectedWeights('a', 'm1')?.kind).toBe('old');
  book.recordLoading(['a'], 900);
  book.recordReported('a', { m1: '2' });
  expect(book.expectedWeights('a', 'm1')?.kind).toBe('now');
}

async function coreSays(): Promise<void> {
  const { book } = desk();
  const edge = [new WeightsMessages(book)];
  book.recordEngines([engine('a', '1')]);
  book.recordNaming({ model: 'm1', weights: '2', older: ['*'] }, true);
  await dispatch(edge, 'loading', { engines: ['a'], within: 900 }, undefined, 'core');
  expect(book.expectedWeights('a', 'm1')?.kind).toBe('loading');
  await dispatch(edge, 'loading', { engines: ['a'], within: 0 }, undefined, 'core');
  expect(book.expectedWeights('a', 'm1')?.kind).toBe('old');
  await dispatch(edge, 'loaded', { engine: 'a', weights: { m1: '2' } }, undefined, 'core');
  expect(book.expectedWeights('a', 'm1')).toEqual({ weights: '2', kind: 'now' });
  expect((await dispatch(edge, 'loading', { engines: 'a' }, undefined, 'core')).isLeft()).toBe(
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
