/**
 * What controllers say of themselves: that they want to vote, and that they leave.
 */

import { Right } from 'purify-ts';
import { bodyField } from '../../shared/transport/body-fields';
import { HandlerResult, messageHandler } from '../../shared/transport/message-handlers';
import { Ports } from '../../shared/ports/ports';
import { TimeLimits } from '../../shared/settings/time-limits';
import { isVoter, Voter, VoterSet } from '../../shared/state/voter-set';

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
    return Right({ stays: !this.leaving() });
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
