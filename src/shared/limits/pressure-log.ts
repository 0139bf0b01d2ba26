/**
 * The log and the metrics of the memory account.
 */

import { Clock } from '../ports/clock';
import { Logger } from '../ports/logger';
import { MemoryAccount, MemoryAccountFigures } from './memory-account';

/** Logs that work gave way or found no place, at most once in `intervalMs`. */
export function logPressure(
  account: MemoryAccount,
  clock: Clock,
  logger: Logger,
  intervalMs: number,
): void {
  let loggedAt = -Infinity;
  let logged = account.figures();
  function onPressure(): void {
    const now = clock.now();
    if (now - loggedAt < intervalMs) return;
    const figures = account.figures();
    const { usedBytes, capacityBytes, holders, maxHolders, waiting } = figures;
    const fields = {
      event: 'memory.pressure',
      usedBytes: Math.round(usedBytes),
      capacityBytes: Math.round(capacityBytes),
      connections: holders,
      maxConnections: maxHolders,
      waiting,
      evicted: figures.evicted - logged.evicted,
      refused: figures.refused - logged.refused,
    };
    logger.notice(fields, 'unfinished work gives way');
    loggedAt = now;
    logged = figures;
  }
  account.onPressure(onPressure);
}

/** The figures as rows of metrics; none where there is no account. */
export function memoryRows(figures: MemoryAccountFigures | undefined): string[] {
  if (figures === undefined) return [];
  const { usedBytes, capacityBytes, holders, maxHolders, waiting, evicted, refused } = figures;
  return [
    `plumhollow_unfinished_work_bytes ${Math.round(usedBytes)}`,
    `plumhollow_unfinished_work_capacity_bytes ${Math.round(capacityBytes)}`,
    `plumhollow_unfinished_work_waiting ${waiting}`,
    `plumhollow_unfinished_work_evicted_total ${evicted}`,
    `plumhollow_connections ${holders}`,
    `plumhollow_connections_max ${maxHolders}`,
    `plumhollow_connections_refused_total ${refused}`,
  ];
}
