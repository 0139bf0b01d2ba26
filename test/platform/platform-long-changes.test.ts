import { SoakStep } from '../../tools/fleet/soak';
import { shortDay } from './platform-rig';

/** Thousands of routes come and go while a router is restarted, a controller is killed and a key is taken away. */
const STEPS: SoakStep[] = [
  { at: 500, trouble: 'long-changes' },
  { at: 2000, trouble: 'roll-router' },
  { at: 4000, trouble: 'long-changes' },
  { at: 4500, trouble: 'kill-controller' },
  { at: 6000, trouble: 'revoke' },
];

/** Invalid changes of each kind, whole and of named items, amid storms and long changes. */
const INVALID: SoakStep[] = [
  { at: 500, trouble: 'config-storm' },
  { at: 1000, trouble: 'bad-config' },
  { at: 3000, trouble: 'long-changes' },
  { at: 3200, trouble: 'bad-config' },
  { at: 3400, trouble: 'bad-update' },
  { at: 4500, trouble: 'config-storm' },
  { at: 5000, trouble: 'bad-config' },
  { at: 5200, trouble: 'bad-update' },
];

async function longChanges(): Promise<void> {
  await expectSound(STEPS);
}

async function invalidChanges(): Promise<void> {
  await expectSound(INVALID);
}

async function expectSound(steps: readonly SoakStep[]): Promise<void> {
  const day = await shortDay('aoc', 14, [], steps, { edges: 6 });
  const { broken, ended, allReady } = day;
  expect({ broken, ended, allReady }).toEqual({ broken: {}, ended: [], allReady: true });
  expect(day.served).toBeGreaterThan(day.asked * 0.5);
}

test('long changes amid restarts break no rule', longChanges);
test('invalid changes amid storms and long changes break no rule', invalidChanges);
