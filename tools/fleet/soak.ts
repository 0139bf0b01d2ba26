/**
 * Soaks: signals, restarts and changes in series that overlap, drawn by seed, on real processes, while clients go on
 * using the connections that they have.
 */

import { RandomSource } from '../../src/shared/ports/random';

/** One trouble of a soak, begun whether or not the ones before it are over. */
export interface SoakStep {
  /** Ms from the start of traffic. */
  at: number;
  trouble: string;
}

/** How a soak is drawn. */
export interface SoakWays {
  seconds: number;
  /** How many steps a second, on the average. */
  perSecond: number;
  /** A disk may be lost again this long after the last one was. */
  repairMs: number;
  /** Whether the site's zones may be cut apart. */
  apart?: boolean;
}

/** Troubles that come again and again; the more often, the more often a name stands here. */
const SERIES = [
  'roll-router',
  'roll-router',
  'roll-routers',
  'roll-zone',
  'roll-held-up',
  'roll-held-up',
  'roll-controller',
  'kill-router',
  'kill-routers',
  'kill-controller',
  'kill-core',
  'kill-indexers',
  'freeze-router',
  'config',
  'config-storm',
  'config-storm',
  'long-changes',
  'bad-config',
  'bad-update',
  'race',
  'revoke',
  'version-bump',
] as const;
/** Those of sites whose zones may be cut apart. */
const APART_SERIES = ['zone-cut', 'zone-loss', 'cold-return', 'evacuate', 'evacuate'] as const;
/** A loss of a disk; one at a time, and no other controller is lost meanwhile. */
const LOSS_OF_DISK = 'wipe-controller';
const LOSS_OF_DISK_SHARE = 0.08;
/** Troubles that take controllers away. */
const OF_CONTROLLERS = new Set<string>([
  'roll-controller',
  'kill-controller',
  'kill-core',
  'zone-cut',
  'zone-loss',
]);
/** The soak's last part is left without new troubles, so that all can come back. */
const QUIET_SHARE = 0.25;

/** Draws the steps of a soak in the order of their times. */
export function drawSoak(dice: RandomSource, ways: SoakWays): SoakStep[] {
  const count = Math.max(1, Math.round(ways.seconds * ways.perSecond));
  const span = ways.seconds * 1000 * (1 - QUIET_SHARE);
  const times: number[] = [];
  for (let i = 0; i < count; i++) times.push(Math.round(dice.next() * span));
  times.sort(byTime);
  const series = ways.apart ? [...SERIES, ...APART_SERIES] : SERIES;
  const steps: SoakStep[] = [];
  let diskLostAt = -Infinity;
  let controllersLostAt = -Infinity;
  for (const at of times) {
    const trouble = drawTrouble();
    if (trouble === LOSS_OF_DISK) diskLostAt = at;
    if (OF_CONTROLLERS.has(trouble)) controllersLostAt = at;
    steps.push({ at, trouble });

    function drawTrouble(): string {
      const isRepaired = at - Math.max(diskLostAt, controllersLostAt) > ways.repairMs;
      if (dice.next() < LOSS_OF_DISK_SHARE && isRepaired) return LOSS_OF_DISK;
      const drawn = series[Math.floor(dice.next() * series.length)];
      const isBarred = OF_CONTROLLERS.has(drawn) && at - diskLostAt <= ways.repairMs;
      return isBarred ? 'roll-router' : drawn;
    }
  }
  return steps;
}

function byTime(a: number, b: number): number {
  return a - b;
}
