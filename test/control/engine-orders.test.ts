import { usersPlatform } from '../../platform/adapter';
import { OrderReply } from '../../src/shared/platform-adapter/platform-adapter';

const { order, report } = usersPlatform.engines;

function words(): void {
  const request = order.ask({
    instance: 'i-1',
    model: 'm',
    weights: '12',
    method: 'queue',
    holder: 'core-1.ab',
    fence: 41,
  });
  expect(request).toMatchObject({
    method: 'POST',
    target: '/api/order',
    headers: ['plumhollow-expect-instance', 'i-1'],
  });
  expect(JSON.parse(request.body as string)).toEqual({
    operation: 'revision',
    model: 'm',
    revision: 12,
    method: 'queue',
    holder: 'core-1.ab',
    fenceToken: 41,
  });
  const again = order.ask({
    instance: 'i-1',
    model: 'm',
    weights: '12',
    method: 'queue',
    holder: 'core-1.ab',
    fence: 41,
    expected: 3,
  });
  const body = JSON.parse(again.body as string) as { expectedCount: number };
  expect(body.expectedCount).toBe(3);
}

function answers(): void {
  const want: [number, OrderReply][] = [
    [200, 'holds'],
    [202, 'taken'],
    [400, 'bad'],
    [409, 'busy'],
    [412, 'fenced'],
    [421, 'other-instance'],
    [503, 'unknown'],
    [500, 'unknown'],
  ];
  for (const [status, a] of want) expect(order.read(status, undefined)).toBe(a);
}

function reads(): void {
  const body = {
    stage: 'prefill_decode',
    models: [{ name: 'm', revision: 1, adapters: [] }],
    busy: true,
    callCount: 2,
    queued: 1,
    running: 12,
    cacheUsed: 41000,
    cacheTotal: 90000,
    handles: 0,
  };
  expect(report.ask()).toEqual({ method: 'GET', target: '/api/report', headers: [] });
  expect(report.read(200, body).extract()).toEqual({
    models: [{ name: 'm', weights: '1' }],
    busy: true,
    orders: 2,
    waiting: 1,
    running: 12,
    cacheUsed: 41000,
    cacheTotal: 90000,
  });
  for (const [status, b] of [
    [503, body],
    [200, undefined],
    [200, {}],
    [200, { models: [{ name: 'm' }] }],
    [200, 'text'],
  ] as [number, unknown][])
    expect(report.read(status, b).isLeft()).toBe(true);
}

test('an order names its instance, its fence, and what was counted', words);
test('each answer to an order is told apart', answers);
test('a report is read, and one that lacks what is needed is not', reads);
