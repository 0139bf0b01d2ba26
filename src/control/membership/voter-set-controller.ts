import { Right } from 'purify-ts';
import { bodyField, HandlerResult, messageHandler } from '../../shared/transport/handlers';
import { errorOrValue } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { TimeLimits } from '../../shared/settings/time-limits';
import {
  allVoters,
  addressOf,
  isVoter,
  CONTROL_KEYS,
  Voter,
  VoterSet,
} from '../../shared/state/words';
import { Controller } from '../controller';
import {
  makeReconfigurationProgress,
  changeVoterSet,
  NEW_VOTER_UNWRITABLE,
  revertVoterSet,
} from './reconfiguration';

/** How a voter's machine stands: there with its disk, away, away for good while, leaving by its own word, or there with another disk. */
export type VoterHealth = 'here' | 'away' | 'lost' | 'leaving' | 'emptied';

class JoinRequest {
  @bodyField('string') disk!: string;
  @bodyField('string') at!: string;
}

/** The answer to a controller that leaves: whether the one that answers stays until that one is back or replaced. */
export interface LeaveReply {
  stays: boolean;
}

/** What controllers say of themselves: that they would vote, and that they leave. */
export class MembershipRequests {
  private readonly asked = new Map<string, Voter & { since: number; last: number }>();
  private readonly left = new Map<string, number>();

  constructor(
    private readonly ports: Ports,
    private readonly bounds: TimeLimits,
    private readonly voters: () => VoterSet | undefined,
    private readonly told: () => void,
    private readonly leaving: () => boolean,
  ) {}

  /** Hears from a quorum member that does not vote. */
  @messageHandler('join', JoinRequest)
  async join(m: JoinRequest): HandlerResult {
    const now = this.ports.clock.now();
    const before = this.asked.get(m.at);
    const fresh =
      before === undefined ||
      before.disk !== m.disk ||
      before.last + this.bounds.diskRepairMs < now;
    this.asked.set(m.at, { disk: m.disk, at: m.at, since: fresh ? now : before.since, last: now });
    if (fresh) this.told();
    return Right(true);
  }

  /** Hears from a controller that it ends; it says so again until it has ended. */
  @messageHandler('core-leave', JoinRequest)
  async leave(m: JoinRequest): HandlerResult {
    const isNews = !this.left.has(m.disk);
    this.left.set(m.disk, this.ports.clock.now());
    this.asked.delete(m.at);
    if (isNews) this.told();
    return Right({ stays: !this.leaving() } as LeaveReply);
  }

  /** Takes no notice of one that asked, until it asks again. */
  discard(x: Voter): void {
    if (this.asked.get(x.at)?.disk === x.disk) this.asked.delete(x.at);
  }

  /** Those that asked lately and do not vote, the longest waiting first. */
  candidates(): Voter[] {
    const now = this.ports.clock.now();
    const out: (Voter & { since: number })[] = [];
    for (const x of this.asked.values())
      if (x.last + this.bounds.diskRepairMs > now && !isVoter(this.voters(), x.disk)) out.push(x);
    return out.sort(bySince).map(plain);
  }

  /** Whether a disk said that it leaves, and has not come back since; `up` is when its connection came up. */
  isLeaving(disk: string, up: number | undefined): boolean {
    const at = this.left.get(disk);
    if (at !== undefined && up !== undefined && up > at) this.left.delete(disk);
    return this.left.has(disk);
  }
}

function bySince(a: { since: number; at: string }, b: { since: number; at: string }): number {
  return a.since - b.since || (a.at < b.at ? -1 : 1);
}

function plain(x: Voter): Voter {
  return { disk: x.disk, at: x.at };
}

/** The voter set that should stand next, or nothing where the one that stands is right: a machine with another disk takes its own place at once; others take the places of those that are lost or leave; up to `target`, in odd numbers. */
export function planVoterSet(
  now: readonly Voter[],
  joiners: readonly Voter[],
  standing: (v: Voter) => VoterHealth,
  target: number,
): Voter[] | undefined {
  const spare = [...joiners];
  let changed = false;
  function take(test: (x: Voter) => boolean): Voter | undefined {
    const i = spare.findIndex(test);
    return i < 0 ? undefined : spare.splice(i, 1)[0];
  }
  /** Whether a joiner is no voter's machine: one that is waits for its own place. */
  function isElsewhere(x: Voter): boolean {
    function isItsMachine(v: Voter): boolean {
      return v.at === x.at;
    }
    return !now.some(isItsMachine);
  }
  function sameMachine(v: Voter): Voter {
    function isAt(x: Voter): boolean {
      return x.at === v.at;
    }
    const s = standing(v);
    const into = s === 'here' || s === 'away' ? undefined : take(isAt);
    changed ||= into !== undefined;
    return into ?? v;
  }
  function anyMachine(v: Voter): Voter {
    const s = standing(v);
    const into = !now.includes(v) || s === 'here' || s === 'away' ? undefined : take(isElsewhere);
    changed ||= into !== undefined;
    return into ?? v;
  }
  let set = now.map(sameMachine).map(anyMachine);
  const additional = spare.filter(isElsewhere);
  const room = Math.min(target - set.length, additional.length);
  const more = room > 0 && (set.length + room) % 2 === 0 && set.length % 2 === 1 ? room - 1 : room;
  if (more > 0) {
    set = [...set, ...additional.slice(0, more)];
    changed = true;
  }
  const gone = set.filter(isGone);
  function isGone(v: Voter): boolean {
    return now.includes(v) && standing(v) !== 'here' && standing(v) !== 'away';
  }
  const most = Math.min(set.length - target, gone.length);
  const fewer = most > 0 && (set.length - most) % 2 === 0 ? most - 1 : most;
  if (fewer > 0) {
    const out = gone.slice(0, fewer);
    function stays(v: Voter): boolean {
      return !out.includes(v);
    }
    set = set.filter(stays);
    changed = true;
  }
  return changed ? set : undefined;
}

