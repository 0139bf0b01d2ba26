/**
 * How long the steps of a longer operation took, for its log line.
 */

import { Clock } from '../../shared/ports/clock';

/** Measures steps by name, in ms. */
export interface StepTimes {
  /** Waits for a step, and adds how long that took to the time of its name. */
  timed: <T>(name: string, step: Promise<T>) => Promise<T>;
  /** The time of each step so far; one that was taken several times has their sum. */
  took: () => Record<string, number>;
}

/** Makes step times that are empty. */
export function makeStepTimes(clock: Clock): StepTimes {
  const tookMs: Record<string, number> = {};

  async function timed<T>(name: string, step: Promise<T>): Promise<T> {
    const startedAt = clock.now();
    const result = await step;
    tookMs[name] = (tookMs[name] ?? 0) + Math.round(clock.now() - startedAt);
    return result;
  }

  function took(): Record<string, number> {
    return { ...tookMs };
  }

  return { timed, took };
}
