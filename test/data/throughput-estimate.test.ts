import { ThroughputEstimator } from '../../src/data/gateway/throughput-estimate';
import { seededDice } from '../../tools/sim/dice';

function learnsInSpiteOfStrays(): void {
  const dice = seededDice(3);
  const estimator = new ThroughputEstimator();
  for (let i = 0; i < 600; i++) {
    const tokens = Math.round(200 + 20000 * dice.next());
    const ahead = dice.next() < 0.3 ? Math.round(10000 * dice.next()) : 0;
    const slow = i % 3 === 0 ? 1.5 : 1;
    const stray = dice.next() < 0.05 ? 2000 : 0;
    const ms = slow * (40 + tokens * 0.05 + ahead * 0.03) * (0.9 + 0.2 * dice.next()) + stray;
    estimator.observeFirstEvent('p', slow > 1 ? 'slow' : 'fast', {
      firstEventMs: ms,
      prefillTokens: tokens,
      attentionPairs: (tokens * tokens) / 2,
      queuedTokens: ahead,
    });
  }
  const fast = estimator.estimate('p', 'fast');
  const slow = estimator.estimate('p', 'slow');
  const due = fast.baseMs + 10000 * fast.msPerPrefillToken + 5e7 * fast.msPerAttentionPair;
  expect(due).toBeGreaterThan(0.8 * 540);
  expect(due).toBeLessThan(1.25 * 540);
  expect(slow.msPerPrefillToken / fast.msPerPrefillToken).toBeGreaterThan(1.25);
  expect(slow.msPerPrefillToken / fast.msPerPrefillToken).toBeLessThan(1.75);
}

test('the pace of engines is learned in spite of strays', learnsInSpiteOfStrays);
