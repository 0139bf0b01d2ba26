import { makeStallMonitor } from '../../src/shared/observability/event-loop-stalls';
import { manualClock } from './manual-clock';

const EVERY_MS = 150;

/** A clock and a watch that looks by its timers. */
function startWatch(): {
  clock: ReturnType<typeof manualClock>;
  watch: ReturnType<typeof makeStallMonitor>;
} {
  const clock = manualClock();
  const watch = makeStallMonitor(clock, EVERY_MS);
  function look(): void {
    watch.look();
    clock.setTimer(EVERY_MS, look);
  }
  clock.setTimer(EVERY_MS, look);
  return { clock, watch };
}

async function nowWithoutStall(): Promise<void> {
  const { clock, watch } = startWatch();
  for (let i = 0; i < 20; i++) {
    await clock.advance(70);
    expect(watch.earliest()).toBe(clock.now());
  }
}

async function fromStall(): Promise<void> {
  const { clock, watch } = startWatch();
  await clock.advance(EVERY_MS);
  const heldFrom = clock.now();
  clock.holdUp(600);
  expect(watch.earliest()).toBe(heldFrom);
  await clock.advance(EVERY_MS / 2);
  expect(watch.earliest()).toBe(heldFrom);
  await clock.advance(EVERY_MS);
  expect(watch.earliest()).toBe(clock.now());
}

/** A look that is due and has not come yet tells of the stall as well. */
async function beforeTheLook(): Promise<void> {
  const clock = manualClock();
  const watch = makeStallMonitor(clock, EVERY_MS);
  await clock.advance(600);
  expect(watch.earliest()).toBe(0);
}

test('what is handled while the loop runs came now', nowWithoutStall);
test('what is handled just after a stall may have come at its start', fromStall);
test('a look that is overdue tells of a stall', beforeTheLook);
