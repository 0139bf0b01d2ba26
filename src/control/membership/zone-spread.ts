/**
 * How voters are spread over zones: whether, whichever zones are lost, those outside are a majority.
 */

import { Voter } from '../../shared/state/voter-set';

/** What the spread of voters over zones is judged by. */
export interface ZoneRule {
  /** How many zones may be lost at once, each with all of its machines; 0 where zones don't count. */
  toleratedZones: number;
  /** The zone of a voter's machine; undefined where it is not known. */
  zoneOf: (voter: Voter) => string | undefined;
}

/** The rule of clusters whose zones don't count. */
export const ZONES_IGNORED: ZoneRule = { toleratedZones: 0, zoneOf: unknownZone };

function unknownZone(): undefined {
  return undefined;
}

/** Judges voter sets by a rule. */
export class ZoneSpread {
  constructor(private readonly rule: ZoneRule) {}

  /**
   * How many voters too many the largest zones have for their loss to leave a majority; 0 where it does. A voter whose zone
   * is not known counts as alone in one.
   */
  excess(voters: readonly Voter[]): number {
    const { toleratedZones } = this.rule;
    if (toleratedZones === 0) return 0;
    const largest = [...this.countByZone(voters).values()].sort(descending);
    const mostLost = Math.floor((voters.length - 1) / 2);
    return Math.max(0, sumOf(largest.slice(0, toleratedZones)) - mostLost);
  }

  /** Whether the machines of two voters are known to be in one zone. */
  isSameZone(first: Voter, second: Voter): boolean {
    const zone = this.rule.zoneOf(first);
    return zone !== undefined && zone === this.rule.zoneOf(second);
  }

  private countByZone(voters: readonly Voter[]): Map<string, number> {
    const counts = new Map<string, number>();
    for (const voter of voters) {
      const zone = this.rule.zoneOf(voter) ?? `unknown ${voter.at}`;
      counts.set(zone, (counts.get(zone) ?? 0) + 1);
    }
    return counts;
  }
}

function descending(first: number, second: number): number {
  return second - first;
}

function sumOf(counts: readonly number[]): number {
  let sum = 0;
  for (const count of counts) sum += count;
  return sum;
}
