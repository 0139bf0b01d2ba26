/**
 * The health of the voters as one controller sees it over time.
 */

import { Clock } from '../../shared/ports/clock';
import { TimeLimits } from '../../shared/settings/time-limits';
import { allVoters, Voter, VoterSet } from '../../shared/state/voter-set';
import { Controller } from '../controller-interface';
import { VoterHealth } from './voter-set-plan';

/** What the health of the voters is derived from. */
export interface VoterHealthDependencies extends Pick<
  Controller,
  'isUp' | 'isLeaving' | 'hasOtherDisk'
> {
  clock: Clock;
  timeLimits: TimeLimits;
}

/** Tracks since when voters are unreachable, and tells the health of each. */
export class VoterHealthTracker {
  /** By disk, in ms of the clock port. */
  private readonly unreachableSince = new Map<string, number>();

  constructor(private readonly dependencies: VoterHealthDependencies) {}

  /** Notes which voters are reachable now. */
  observe(voters: VoterSet): void {
    const now = this.dependencies.clock.now();
    for (const voter of allVoters(voters)) {
      if (this.dependencies.isUp(voter)) this.unreachableSince.delete(voter.disk);
      else if (!this.unreachableSince.has(voter.disk)) this.unreachableSince.set(voter.disk, now);
    }
  }

  /** The health of a voter now. */
  healthOf(voter: Voter): VoterHealth {
    const { hasOtherDisk, isLeaving, isUp } = this.dependencies;
    if (hasOtherDisk(voter)) return 'emptied';
    if (isLeaving(voter)) return 'leaving';
    if (isUp(voter)) return 'here';
    return this.isUnreachableFor(voter, this.dependencies.timeLimits.voterLostAfterMs)
      ? 'lost'
      : 'away';
  }

  /** Whether a voter that is not up should not be waited for: its disk is another one, or it is lost. */
  isGone(voter: Voter): boolean {
    const { hasOtherDisk, timeLimits } = this.dependencies;
    return hasOtherDisk(voter) || this.isUnreachableFor(voter, timeLimits.voterLostAfterMs);
  }

  /** Whether a voter has been unreachable for longer than a cut of its zone may last. */
  isLostForLong(voter: Voter): boolean {
    return this.isUnreachableFor(voter, this.dependencies.timeLimits.zoneLostAfterMs);
  }

  private isUnreachableFor(voter: Voter, limitMs: number): boolean {
    const since = this.unreachableSince.get(voter.disk);
    const unreachableForMs = since === undefined ? 0 : this.dependencies.clock.now() - since;
    return unreachableForMs > limitMs;
  }
}
