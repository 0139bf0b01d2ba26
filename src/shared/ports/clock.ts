/**
 * The clock port.
 */

/** Monotonic time; wall time for logs only. */
export interface Clock {
  /** Monotonic time in ms. */
  now: () => number;
  /** The time of day (ISO 8601), for logs only. */
  wallTime: () => string;
  sleep: (ms: number) => Promise<void>;
  /** Calls a function once after `ms`; the result cancels the timer. */
  setTimer: (ms: number, onTimer: () => void) => () => void;
}
