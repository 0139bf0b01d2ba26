/**
 * The pauses of maintenance loops: spread at random, so that the loops of several nodes don't run in step.
 */

import { jittered } from '../shared/concurrency/jitter';
import { Waker } from '../shared/concurrency/waker';
import { RandomSource } from '../shared/ports/random';
import { TimeLimits } from '../shared/settings/time-limits';

/** How long after a wake-up a loop runs, as a ratio of the retry pause: further events of the same cause join it. */
const WAKE_DELAY_RATIO = 0.1;

/** Waits for the next round of a maintenance loop: about a lease renewal, or less where the loop is woken. */
export function waitForNextRound(
  waker: Waker,
  timeLimits: TimeLimits,
  random: RandomSource,
): Promise<void> {
  const pauseMs = jittered(random, timeLimits.leaseRenewalMs);
  return waker.wait(pauseMs, timeLimits.retryPauseMs * WAKE_DELAY_RATIO);
}
