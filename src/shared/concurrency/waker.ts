import { Clock } from '../ports/clock';

/** Waits that end at their time, or sooner where something has come up meanwhile. */
export interface Waker {
  /** Comes back after `ms`, or `least` after it was woken. */
  wait: (ms: number, least: number) => Promise<void>;
  wake: () => void;
}

/** Makes a waker for one loop. */
export function makeWaker(clock: Clock): Waker {
  let woken = false;
  let end: (() => void) | undefined;

  function wake(): void {
    woken = true;
    end?.();
  }

  async function wait(ms: number, least: number): Promise<void> {
    function run(done: () => void): void {
      const off = clock.setTimer(ms, over);
      function over(): void {
        off();
        end = undefined;
        done();
      }
      end = over;
    }
    if (!woken) await new Promise<void>(run);
    if (woken) await clock.sleep(least);
    woken = false;
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
