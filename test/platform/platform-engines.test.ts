import { shortDay } from './platform-rig';

async function answers(): Promise<void> {
  const day = await shortDay('sbr', 8, ['garble', 'lost-answers', 'revoke', 'events-lost']);
  const { broken, ended, allReady } = day;
  expect({ broken, ended, allReady }).toEqual({ broken: {}, ended: [], allReady: true });
  expect(day.served).toBeGreaterThan(day.asked * 0.8);
}

test('surplus answers, answers lost after the run, a key revoked, events lost', answers);
