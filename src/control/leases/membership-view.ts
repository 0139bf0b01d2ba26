/**
 * The members at one time, and the difference between two lists of them.
 */

import { incarnationOf, Member } from '../../shared/state/members';

/** The members at one time; it stands for as long as nobody joins, leaves, or could have let a lease expire. */
export interface MembershipView {
  members: Member[];
  /** When the next lease expires, in ms of the clock. */
  validUntil: number;
}

/** Who joined and which incarnations left. */
export interface MembershipDelta {
  joined: Member[];
  left: string[];
}

/** Orders what has names by them. */
export function compareNames(a: { name: string }, b: { name: string }): number {
  return a.name < b.name ? -1 : 1;
}

/** Who joined and which incarnations left between two lists; one that describes itself otherwise joins anew. */
export function membershipDelta(
  before: readonly Member[],
  now: readonly Member[],
): MembershipDelta {
  const remaining = new Map<string, Member>();
  for (const member of before) remaining.set(incarnationOf(member), member);
  const joined: Member[] = [];
  for (const member of now) {
    const incarnation = incarnationOf(member);
    if (remaining.get(incarnation) !== member) joined.push(member);
    remaining.delete(incarnation);
  }
  return { joined, left: [...remaining.keys()] };
}
