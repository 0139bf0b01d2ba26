/**
 * The pauses of maintenance loops: spread at random, so that the loops of several nodes don't run in step.
 */

import { Waker } from '../shared/concurrency/waker';
import { RandomSource } from '../shared/ports/random';
import { TimeLimits } from '../shared/settings/time-limits';

/** The shortest pause, and by how much the longest exceeds it, as ratios of the average. */
const MIN_PAUSE_RATIO = 0.8;
const PAUSE_SPREAD_RATIO = 0.4;

/** How long after a wake-up a loop runs, as a ratio of the retry pause: further events of the same cause join it. */
const WAKE_DELAY_RATIO = 0.1;

/** Draws a pause of 0.8 to 1.2 times the average, in the unit of the average. */
export function jittered(random: RandomSource, average: number): number {
  return average * (MIN_PAUSE_RATIO + PAUSE_SPREAD_RATIO * random.next());
}

/** Waits for the next round of a maintenance loop: about a lease renewal, or less where the loop is woken. */
export function waitForNextRound(
  waker: Waker,
  timeLimits: TimeLimits,
  random: RandomSource,
): Promise<void> {
  const pauseMs = jittered(random, timeLimits.leaseRenewalMs);
  return waker.wait(pauseMs, timeLimits.retryPauseMs * WAKE_DELAY_RATIO);
}
