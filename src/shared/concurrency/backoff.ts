/**
 * Exponential backoff with jitter between attempts to reach a peer.
 */

import { Clock } from '../ports/clock';
import { RandomSource } from '../ports/random';

/** The first pause, as a ratio of the retry pause; each further one is twice as long, up to the longest. */
const INITIAL_BACKOFF_RATIO = 0.1;
/** The longest pause, as a ratio of the retry pause. */
const MAX_BACKOFF_RATIO = 0.4;
/** The least part of a pause that is waited; jitter adds up to as much as a whole pause. */
const MIN_JITTER_RATIO = 0.5;

/** The pauses between attempts of one loop. */
export class Backoff {
  private pauseMs = 0;

  /** Pauses are ratios of `retryPauseMs`. */
  constructor(
    private readonly ports: { clock: Clock; random: RandomSource },
    private readonly retryPauseMs: number,
  ) {
    this.reset();
  }

  /** Starts again with the first pause, after a success. */
  reset(): void {
    this.pauseMs = this.retryPauseMs * INITIAL_BACKOFF_RATIO;
  }

  /** Waits for one pause with jitter; the next is twice as long. */
  wait(): Promise<void> {
    const { clock, random } = this.ports;
    const waitMs = this.pauseMs * (MIN_JITTER_RATIO + random.next());
    this.pauseMs = Math.min(this.pauseMs * 2, this.retryPauseMs * MAX_BACKOFF_RATIO);
    return clock.sleep(waitMs);
  }
}
