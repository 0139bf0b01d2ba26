import { WarmUpLimit } from '../../src/data/gateway/warm-up-limit';
import { PERMIT_SPACING_MS } from '../../src/shared/replication/warm-up-permits';
import { Engine } from '../../src/shared/state/engines';
import { manualClock } from '../shared/manual-clock';

const PERMITS = 2;

const ENGINE: Engine = {
  id: 'e1',
  at: '',
  zone: 'zone-a',
  model: 'm',
  weights: '1',
  leaving: false,
};

function always(): boolean {
  return true;
}

function permits(): number {
  return PERMITS;
}

/** Guards against FAILBACK: permits serve twice in a second where an engine's entry goes from the list and comes back. */
async function entryGoesAndComesBack(): Promise<void> {
  const clock = manualClock();
  const limit = new WarmUpLimit({ clock, isCold: always, permitCount: permits });
  for (let i = 0; i < PERMITS; i++) expect(limit.trySend(ENGINE)).toBe(true);
  limit.retain(new Set());
  await clock.advance(PERMIT_SPACING_MS - 1);
  limit.retain(new Set([ENGINE.id]));
  expect(limit.trySend(ENGINE)).toBe(false);
  await clock.advance(1);
  expect(limit.trySend(ENGINE)).toBe(true);
}

test('permits in use stay so while their engine is not listed', entryGoesAndComesBack);
