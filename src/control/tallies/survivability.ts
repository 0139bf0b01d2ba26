/**
 * Which copies of an addition are enough that any loss within what the settings tolerate leaves one.
 */

import { Settings } from '../../shared/settings/settings';

/** A controller that holds a copy, or could. */
export interface CopyHolder {
  address: string;
  zone: string;
}

/** The losses that are tolerated at once: that many machines, or that many zones with all of their machines. */
export type ToleratedLosses = Pick<Settings, 'tolerated' | 'toleratedZones'>;

/**
 * Whether copies at `holders` outlast any tolerated loss. Where fewer can be reached than that takes, all that can be
 * reached have to hold one. `reachable` includes the holders.
 */
export function outlastsLosses(
  holders: readonly CopyHolder[],
  reachable: readonly CopyHolder[],
  losses: ToleratedLosses,
): boolean {
  const neededCopies = Math.min(losses.tolerated + 1, reachable.length);
  const neededZones = Math.min(losses.toleratedZones + 1, zonesOf(reachable));
  return holders.length >= neededCopies && zonesOf(holders) >= neededZones;
}

function zonesOf(holders: readonly CopyHolder[]): number {
  const zones = new Set<string>();
  for (const { zone } of holders) zones.add(zone);
  return zones.size;
}
