/** When the event loop last stood still, so that what is handled late is known to have come earlier. */

import { Clock } from '../ports/clock';

/** How late a look may be, as a share of the time between two, before the loop counts as having stood still. */
const TOLERANCE = 0.4;

/** Watches an event loop. Times are of the clock port, in ms. */
export interface StallMonitor {
  /** Is to be called every `everyMs`, by a timer. */
  look: () => void;
  /** The earliest time at which something that is handled now may have come: the start of a stall that has only just ended, or now. */
  earliest: () => number;
}

/** Makes a watch over the event loop of a process that looks every `everyMs`. */
export function makeStallMonitor(clock: Clock, everyMs: number): StallMonitor {
  let lookedAt = clock.now();
  let stalledFrom = -Infinity;
  let stallEndedAt = -Infinity;

  function look(): void {
    const now = clock.now();
    if (isStall(now)) {
      stalledFrom = lookedAt;
      stallEndedAt = now;
    }
    lookedAt = now;
  }

  function isStall(now: number): boolean {
    return now - lookedAt > everyMs * (1 + TOLERANCE);
  }

  function earliest(): number {
    const now = clock.now();
    if (isStall(now)) return lookedAt;
    return now - stallEndedAt <= everyMs ? stalledFrom : now;
  }

  return { look, earliest };
}
