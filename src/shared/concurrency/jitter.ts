/**
 * Jitter: pauses that are spread at random, so that the loops of several nodes don't run in step.
 */

import { RandomSource } from '../ports/random';

/** The shortest pause, and by how much the longest exceeds it, as ratios of the average. */
const MIN_PAUSE_RATIO = 0.8;
const PAUSE_SPREAD_RATIO = 0.4;

/** Draws a pause of 0.8 to 1.2 times the average, in the unit of the average. */
export function jittered(random: RandomSource, average: number): number {
  return average * (MIN_PAUSE_RATIO + PAUSE_SPREAD_RATIO * random.next());
}
