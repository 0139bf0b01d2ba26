/**
 * The members that a node knows of, as the controllers' grants of its leases report them.
 */

import { incarnationOf, Member } from '../state/members';

/** What a controller's grant of a lease reports of the members: all of them, or who joined and left since the last. The field names are sent. */
export interface MemberUpdate {
  members?: Member[];
  joined?: Member[];
  /** The incarnations that left, by `incarnationOf`. */
  left?: string[];
}

/** The leases of a node, and the members that they report. */
export interface MemberView {
  /** Notes the lease that a controller's disk granted until `expiresAt` (ms of the clock port). */
  grant: (disk: string, expiresAt: number, update: MemberUpdate) => void;
  /** When the lease that a disk granted expires. */
  expiryOf: (disk: string) => number;
  /** The members of a role, by name; of all roles where it is empty. */
  members: (role: string) => Member[];
  /** Drops all leases. */
  clear: () => void;
}

/** The lease that one disk granted, and the members by incarnation as its controller reports them. */
interface Grant {
  expiresAt: number;
  members: Map<string, Member>;
}

function withIncarnation(member: Member): [string, Member] {
  return [incarnationOf(member), member];
}

function byName(one: Member, other: Member): number {
  return one.name < other.name ? -1 : 1;
}

function bringsMembers({ members, joined, left }: MemberUpdate): boolean {
  return members !== undefined || joined !== undefined || left !== undefined;
}

/** The members after an update; an update of who joined and left changes the map in place. */
function updatedMembers(before: Map<string, Member>, update: MemberUpdate): Map<string, Member> {
  const members = update.members ? new Map(update.members.map(withIncarnation)) : before;
  for (const incarnation of update.left ?? []) members.delete(incarnation);
  for (const member of update.joined ?? []) members.set(incarnationOf(member), member);
  return members;
}

class GrantedMemberView implements MemberView {
  private readonly grants = new Map<string, Grant>();
  /** The disks whose grants lasted at the last report, and the members as text. */
  private reported = { disks: '', text: '[]' };
  /** The union of the members of all grants, valid until the first of them expires. */
  private cached = { expiresAt: -Infinity, members: [] as Member[] };

  constructor(
    private readonly now: () => number,
    private readonly onChange: (members: Member[]) => void,
  ) {}

  grant(disk: string, expiresAt: number, update: MemberUpdate): void {
    const before = this.grants.get(disk)?.members ?? new Map<string, Member>();
    this.grants.set(disk, { expiresAt, members: updatedMembers(before, update) });
    this.report(bringsMembers(update));
  }

  expiryOf(disk: string): number {
    return this.grants.get(disk)?.expiresAt ?? 0;
  }

  members(role: string): Member[] {
    function hasRole(member: Member): boolean {
      return role === '' || member.role === role;
    }
    return this.allMembers().filter(hasRole);
  }

  clear(): void {
    this.grants.clear();
  }

  /** Reports the members where they may have changed: by an update, or by which grants last. */
  private report(isUpdated: boolean): void {
    const disks = this.lastingDisks();
    if (!isUpdated && disks === this.reported.disks) return;
    this.cached.expiresAt = -Infinity;
    const members = this.allMembers();
    const text = JSON.stringify(members);
    if (text !== this.reported.text) this.onChange(members);
    this.reported = { disks, text };
  }

  private lastingDisks(): string {
    const now = this.now();
    let disks = '';
    for (const [disk, grant] of this.grants) if (grant.expiresAt > now) disks += `${disk} `;
    return disks;
  }

  /** The members that lasting grants report, by name. */
  private allMembers(): Member[] {
    const now = this.now();
    if (now >= this.cached.expiresAt) this.cached = this.unionAt(now);
    return this.cached.members;
  }

  private unionAt(now: number): { expiresAt: number; members: Member[] } {
    const union = new Map<string, Member>();
    let expiresAt = Infinity;
    for (const grant of this.grants.values()) {
      if (grant.expiresAt <= now) continue;
      expiresAt = Math.min(expiresAt, grant.expiresAt);
      for (const [incarnation, member] of grant.members) union.set(incarnation, member);
    }
    if (expiresAt === Infinity) expiresAt = -Infinity;
    return { expiresAt, members: [...union.values()].sort(byName) };
  }
}

/** Makes a view without leases; `onChange` is called with all members where they have changed. */
export function makeMemberView(
  now: () => number,
  onChange: (members: Member[]) => void,
): MemberView {
  return new GrantedMemberView(now, onChange);
}
