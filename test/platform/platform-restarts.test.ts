import { withLongAnswers } from '../../tools/fleet/busy-machine';
import { SoakStep } from '../../tools/fleet/soak';
import { shortDay } from './platform-rig';

/** Most routers of a zone are restarted at once, twice, beside other restarts and changes. */
const RESTARTS: SoakStep[] = [
  { at: 1500, trouble: 'roll-zone' },
  { at: 3000, trouble: 'config' },
  { at: 3500, trouble: 'roll-router' },
  { at: 11000, trouble: 'roll-zone' },
];

async function longAnswers(): Promise<void> {
  const day = await shortDay('sbr', 20, [], RESTARTS, { edges: 9, alter: withLongAnswers });
  const { broken, ended, allReady } = day;
  expect({ broken, ended, allReady }).toEqual({ broken: {}, ended: [], allReady: true });
  expect(day.served).toBeGreaterThan(day.asked * 0.5);
}

test('routers that are restarted beside long answers give none up', longAnswers);
