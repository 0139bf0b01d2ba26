/** Complete ports for processes that are run step by step: silent logs, and a network that reaches nobody. */

import { Right } from 'purify-ts';
import { failure, Result } from '../../src/shared/errors/errors';
import { Clock } from '../../src/shared/ports/clock';
import { Disk } from '../../src/shared/ports/disk';
import { Logger } from '../../src/shared/ports/logger';
import { Network } from '../../src/shared/ports/network';

/** A log that keeps nothing. */
export const SILENT_LOGGER: Logger = {
  info: doNothing,
  notice: doNothing,
  warn: doNothing,
  error: doNothing,
};

/** A network on which nobody listens or is reached; messages of a model go by its own network. */
export const UNREACHABLE_NETWORK: Network = {
  serveHttp: refuse,
  request: refuse,
  listen: refuse,
  connect: refuse,
};

/** A disk for what never writes: it is empty, and takes nothing. */
export const READ_ONLY_DISK: Disk = { read: readNothing, write: refuseWrite, append: refuseWrite };

/** How a modelled process is woken; without time, a sleep lasts until the scheduler ends it. */
export interface TimelessClockOptions {
  /** Runs a callback when the scheduler lets a timer expire; the result removes it. */
  addTimer: (label: string, onTimer: () => void) => () => void;
}

/** A clock that stands still: timers expire when the scheduler says so, and no time passes. */
export function makeTimelessClock({ addTimer }: TimelessClockOptions): Clock {
  function now(): number {
    return 0;
  }
  function wallTime(): string {
    return '';
  }
  function sleep(): Promise<void> {
    function wait(done: () => void): void {
      addTimer('sleeps no longer', done);
    }
    return new Promise(wait);
  }
  function setTimer(_ms: number, onTimer: () => void): () => void {
    return addTimer('has a timer that rings', onTimer);
  }
  return { now, wallTime, sleep, setTimer };
}

function doNothing(): void {
  // does nothing on purpose
}

function refuse(): Promise<Result<never>> {
  return Promise.resolve(failure('connect', 'model', 'nobody is reached here', 'refused', 'none'));
}

function readNothing(): Promise<Result<undefined>> {
  return Promise.resolve(Right(undefined));
}

function refuseWrite(): Promise<Result<never>> {
  return Promise.resolve(failure('write file', 'model', 'takes no writes', 'failed', 'disk'));
}
