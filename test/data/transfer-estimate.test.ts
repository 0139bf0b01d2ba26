import { LinkEndpoint, TransferEstimator } from '../../src/data/gateway/transfer-estimate';

function findsAndForgivesSlowLinks(): void {
  const transfers = new TransferEstimator();
  const a: LinkEndpoint = { name: 'a', zone: 'z1', region: 'r1', linkMbps: 1000 };
  const b: LinkEndpoint = { name: 'b', zone: 'z1', region: 'r1', linkMbps: 2000 };
  expect(transfers.transferMs(a, b, 1e6)).toBeCloseTo(8);
  expect(transfers.transferMs(a, { ...b, zone: 'z2' }, 1e6)).toBeCloseTo(16);
  expect(transfers.transferMs(a, { ...b, zone: 'z2', region: 'r2' }, 1e6)).toBeCloseTo(80);
  for (let i = 0; i < 4; i++) transfers.observe('a', 'b', true);
  expect(transfers.transferMs(a, b, 1e6)).toBeGreaterThan(8 * 8);
  for (let i = 0; i < 12; i++) transfers.observe('a', 'b', false);
  expect(transfers.transferMs(a, b, 1e6)).toBeCloseTo(8);
}

test(
  'moves take longer over zones, and slow links are found and forgiven',
  findsAndForgivesSlowLinks,
);
