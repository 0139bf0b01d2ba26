import { shortDay } from './platform-rig';

async function calm(): Promise<void> {
  const day = await shortDay('sbr', 4, []);
  const { broken, ended, allReady, other } = day;
  expect({ broken, ended, allReady, other }).toEqual({
    broken: {},
    ended: [],
    allReady: true,
    other: {},
  });
  expect(day.asked).toBeGreaterThan(20);
  expect(day.served).toBe(day.asked);
}

test(
  'a calm day of 3 controllers, 3 indexers and 4 routers: the configuration is taken, all is served, no rule is broken',
  calm,
);
