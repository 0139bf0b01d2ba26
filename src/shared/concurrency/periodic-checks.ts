/**
 * Checks at a fixed interval that tell whether this process was held up: what is seen after that tells nothing of others.
 */

import { Clock } from '../ports/clock';

/** A check that comes later than this ratio of its interval after the one before tells that this process was held up. */
const MAX_DELAY_RATIO = 2;

/** Calls `check` each `intervalMs` until the process is stopped; `now` is in ms of the clock port. */
export async function checkPeriodically(
  clock: Clock,
  intervalMs: number,
  isStopped: () => boolean,
  check: (now: number, wasHeldUp: boolean) => void,
): Promise<void> {
  let previousCheckAt = clock.now();
  while (!isStopped()) {
    await clock.sleep(intervalMs);
    const now = clock.now();
    const wasHeldUp = now - previousCheckAt > intervalMs * MAX_DELAY_RATIO;
    previousCheckAt = now;
    check(now, wasHeldUp);
  }
}
