import os from 'node:os';
import { makeSystemClock } from '../../src/shared/system/system-clock';

/** What a clock shows to have passed while the machine's time since boot ran an hour ahead, in ms. */
function passed(suspends: boolean): number {
  const boot = jest.spyOn(os, 'uptime').mockReturnValue(100);
  const clock = makeSystemClock(suspends);
  const before = clock.now();
  boot.mockReturnValue(3_700);
  const ms = clock.now() - before;
  boot.mockRestore();
  return ms;
}

function alone(): void {
  expect(passed(false)).toBeLessThan(1_800_000);
}

function together(): void {
  expect(passed(true) > 1_800_000).toBe(process.platform === 'linux');
}

test("where nothing is suspended, a time since boot that runs ahead moves no timer's time", alone);
test('where a machine may be suspended, the time since boot is counted', together);
