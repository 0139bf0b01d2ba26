/**
 * The port of randomness.
 */

/** Randomness. */
export interface RandomSource {
  next: () => number;
  uuid: () => string;
}
