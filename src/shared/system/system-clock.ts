/**
 * The clock port, by the machine's monotonic clock.
 */

import { uptime } from 'node:os';
import { performance } from 'node:perf_hooks';
import { Clock } from '../ports/clock';
import { countingSuspension } from './suspension-clock';

const MS_PER_S = 1000;

function sinceBootMs(): number {
  return uptime() * MS_PER_S;
}

function wallTime(): string {
  return new Date().toISOString();
}

function sleep(ms: number): Promise<void> {
  function run(resolve: () => void): void {
    setTimeout(resolve, ms);
  }
  return new Promise(run);
}

function setTimer(ms: number, onTimer: () => void): () => void {
  const timer = setTimeout(onTimer, ms);
  function cancel(): void {
    clearTimeout(timer);
  }
  return cancel;
}

/** The machine's monotonic clock; where the machine may be suspended (`suspends`) it counts that time too. */
export function makeSystemClock(suspends = true): Clock {
  const monotonic = performance.now.bind(performance);
  const counts = suspends && process.platform === 'linux';
  const now = counts ? countingSuspension(monotonic, sinceBootMs) : monotonic;
  return { now, wallTime, sleep, setTimer };
}
