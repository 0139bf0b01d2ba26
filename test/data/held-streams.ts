/** A stand-in engine's answers that a test lets go. */

import { EngineCall, engineHeaders } from './gateway-fixture';

/** Streams of two events: the first comes at once, the last when told. */
export interface HeldStreams {
  answer: (c: EngineCall) => void;
  /** Ends each stream that is held, the oldest first. */
  ends: (() => void)[];
  /** Ends all that are held. */
  finish: () => void;
  held: () => number;
  /** Comes once the next stream is held. */
  next: () => Promise<void>;
}

/** Makes streams that are held; silent ones have not begun before they are told to end. */
export function heldStreams(isSilent = false): HeldStreams {
  const ends: (() => void)[] = [];
  let tellHeld = nothing;
  function nothing(): void {
    // does nothing on purpose
  }

  function answer(c: EngineCall): void {
    function begin(): void {
      c.res.writeHead(200, engineHeaders(c));
      c.res.write('id: 1\ndata: first\n\n');
    }
    function end(): void {
      if (isSilent) begin();
      c.res.end('id: 2\ndata: last\n\n');
    }
    if (!isSilent) begin();
    ends.push(end);
    tellHeld();
  }

  function finish(): void {
    for (const end of ends.splice(0)) end();
  }

  function held(): number {
    return ends.length;
  }

  function next(): Promise<void> {
    function wait(done: () => void): void {
      tellHeld = done;
    }
    return new Promise(wait);
  }

  return { answer, ends, finish, held, next };
}
