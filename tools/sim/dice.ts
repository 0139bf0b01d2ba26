import { RandomSource } from '../../src/shared/ports/random';

/** Randomness from a seed, the same every run. */
export function seededDice(seed: number): RandomSource {
  let s = (seed * 2654435761) >>> 0;
  function next(): number {
    s = (s + 0x6d2b79f5) >>> 0;
    let t = s;
    t = Math.imul(t ^ (t >>> 15), t | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 4294967296;
  }
  function id(): string {
    let out = '';
    for (let i = 0; i < 4; i++)
      out += Math.floor(next() * 4294967296)
        .toString(16)
        .padStart(8, '0');
    return out;
  }
  return { next, uuid: id };
}
