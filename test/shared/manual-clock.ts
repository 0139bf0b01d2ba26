/** A clock that stands still until a test moves it on. */

import { Clock } from '../../src/shared/ports/clock';

interface Timer {
  at: number;
  ring: () => void;
}

/** A clock of a test's own; times are in ms from its start. */
export interface ManualClock extends Clock {
  /** Moves the clock on, ringing each timer at its own time; what waits on sockets is let run between them. */
  advance: (ms: number) => Promise<void>;
  /** Lets time pass while nothing runs, as where a process is held up; timers that fell due ring at its end, all in one turn. */
  holdUp: (ms: number) => void;
}

/** Lets all that is ready on sockets run. */
async function settle(): Promise<void> {
  const TURNS = 3;
  for (let i = 0; i < TURNS; i++) await new Promise<void>(turn);
  function turn(done: () => void): void {
    setImmediate(done);
  }
}

/** Makes a clock at 0. */
export function manualClock(): ManualClock {
  const timers = new Set<Timer>();
  let time = 0;

  function now(): number {
    return time;
  }

  function timer(ms: number, ring: () => void): () => void {
    const t: Timer = { at: time + ms, ring };
    timers.add(t);
    function off(): void {
      timers.delete(t);
    }
    return off;
  }

  function sleep(ms: number): Promise<void> {
    function wait(done: () => void): void {
      timer(ms, done);
    }
    return new Promise(wait);
  }

  function nextBy(end: number): Timer | undefined {
    let next: Timer | undefined;
    for (const t of timers) if (t.at <= end && (!next || t.at < next.at)) next = t;
    return next;
  }

  async function advance(ms: number): Promise<void> {
    const end = time + ms;
    for (let t = nextBy(end); t; t = nextBy(end)) {
      timers.delete(t);
      time = Math.max(time, t.at);
      t.ring();
      await settle();
    }
    time = end;
    await settle();
  }

  function holdUp(ms: number): void {
    time += ms;
    for (let t = nextBy(time); t; t = nextBy(time)) {
      timers.delete(t);
      t.ring();
    }
  }

  return { now, wallTime: String, sleep, setTimer: timer, advance, holdUp };
}
