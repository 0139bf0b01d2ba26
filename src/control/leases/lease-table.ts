/**
 * The leases that nodes hold at this controller: granted, renewed, released, expired; and the membership that follows
 * from them.
 */

import { isDeepStrictEqual } from 'node:util';
import { Clock } from '../../shared/ports/clock';
import { TimeLimits } from '../../shared/settings/time-limits';
import { incarnationOf, Member } from '../../shared/state/members';
import { VoterSet } from '../../shared/state/voter-set';
import { PermitGrant } from '../../shared/replication/warm-up-permits';
import { PeerChannel } from '../../shared/transport/peer-channel';
import { ChangeSender } from './change-sender';
import { AppliedVersions } from './lease-messages';
import { compareNames, MembershipView } from './membership-view';

/** An expired lease is forgotten after so many lease times: until then its holder may renew by what changed. */
const EXPIRED_KEPT_LEASES = 10;

/** What a grant of a lease said, which the next one leaves out where it is the same. */
export interface SentGrant {
  voters: VoterSet;
  view: MembershipView;
  permits: readonly PermitGrant[];
  unreachable: readonly string[];
}

/** One node's lease. */
export interface LeaseHolder {
  member: Member;
  /** In ms of the clock. */
  expiresAt: number;
  applied: AppliedVersions;
  channel: PeerChannel;
  /** The count of keys learned here up to which `applied` lacks nothing. */
  coveredCount: number;
  sender: ChangeSender;
  /** What the node was sent last. */
  lastSent?: SentGrant;
}

/** The leases of one controller, by the incarnations of their holders. */
export class LeaseTable {
  private readonly holders = new Map<string, LeaseHolder>();
  private lastView: MembershipView = { members: [], validUntil: -Infinity };

  constructor(
    private readonly clock: Clock,
    private readonly timeLimits: TimeLimits,
  ) {}

  /** The lease of a node's incarnation, which may have expired. */
  get(member: Member): LeaseHolder | undefined {
    return this.holders.get(incarnationOf(member));
  }

  /** All leases, also those that expired lately. */
  all(): Iterable<LeaseHolder> {
    return this.holders.values();
  }

  /** The routers whose lease has not expired. */
  liveRouters(): LeaseHolder[] {
    const now = this.clock.now();
    const routers: LeaseHolder[] = [];
    for (const holder of this.holders.values())
      if (holder.expiresAt > now && holder.member.role === 'router') routers.push(holder);
    return routers;
  }

  /** Grants or renews the lease of a node from now on; a node that describes itself as before stays the same member. */
  grant(lease: Omit<LeaseHolder, 'expiresAt' | 'lastSent'>): LeaseHolder {
    const now = this.clock.now();
    const before = this.get(lease.member);
    const member =
      before && isDeepStrictEqual(before.member, lease.member) ? before.member : lease.member;
    if (!before || before.expiresAt <= now || before.member !== member) this.invalidateView();
    const holder = { ...lease, member, expiresAt: now + this.timeLimits.leaseExpiryMs };
    this.holders.set(incarnationOf(member), holder);
    return holder;
  }

  /** Ends the lease of a node's incarnation at once. */
  release(member: Member): void {
    this.holders.delete(incarnationOf(member));
    this.invalidateView();
  }

  /** The members by their leases; the same object for as long as they are the same. */
  view(): MembershipView {
    const now = this.clock.now();
    if (now < this.lastView.validUntil) return this.lastView;
    const members: Member[] = [];
    let validUntil = Infinity;
    for (const holder of this.holders.values()) {
      if (holder.expiresAt <= now) continue;
      members.push(holder.member);
      validUntil = Math.min(validUntil, holder.expiresAt);
    }
    this.forgetExpired(now);
    members.sort(compareNames);
    if (isDeepStrictEqual(members, this.lastView.members)) this.lastView.validUntil = validUntil;
    else this.lastView = { members, validUntil };
    return this.lastView;
  }

  /** When the next lease expires, `latest` at the latest; in ms of the clock. */
  nextExpiry(latest: number): number {
    const now = this.clock.now();
    let next = latest;
    for (const { expiresAt } of this.holders.values())
      if (expiresAt > now) next = Math.min(next, expiresAt);
    return next;
  }

  private invalidateView(): void {
    this.lastView.validUntil = -Infinity;
  }

  private forgetExpired(now: number): void {
    const keptMs = this.timeLimits.leaseMs * EXPIRED_KEPT_LEASES;
    for (const [incarnation, holder] of this.holders)
      if (holder.expiresAt + keptMs < now) this.holders.delete(incarnation);
  }
}
