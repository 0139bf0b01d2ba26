/**
 * The bounds of a process's unfinished work, each in proportion to what its settings give it.
 */

import { Settings } from '../settings/settings';
import { MemoryAccountOptions } from './memory-account';

const BYTES_PER_MB = 1e6;
/** The share of a process's memory that unfinished work may hold. */
const CAPACITY_RATIO = 0.2;
/** The least capacity, as a multiple of the largest body: one such request is served, and another one beside it. */
const MIN_CAPACITY_BODIES = 3;
/** The share of the capacity that is kept for holders of little. */
const RESERVE_RATIO = 0.125;
/** The share of the capacity up to which a holder counts as one of little. */
const SMALL_RATIO = 1 / 512;
/** Descriptors that the platform keeps for files. */
const FILE_DESCRIPTORS = 200;
/** The share of the other descriptors that connections of others may take. */
const CONNECTIONS_RATIO = 0.75;
/** How long work waits before others give way, as a share of `contactMs`. */
const PATIENCE_RATIO = 0.1;

/** The bounds of the memory account of a process. */
export function memoryAccountOptionsOf(settings: Settings): MemoryAccountOptions {
  const { memoryMb, maxOpenFiles, bodyMostBytes, contactMs } = settings;
  const capacityBytes = Math.max(
    memoryMb * BYTES_PER_MB * CAPACITY_RATIO,
    bodyMostBytes * MIN_CAPACITY_BODIES,
  );
  const sockets = Math.max(1, maxOpenFiles - FILE_DESCRIPTORS);
  return {
    capacityBytes,
    reserveBytes: capacityBytes * RESERVE_RATIO,
    smallBytes: capacityBytes * SMALL_RATIO,
    maxHolders: Math.max(1, Math.floor(sockets * CONNECTIONS_RATIO)),
    patienceMs: contactMs * PATIENCE_RATIO,
  };
}
