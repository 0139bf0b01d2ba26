/**
 * The requests by which controllers join and leave the voter set.
 */

import { Right } from 'purify-ts';
import { bodyField } from '../../shared/transport/body-fields';
import { HandlerResult, messageHandler } from '../../shared/transport/message-handlers';
import { Ports } from '../../shared/ports/ports';
import { TimeLimits } from '../../shared/settings/time-limits';
import { isVoter, Voter, VoterSet } from '../../shared/state/voter-set';

class MembershipRequest {
  @bodyField('string') disk!: string;
  @bodyField('string') at!: string;
}

/** The reply to a controller that leaves: whether the one that replies stays until that one is back or replaced. */
export interface LeaveReply {
  stays: boolean;
}

/** A controller that asks to vote; the times are in ms of the clock port. */
interface Candidate extends Voter {
  firstAskedAt: number;
  lastAskedAt: number;
}

/** Handles the requests to join and to leave, and remembers who sent them. */
export class MembershipRequests {
  /** By address. */
  private readonly candidatesByAddress = new Map<string, Candidate>();
  /** When a disk last announced that it leaves, in ms of the clock port. */
  private readonly leaveAnnouncedAt = new Map<string, number>();

  constructor(
    private readonly ports: Ports,
    private readonly timeLimits: TimeLimits,
    private readonly voters: () => VoterSet | undefined,
    private readonly onChange: () => void,
    private readonly isSelfLeaving: () => boolean,
  ) {}

  /** Handles `join`: a controller that should vote and does not asks to. */
  @messageHandler('join', MembershipRequest)
  join({ disk, at }: MembershipRequest): HandlerResult {
    const now = this.ports.clock.now();
    const known = this.candidatesByAddress.get(at);
    const isSame = known?.disk === disk && !this.isExpired(known, now);
    const firstAskedAt = isSame ? known.firstAskedAt : now;
    this.candidatesByAddress.set(at, { disk, at, firstAskedAt, lastAskedAt: now });
    if (!isSame) this.onChange();
    return Promise.resolve(Right(true));
  }

  /** Handles `core-leave`: a controller leaves; it says so again until it has stopped. */
  @messageHandler('core-leave', MembershipRequest)
  leave({ disk, at }: MembershipRequest): HandlerResult {
    const isFirst = !this.leaveAnnouncedAt.has(disk);
    this.leaveAnnouncedAt.set(disk, this.ports.clock.now());
    this.candidatesByAddress.delete(at);
    if (isFirst) this.onChange();
    const reply: LeaveReply = { stays: !this.isSelfLeaving() };
    return Promise.resolve(Right(reply));
  }

  /** Forgets a candidate until it asks again. */
  discard(voter: Voter): void {
    if (this.candidatesByAddress.get(voter.at)?.disk === voter.disk)
      this.candidatesByAddress.delete(voter.at);
  }

  /** Those that asked to vote within the time of a disk's repair and do not, the longest waiting first. */
  candidates(): Voter[] {
    const now = this.ports.clock.now();
    const waiting: Candidate[] = [];
    for (const candidate of this.candidatesByAddress.values())
      if (this.isRecent(candidate, now) && !isVoter(this.voters(), candidate.disk))
        waiting.push(candidate);
    return waiting.sort(byFirstAsked).map(asVoter);
  }

  /** Whether a disk announced that it leaves and has not come back since; `upSince` is when its connection came up. */
  isLeaving(disk: string, upSince: number | undefined): boolean {
    const announcedAt = this.leaveAnnouncedAt.get(disk);
    if (announcedAt !== undefined && upSince !== undefined && upSince > announcedAt)
      this.leaveAnnouncedAt.delete(disk);
    return this.leaveAnnouncedAt.has(disk);
  }

  private isExpired(candidate: Candidate, now: number): boolean {
    return candidate.lastAskedAt + this.timeLimits.diskRepairMs < now;
  }

  private isRecent(candidate: Candidate, now: number): boolean {
    return candidate.lastAskedAt + this.timeLimits.diskRepairMs > now;
  }
}

function byFirstAsked(first: Candidate, second: Candidate): number {
  return first.firstAskedAt - second.firstAskedAt || (first.at < second.at ? -1 : 1);
}

function asVoter({ disk, at }: Voter): Voter {
  return { disk, at };
}
