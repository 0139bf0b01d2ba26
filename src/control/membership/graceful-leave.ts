import { errorOrValue, Result } from '../../shared/errors/errors';
import { Clock } from '../../shared/ports/clock';
import { Logger } from '../../shared/ports/logger';
import { TimeLimits } from '../../shared/settings/time-limits';
import { allVoters, isQuorum, isVoter, Voter, VoterSet } from '../../shared/state/voter-set';
import { VoterLiveness } from './voter-liveness';
import { syncReplica } from '../consensus/replica-sync';
import { LeaveReply } from './membership-requests';
import { ControlStore } from '../storage/control-store';

/** Why a controller that was told to end may go: it did not vote, another has its place, the others have all that it has and are a majority, all others leave as well, or its time is over. */
export type LeaveReason = 'not-voting' | 'replaced' | 'covered' | 'all-leave' | 'grace-over';

/** How often a leaving controller looks whether it may go, as a share of `pause`. */
const LOOK = 0.5;

/** What leaving needs of its controller. */
export interface LeaveDependencies {
  clock: Clock;
  logger: Logger;
  timeLimits: TimeLimits;
  store: ControlStore;
  self: Voter;
  liveness: VoterLiveness;
  voters: () => VoterSet | undefined;
  /** Controllers that would vote. */
  candidates: () => Voter[];
  requestVoter: (v: Voter, type: string, body: unknown) => Promise<Result<unknown>>;
  /** Has the loops of this controller look at the voters anew. */
  wake: () => void;
}

/** Leaves the voters: hands this controller's keys over at once, and comes back when its disk is needed no longer, or its time is nearly over. Until then it votes on. */
export async function leaveGracefully(p: LeaveDependencies): Promise<LeaveReason> {
  const began = p.clock.now();
  const wasVoter = isVoter(p.voters(), p.self.disk);
  const granted = new Set<string>();
  let isLate = false;
  p.liveness.beginLeave();
  p.wake();
  const reason = await Promise.race([untilFree(), untilLate()]);
  const tookMs = p.clock.now() - began;
  p.logger.notice({ step: 'leave', peer: p.self.at, reason, tookMs }, `leaves as ${reason}`);
  return reason;

  async function untilLate(): Promise<LeaveReason> {
    await p.clock.sleep(p.timeLimits.leaveTimeoutMs);
    isLate = true;
    return 'grace-over';
  }

  async function untilFree(): Promise<LeaveReason> {
    while (!isLate) {
      await announce();
      const free = await reasonToGo();
      if (free) return free;
      await p.clock.sleep(p.timeLimits.retryPauseMs * LOOK);
    }
    return 'grace-over';
  }

  function others(): Voter[] {
    const v = p.voters();
    return v ? allVoters(v).filter(isOther) : [];
  }

  function isOther(x: Voter): boolean {
    return !p.liveness.isSelf(x);
  }

  /** Tells the other voters, again and again, since one whose connection came up anew takes it for a return; notes who stays while this one goes. */
  async function announce(): Promise<void> {
    async function tell(x: Voter): Promise<void> {
      const [f, r] = errorOrValue(await p.requestVoter(x, 'core-leave', p.self));
      if (!f && (r as LeaveReply).stays !== false) granted.add(x.disk);
    }
    await Promise.all(others().filter(p.liveness.isUp).map(tell));
  }

  async function reasonToGo(): Promise<LeaveReason | undefined> {
    const v = p.voters();
    if (!v || !wasVoter) return 'not-voting';
    if (others().every(p.liveness.isLeaving)) return 'all-leave';
    const isReplaced = !isVoter(v, p.self.disk);
    if (!isReplaced && (v.next || p.candidates().some(p.liveness.isUp))) return undefined;
    const live = others().filter(isStaying);
    const copies = await upToDate(live);
    if (isReplaced) return isQuorum(v, copies) ? 'replaced' : undefined;
    return copies.size === live.length && isQuorum(v, copies) ? 'covered' : undefined;
  }

  /** Whether a voter is here for good: one that leaves as well counts where it let this one go first. */
  function isStaying(x: Voter): boolean {
    if (!p.liveness.isUp(x)) return false;
    return granted.has(x.disk) || !p.liveness.isLeaving(x);
  }

  /** The disks that have learned, by their own word, all that this one has. */
  async function upToDate(live: readonly Voter[]): Promise<Set<string>> {
    const disks = new Set<string>();
    async function bring(x: Voter): Promise<void> {
      if ((await syncReplica(p, x)).isRight() && granted.has(x.disk)) disks.add(x.disk);
    }
    await Promise.all(live.map(bring));
    return disks;
  }
}
