/**
 * The graceful leave of a controller: it votes on until its disk is not needed any more, or its time is over.
 */

import { errorOrValue } from '../../shared/errors/errors';
import { Clock } from '../../shared/ports/clock';
import { Logger } from '../../shared/ports/logger';
import { TimeLimits } from '../../shared/settings/time-limits';
import { allVoters, isQuorum, isVoter, Voter, VoterSet } from '../../shared/state/voter-set';
import { VoterLiveness } from './voter-liveness';
import { syncReplica } from '../consensus/replica-sync';
import { RequestVoter } from '../consensus/voter-request';
import { LeaveReply } from './membership-requests';
import { ControlStore } from '../storage/control-store';

/**
 * Why a controller that leaves may stop. `not-voting`: it was no voter. `replaced`: another has its place.
 * `covered`: the others are a quorum and have all that it has. `all-leave`: all others leave as well. `grace-over`: its
 * time is over.
 */
export type LeaveReason = 'not-voting' | 'replaced' | 'covered' | 'all-leave' | 'grace-over';

/** How often a leaving controller looks whether it may stop, as a ratio of the retry pause. */
const POLL_INTERVAL_RATIO = 0.5;

/** What leaving needs of its controller. */
export interface LeaveDependencies {
  clock: Clock;
  logger: Logger;
  timeLimits: TimeLimits;
  store: ControlStore;
  self: Voter;
  liveness: VoterLiveness;
  voters: () => VoterSet | undefined;
  /** Controllers that ask to vote. */
  candidates: () => Voter[];
  requestVoter: RequestVoter;
  /** Has the loops of this controller look at the voters at once. */
  wake: () => void;
}

/**
 * Leaves the voter set: hands this controller's keys over at once, and resolves when its disk is not needed any more,
 * or the leave time-out is over. Until then it votes on.
 */
export function leaveGracefully(dependencies: LeaveDependencies): Promise<LeaveReason> {
  return new GracefulLeave(dependencies).run();
}

class GracefulLeave {
  private readonly wasVoter: boolean;
  /** The disks of voters that promised to stay until this one is gone. */
  private readonly stayingDisks = new Set<string>();
  private isTimedOut = false;

  constructor(private readonly dependencies: LeaveDependencies) {
    this.wasVoter = isVoter(dependencies.voters(), dependencies.self.disk);
  }

  async run(): Promise<LeaveReason> {
    const { clock, liveness, wake } = this.dependencies;
    const startedAt = clock.now();
    liveness.beginLeave();
    wake();
    const reason = await Promise.race([this.untilDispensable(), this.untilTimedOut()]);
    this.logLeave(reason, clock.now() - startedAt);
    return reason;
  }

  private logLeave(reason: LeaveReason, tookMs: number): void {
    const { logger, self } = this.dependencies;
    const fields = { event: 'voters.left', peer: self.at, reason, tookMs };
    logger.notice(fields, `leaves as ${reason}`);
  }

  private async untilTimedOut(): Promise<LeaveReason> {
    const { clock, timeLimits } = this.dependencies;
    await clock.sleep(timeLimits.leaveTimeoutMs);
    this.isTimedOut = true;
    return 'grace-over';
  }

  private async untilDispensable(): Promise<LeaveReason> {
    const { clock, timeLimits } = this.dependencies;
    while (!this.isTimedOut) {
      await this.announce();
      const reason = await this.reasonToStop();
      if (reason) return reason;
      await clock.sleep(timeLimits.retryPauseMs * POLL_INTERVAL_RATIO);
    }
    return 'grace-over';
  }

  private otherVoters(): Voter[] {
    const { voters, liveness } = this.dependencies;
    function isOther(voter: Voter): boolean {
      return !liveness.isSelf(voter);
    }
    const known = voters();
    return known ? allVoters(known).filter(isOther) : [];
  }

  /**
   * Announces the leave to the other voters, again and again, since one whose connection came up again takes that for a
   * return; notes who stays until this one is gone.
   */
  private async announce(): Promise<void> {
    const { self, liveness, requestVoter } = this.dependencies;
    const { stayingDisks } = this;
    async function announceTo(voter: Voter): Promise<void> {
      const [error, reply] = errorOrValue(await requestVoter(voter, 'core-leave', self));
      if (!error && (reply as LeaveReply).stays !== false) stayingDisks.add(voter.disk);
    }
    await Promise.all(this.otherVoters().filter(liveness.isUp).map(announceTo));
  }

  private async reasonToStop(): Promise<LeaveReason | undefined> {
    const { voters, candidates, self, liveness } = this.dependencies;
    const known = voters();
    if (!known || !this.wasVoter) return 'not-voting';
    if (this.otherVoters().every(liveness.isLeaving)) return 'all-leave';
    const isReplaced = !isVoter(known, self.disk);
    const isReplacementDue = known.next !== undefined || candidates().some(liveness.isUp);
    if (!isReplaced && isReplacementDue) return undefined;
    const staying = this.stayingVoters();
    const syncedDisks = await this.syncedDisksOf(staying);
    if (!isQuorum(known, syncedDisks)) return undefined;
    if (isReplaced) return 'replaced';
    return syncedDisks.size === staying.length ? 'covered' : undefined;
  }

  /** The other voters that are up and stay: one that leaves as well counts where it lets this one go first. */
  private stayingVoters(): Voter[] {
    const { liveness } = this.dependencies;
    const { stayingDisks } = this;
    function stays(voter: Voter): boolean {
      if (!liveness.isUp(voter)) return false;
      return stayingDisks.has(voter.disk) || !liveness.isLeaving(voter);
    }
    return this.otherVoters().filter(stays);
  }

  /** The disks that have learned, by their own acknowledgement, all that this one has. */
  private async syncedDisksOf(voters: readonly Voter[]): Promise<Set<string>> {
    const { dependencies, stayingDisks } = this;
    const syncedDisks = new Set<string>();
    async function sync(voter: Voter): Promise<void> {
      const isSynced = (await syncReplica(dependencies, voter)).isRight();
      if (isSynced && stayingDisks.has(voter.disk)) syncedDisks.add(voter.disk);
    }
    await Promise.all(voters.map(sync));
    return syncedDisks;
  }
}
