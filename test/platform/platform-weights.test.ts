import { shortDay } from './platform-rig';

async function named(): Promise<void> {
  const day = await shortDay('sbr', 12, ['version-bump', 'crash-engine']);
  const { broken, ended, allReady } = day;
  expect({ broken, ended, allReady }).toEqual({ broken: {}, ended: [], allReady: true });
  expect(day.served).toBeGreaterThan(day.asked * 0.8);
  expect(day.loads).toBeGreaterThan(0);
}

test(
  'new weights are named: engines are ordered to take them, and nothing runs on memory of old ones',
  named,
);
