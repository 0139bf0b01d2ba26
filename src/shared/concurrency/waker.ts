/**
 * Waits of loops that can be cut short.
 */

import { Clock } from '../ports/clock';

/** The waits of one loop, which end sooner where it is woken. */
export interface Waker {
  /** Resolves after `ms`, or `wakeDelayMs` after it was woken, also where that was before the wait. */
  wait: (ms: number, wakeDelayMs: number) => Promise<void>;
  /** Ends the wait in progress, or the next one. */
  wake: () => void;
}

/** Makes a waker for one loop. */
export function makeWaker(clock: Clock): Waker {
  let isWoken = false;
  let endWait: (() => void) | undefined;

  function wake(): void {
    isWoken = true;
    endWait?.();
  }

  async function wait(ms: number, wakeDelayMs: number): Promise<void> {
    function run(resolve: () => void): void {
      const cancelTimer = clock.setTimer(ms, onEnd);
      function onEnd(): void {
        cancelTimer();
        endWait = undefined;
        resolve();
      }
      endWait = onEnd;
    }
    if (!isWoken) await new Promise<void>(run);
    if (isWoken) await clock.sleep(wakeDelayMs);
    endRound();
  }

  /** What woke the loop during the delay belongs to the round that begins now, which sees its state. */
  function endRound(): void {
    isWoken = false;
  }

  return { wait, wake };
}

/** The wakers of all loops of a process. */
export interface WakerGroup {
  /** Makes a waker for one more loop. */
  add: () => Waker;
  /** Wakes all loops. */
  wake: () => void;
}

/** Makes a process's wakers. */
export function makeWakerGroup(clock: Clock): WakerGroup {
  const wakers: Waker[] = [];

  function add(): Waker {
    const waker = makeWaker(clock);
    wakers.push(waker);
    return waker;
  }

  function wake(): void {
    for (const waker of wakers) waker.wake();
  }

  return { add, wake };
}
