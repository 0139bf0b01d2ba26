/**
 * The clock port, by the machine's monotonic clock.
 */

import { uptime } from 'node:os';
import { performance } from 'node:perf_hooks';
import { countingSuspension } from './suspension-clock';
import { Clock } from '../ports/clock';

function sinceBoot(): number {
  return uptime() * 1000;
}

/** The machine's monotonic clock, with the time it was suspended where it may be. */
export function makeSystemClock(suspends = true): Clock {
  const monotonic = performance.now.bind(performance);
  const now =
    suspends && process.platform === 'linux' ? countingSuspension(monotonic, sinceBoot) : monotonic;
  function wall(): string {
    return new Date().toISOString();
  }
  function sleep(ms: number): Promise<void> {
    function wait(go: () => void): void {
      setTimeout(go, ms);
    }
    return new Promise(wait);
  }
  function timer(ms: number, ring: () => void): () => void {
    const t = setTimeout(ring, ms);
    function off(): void {
      clearTimeout(t);
    }
    return off;
  }
  return { now, wallTime: wall, sleep, setTimer: timer };
}
