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

/** The copies that an addition needs. */
export interface RequiredCopies {
  copies: number;
  /** In how many zones. */
  zones: number;
}

/** The copies that outlast any tolerated loss; where there are fewer candidates than that takes, a copy at each of them. */
export function requiredCopies(
  candidates: readonly CopyHolder[],
  losses: ToleratedLosses,
): RequiredCopies {
  return {
    copies: Math.min(losses.tolerated + 1, candidates.length),
    zones: Math.min(losses.toleratedZones + 1, countZones(candidates)),
  };
}

/** Whether the holders of an addition are as many, and in as many zones, as it needs. `candidates` includes the holders. */
export function outlastsLosses(
  holders: readonly CopyHolder[],
  candidates: readonly CopyHolder[],
  losses: ToleratedLosses,
): boolean {
  const required = requiredCopies(candidates, losses);
  return holders.length >= required.copies && countZones(holders) >= required.zones;
}

function countZones(holders: readonly CopyHolder[]): number {
  const zones = new Set<string>();
  for (const { zone } of holders) zones.add(zone);
  return zones.size;
}
