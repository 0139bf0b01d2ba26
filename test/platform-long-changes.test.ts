import { SoakStep } from '../tools/fleet/soak';
import { shortDay } from './platform-rig';

/** Thousands of routes come and go while a router is restarted, a controller is killed and a key is taken away. */
const STEPS: SoakStep[] = [
  { at: 500, trouble: 'long-changes' },
  { at: 2000, trouble: 'roll-router' },
  { at: 4000, trouble: 'long-changes' },
  { at: 4500, trouble: 'kill-controller' },
  { at: 6000, trouble: 'revoke' },
];

async function longChanges(): Promise<void> {
  const day = await shortDay('aoc', 14, [], STEPS, { edges: 6 });
  const { broken, ended, allReady } = day;
  expect({ broken, ended, allReady }).toEqual({ broken: {}, ended: [], allReady: true });
  expect(day.served).toBeGreaterThan(day.asked * 0.5);
}

test('long changes amid restarts break no rule', longChanges);
