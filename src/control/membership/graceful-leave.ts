import { open, Outcome } from '../../shared/errors/errors';
import { Clock, Log } from '../../shared/ports/ports';
import { Bounds } from '../../shared/settings/time-limits';
import { allVoters, isQuorum, isVoter, Voter, Voters } from '../../shared/state/words';
import { Membership } from './voter-liveness';
import { bringUpToDate } from '../consensus/replica-sync';
import { LeaveReply } from './voter-set-controller';
import { Slots } from '../storage/control-store';

/** Why a controller that was told to end may go: it did not vote, another has its place, the others have all that it has and are a majority, all others leave as well, or its time is over. */
export type LeaveReason = 'not-voting' | 'replaced' | 'covered' | 'all-leave' | 'grace-over';

/** How often a leaving controller looks whether it may go, as a share of `pause`. */
const LOOK = 0.5;

/** What leaving needs of its controller. */
export interface LeaveParts {
  clock: Clock;
  log: Log;
  bounds: Bounds;
  slots: Slots;
  self: Voter;
  membership: Membership;
  voters(): Voters | undefined;
  /** Controllers that would vote. */
  joiners(): Voter[];
  askVoter(v: Voter, type: string, body: unknown): Promise<Outcome<unknown>>;
  /** Has the loops of this controller look at the voters anew. */
  wake(): void;
}

/** Leaves the voters: hands this controller's keys over at once, and comes back when its disk is needed no longer, or its time is nearly over. Until then it votes on. */
export async function leaveVoters(p: LeaveParts): Promise<LeaveReason> {
  const began = p.clock.now();
  const wasVoter = isVoter(p.voters(), p.self.disk);
  const granted = new Set<string>();
  let isLate = false;
  p.membership.beginLeave();
  p.wake();
  const reason = await Promise.race([untilFree(), untilLate()]);
  const tookMs = p.clock.now() - began;
  p.log.notice({ step: 'leave', peer: p.self.at, reason, tookMs }, `leaves as ${reason}`);
  return reason;

  async function untilLate(): Promise<LeaveReason> {
    await p.clock.sleep(p.bounds.leave);
    isLate = true;
    return 'grace-over';
  }

  async function untilFree(): Promise<LeaveReason> {
    while (!isLate) {
      await announce();
      const free = await reasonToGo();
      if (free) return free;
      await p.clock.sleep(p.bounds.pause * LOOK);
    }
    return 'grace-over';
  }

  function others(): Voter[] {
    const v = p.voters();
    return v ? allVoters(v).filter(isOther) : [];
  }

  function isOther(x: Voter): boolean {
    return !p.membership.isSelf(x);
  }

  /** Tells the other voters, again and again, since one whose connection came up anew takes it for a return; notes who stays while this one goes. */
  async function announce(): Promise<void> {
    async function tell(x: Voter): Promise<void> {
      const [f, r] = open(await p.askVoter(x, 'core-leave', p.self));
      if (!f && (r as LeaveReply).stays !== false) granted.add(x.disk);
    }
    await Promise.all(others().filter(p.membership.isUp).map(tell));
  }

  async function reasonToGo(): Promise<LeaveReason | undefined> {
    const v = p.voters();
    if (!v || !wasVoter) return 'not-voting';
    if (others().every(p.membership.isLeaving)) return 'all-leave';
    const isReplaced = !isVoter(v, p.self.disk);
    if (!isReplaced && (v.next || p.joiners().some(p.membership.isUp))) return undefined;
    const live = others().filter(isStaying);
    const copies = await upToDate(live);
    if (isReplaced) return isQuorum(v, copies) ? 'replaced' : undefined;
    return copies.size === live.length && isQuorum(v, copies) ? 'covered' : undefined;
  }

  /** Whether a voter is here for good: one that leaves as well counts where it let this one go first. */
  function isStaying(x: Voter): boolean {
    if (!p.membership.isUp(x)) return false;
    return granted.has(x.disk) || !p.membership.isLeaving(x);
  }

  /** The disks that have learned, by their own word, all that this one has. */
  async function upToDate(live: readonly Voter[]): Promise<Set<string>> {
    const disks = new Set<string>();
    async function bring(x: Voter): Promise<void> {
      if ((await bringUpToDate(p, x)).isRight() && granted.has(x.disk)) disks.add(x.disk);
    }
    await Promise.all(live.map(bring));
    return disks;
  }
}
