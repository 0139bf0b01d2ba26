/**
 * The clock port.
 */

/** Monotonic time; wall time for logs only. */
export interface Clock {
  now: () => number;
  wallTime: () => string;
  sleep: (ms: number) => Promise<void>;
  setTimer: (ms: number, ring: () => void) => () => void;
}