/** Asks the voters to take this disk in, for as long as it is a quorum member's that does not vote. */
export async function requestMembership(c: Controller, ports: Ports): Promise<void> {
  const waker = c.addWaker();
  while (!c.isStopped()) {
    const v = c.voters();
    const self: Voter = { disk: c.store.diskId, at: c.settings.wire };
    const wants =
      c.settings.quorumMember && c.store.isWritable() && c.votes.isWritable() && !c.isLeaving(self);
    if (wants && v && !isVoter(v, self.disk))
      for (const x of allVoters(v))
        void c.requestVoter(x, 'join', self, c.timeLimits.requestTimeoutMs);
    await waker.wait(
      c.timeLimits.leaseRenewalMs * (0.8 + 0.4 * ports.random.next()),
      c.timeLimits.retryPauseMs * 0.1,
    );
  }
}

/** Has the voter set follow the machines, while this node owns it; a joint set that another left is brought to its end, or back where its newcomers are gone. */
export async function maintainVoterSet(c: Controller, ports: Ports): Promise<void> {
  const waker = c.addWaker();
  const awaySince = new Map<string, number>();
  const progress = makeReconfigurationProgress();
  while (!c.isStopped()) {
    await waker.wait(
      c.timeLimits.leaseRenewalMs * (0.8 + 0.4 * ports.random.next()),
      c.timeLimits.retryPauseMs * 0.1,
    );
    const v = c.voters();
    if (!v) continue;
    note(v);
    if (!c.isPreferredOwner(CONTROL_KEYS.voters) || !c.hasQuorum()) continue;
    const [f] = errorOrValue(await c.keyOwner.acquire(CONTROL_KEYS.voters));
    const stood = c.committedValue<VoterSet>(CONTROL_KEYS.voters);
    if (f || !stood) continue;
    const { now, next } = stood.value;
    const fresh = next?.filter(isNewcomer) ?? [];
    function isNewcomer(x: Voter): boolean {
      return !isVoter({ now }, x.disk);
    }
    if (next && fresh.some(isAway)) {
      if (fresh.some(isOver)) await revertVoterSet(c, stood);
      continue;
    }
    const set =
      next ??
      planVoterSet(
        now,
        c.membershipRequests.candidates().filter(isUp),
        standing,
        c.settings.tolerated * 2 + 1,
      );
    if (!set || !(await othersAgree(now, set))) continue;
    ports.logger.warn(
      { step: 'follow machines', peer: c.name },
      `voters ${now.map(addressOf).join(' ')} become ${set.map(addressOf).join(' ')}`,
    );
    const [g] = errorOrValue(await changeVoterSet(c, ports, set, isOverdue, progress));
    if (!g) {
      waker.wake();
      continue;
    }
    ports.logger.warn({ step: g.step, peer: g.peer }, g.reason);
    if (g.code === NEW_VOTER_UNWRITABLE) await refuse(set.filter(isNewcomer));
  }

  /** Goes back from a joint set whose newcomers' disks take no writes; they ask again once they do. */
  async function refuse(newcomers: readonly Voter[]): Promise<void> {
    newcomers.forEach(forget);
    const stood = c.committedValue<VoterSet>(CONTROL_KEYS.voters);
    if (stood?.value.next) await revertVoterSet(c, stood);
  }

  function forget(x: Voter): void {
    c.membershipRequests.discard(x);
  }

  /** Whether a joint set has stood for longer than the repair of a disk may take. */
  function isOverdue(): boolean {
    return c.jointForMs() > c.timeLimits.diskRepairMs;
  }

  function note(v: VoterSet): void {
    const t = ports.clock.now();
    for (const x of allVoters(v)) {
      if (c.isUp(x)) awaySince.delete(x.disk);
      else if (!awaySince.has(x.disk)) awaySince.set(x.disk, t);
    }
  }

  function awayFor(x: Voter): number {
    const since = awaySince.get(x.disk);
    return since === undefined ? 0 : ports.clock.now() - since;
  }

  function isUp(x: Voter): boolean {
    return c.isUp(x);
  }

  function isAway(x: Voter): boolean {
    return !c.isUp(x);
  }

  function isOver(x: Voter): boolean {
    return c.hasOtherDisk(x) || awayFor(x) > c.timeLimits.voterLostAfterMs;
  }

  function standing(x: Voter): VoterHealth {
    if (c.hasOtherDisk(x)) return 'emptied';
    if (c.isLeaving(x)) return 'leaving';
    if (c.isUp(x)) return 'here';
    return awayFor(x) > c.timeLimits.voterLostAfterMs ? 'lost' : 'away';
  }

  /** Whether the other voters miss those that only seem to be lost, too. */
  async function othersAgree(now: readonly Voter[], set: readonly Voter[]): Promise<boolean> {
    function isDropped(x: Voter): boolean {
      return !set.includes(x) && standing(x) === 'lost';
    }
    const dropped = now.filter(isDropped);
    if (dropped.length === 0) return true;
    for (const x of now.filter(isUp)) {
      const [f, up] = errorOrValue(
        await c.requestVoter(x, 'sees', dropped, c.timeLimits.requestTimeoutMs),
      );
      if (!f && (up as boolean)) return false;
    }
    return true;
  }
}
