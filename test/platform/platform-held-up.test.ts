import { slowReaders, withLongAnswers } from '../../tools/fleet/busy-machine';
import { SoakStep } from '../../tools/fleet/soak';
import { Site } from '../../tools/standins/platform/site';
import { shortDay } from './platform-rig';

/** Routers are held up as their signals come, beside changes a tenth of a second apart. */
const SIGNALS: SoakStep[] = [
  { at: 1000, trouble: 'config-storm' },
  { at: 1500, trouble: 'roll-held-up' },
  { at: 8000, trouble: 'config-storm' },
  { at: 12000, trouble: 'roll-held-up' },
];

/** Engines are slow, and nearly full of long answers; some clients read slowly. */
function withSlowReaders(site: Site): Site {
  return slowReaders(withLongAnswers(site));
}

async function heldUp(): Promise<void> {
  const day = await shortDay('sbr', 20, [], SIGNALS, { edges: 3, alter: withSlowReaders });
  const { broken, ended, allReady } = day;
  expect({ broken, ended, allReady }).toEqual({ broken: {}, ended: [], allReady: true });
  expect(day.served).toBeGreaterThan(day.asked * 0.5);
}

test('routers that handle their signals late give nothing up that they took late', heldUp);
