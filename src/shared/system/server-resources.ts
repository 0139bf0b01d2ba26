/**
 * What the servers of one process share: the account of memory, and bounds until others are told.
 */

import { MemoryAccount } from '../limits/memory-account';
import { memoryAccountOptionsOf } from '../limits/process-limits';
import { Clock } from '../ports/clock';
import { defaultSettings, Settings } from '../settings/settings';
import { CallerTimes } from './connection-guard';
import { makeSystemClock } from './system-clock';

/** Times of callers until there is a deployment, as shares of `contactMs`. */
const HEADER_TIMEOUT_RATIO = 1;
const IDLE_TIMEOUT_RATIO = 5;
/** The longest message of our own processes, and response that is read as a whole, as a share of the account. */
const MAX_WHOLE_RATIO = 0.25;

/** What the servers and clients of one process share. */
export interface ServerResources {
  account: MemoryAccount;
  /** How long operators may take. */
  times: CallerTimes;
  /** The longest message or response that is read as a whole. */
  maxWholeBytes: number;
}

/** Makes what the servers of a process share, by its settings. */
export function makeServerResources(settings: Settings, clock: Clock): ServerResources {
  const options = memoryAccountOptionsOf(settings);
  const { contactMs } = settings;
  return {
    account: new MemoryAccount(clock, options),
    times: {
      headerTimeoutMs: contactMs * HEADER_TIMEOUT_RATIO,
      idleTimeoutMs: contactMs * IDLE_TIMEOUT_RATIO,
    },
    maxWholeBytes: options.capacityBytes * MAX_WHOLE_RATIO,
  };
}

/** The same by the default settings, for programs that have none. */
export function defaultServerResources(): ServerResources {
  return makeServerResources(defaultSettings(), makeSystemClock());
}
