import { shortDay } from './platform-rig';

async function processes(): Promise<void> {
  const day = await shortDay('aoc', 10, [
    'kill-controller',
    'roll-router',
    'crash-engine',
    'release',
  ]);
  const { broken, ended, allReady } = day;
  expect({ broken, ended, allReady }).toEqual({ broken: {}, ended: [], allReady: true });
  expect(day.served).toBeGreaterThan(day.asked * 0.8);
}

test(
  'a controller killed, a router rolled, an engine crashed, one replaced and its address used again',
  processes,
);
