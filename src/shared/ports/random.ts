/**
 * The port of randomness.
 */

/** Randomness. */
export interface RandomSource {
  /** A number from 0 to below 1. */
  next: () => number;
  /** A random UUID (version 4). */
  uuid: () => string;
}
