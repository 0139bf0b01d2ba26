import { feeds } from '../../platform/cache-events';

function asks(): void {
  expect(feeds.feed.ask(118, 800)).toEqual({
    method: 'GET',
    target: '/api/kv-events?since=118',
    headers: ['Wait-Ms', '800'],
  });
  expect(feeds.feed.ask(0, 4000).headers).toEqual(['Wait-Ms', '1000']);
  expect(feeds.list.ask()).toEqual({ method: 'GET', target: '/api/kv-list', headers: [] });
}

function reads(): void {
  const events = [
    [119, '+', 's1', '5c1e07a2', 800, 'daka510000'],
    [120, '-', 's1', '91bd3f06', 128, 'daka510000'],
  ];
  expect(
    feeds.feed.read(200, { epoch: 77120, nextPageToken: 120, lost: false, events }).unsafeCoerce(),
  ).toEqual({
    epoch: '77120',
    next: 120,
    lost: false,
    events: [
      { seq: 119, kind: 'stored', model: 'daka510000', salt: 's1', hash: '5c1e07a2', size: 800 },
      { seq: 120, kind: 'removed', model: 'daka510000', salt: 's1', hash: '91bd3f06', size: 128 },
    ],
  });
  expect(
    feeds.list
      .read(200, {
        epoch: 77120,
        nextPageToken: 120,
        held: [['s1', '5c1e07a2', 800, 'daka510000']],
      })
      .unsafeCoerce(),
  ).toEqual({
    epoch: '77120',
    next: 120,
    held: [{ salt: 's1', hash: '5c1e07a2', size: 800, model: 'daka510000' }],
  });
}

/** Entries that a later version appends are passed over; what is missing makes it no answer. */
function tolerates(): void {
  const more = {
    epoch: 'x',
    nextPageToken: 1,
    lost: true,
    more: 1,
    events: [[1, '+', null, 'aa', 16, 'm', 'new']],
  };
  expect(feeds.feed.read(200, more).unsafeCoerce()).toEqual({
    epoch: 'x',
    next: 1,
    lost: true,
    events: [{ seq: 1, kind: 'stored', model: 'm', salt: '', hash: 'aa', size: 16 }],
  });
  for (const body of [
    undefined,
    null,
    7,
    [],
    {},
    { epoch: 1 },
    { epoch: 1, nextPageToken: 'p' },
    { epoch: 1, nextPageToken: 2 },
    { ...more, events: [[1, '*', 's', 'aa', 16, 'm']] },
    { ...more, events: [7] },
    { ...more, events: [['1', '+', 's', 'aa', 16, 'm']] },
  ]) {
    expect(feeds.feed.read(200, body).isLeft()).toBe(true);
    expect(feeds.list.read(200, body).isLeft()).toBe(true);
  }
  expect(feeds.feed.read(429, more).extract()).toBe('status 429');
  expect(feeds.list.read(200, { ...more, held: [['s', 'aa', '16', 'm']] }).isLeft()).toBe(true);
}

describe('how sources of kept parts are asked and read', all);
function all(): void {
  test('calls', asks);
  test('answers', reads);
  test('what is more is passed over, what is wrong is no answer', tolerates);
}
