/**
 * All ports of a process. In the simulator each is replaced by one under virtual time. The functions of ports, and of
 * the connections and requests that they give, need no `this`: a caller may pass them on by themselves.
 */

import { MemoryAccountFigures } from '../limits/memory-account';
import { Clock } from './clock';
import { RandomSource } from './random';
import { Disk } from './disk';
import { Network } from './network';
import { RawHttpNetwork } from './raw-http';
import { Logger } from './logger';

/** All that a library may touch outside itself. */
export interface Ports {
  clock: Clock;
  random: RandomSource;
  disk: Disk;
  network: Network;
  logger: Logger;
  /** Figures of the memory that unfinished work holds, where there is an account of it. */
  memoryFigures?: () => MemoryAccountFigures;
  /** Raw HTTP, where the process serves a platform by its adapter. */
  rawHttp?: RawHttpNetwork;
}
