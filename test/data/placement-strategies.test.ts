import { USUAL } from '../../tools/sim/placingworld';
import { PlacingResult } from '../../tools/sim/placingscore';
import { playPlacing } from '../../tools/sim/placing';

function play(way: 'full' | 'affinity' | 'least-busy'): PlacingResult {
  return playPlacing({ ...USUAL, seconds: 20 }, way, 5);
}

function reckoningWins(): void {
  const full = play('full');
  const affinity = play('affinity');
  const leastBusy = play('least-busy');
  for (const other of [affinity, leastBusy]) {
    expect(full.longInAim).toBeGreaterThan(other.longInAim);
    expect(full.shortInAim).toBeGreaterThan(other.shortInAim);
    expect(full.longMean).toBeLessThan(other.longMean);
    expect(full.readAgain).toBeLessThan(other.readAgain);
  }
  expect(full.refused).toBe(0);
}

test(
  'against a model of engines, reckoning beats affinity alone and the least busy alone',
  reckoningWins,
);
