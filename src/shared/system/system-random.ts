/**
 * The port of randomness, by the machine's.
 */

import { randomUUID } from 'node:crypto';
import { RandomSource } from '../ports/random';

/** The machine's randomness. */
export function makeSystemRandom(): RandomSource {
  return { next: Math.random, uuid: randomUUID };
}
