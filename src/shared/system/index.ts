/**
 * The ports of a process by the machine's own means: clock (`system-clock`), randomness (`system-random`), disk
 * (`file-disk`), log (`logger`), network (`tcp-network`) and raw HTTP (`raw-http`). Nothing else in `src` touches them.
 */

export { makeFileDisk } from './file-disk';
export { makeLogger } from './logger';
export { makeRawHttpNetwork } from './raw-http';
export { makeSystemClock } from './system-clock';
export { makeSystemRandom } from './system-random';
export { makeSystemNetwork } from './tcp-network';
