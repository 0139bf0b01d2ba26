/**
 * The decision whether a node holds its lease.
 */

import { allVoters, isQuorum, VoterSet } from '../state/voter-set';

/**
 * Whether the disks that granted a lease are a quorum. Where the machines of all voters refuse connections no
 * controller runs that could commit a change, and a node goes on by what it knows.
 */
export function hasLeaseQuorum(
  voters: VoterSet,
  grantedDisks: ReadonlySet<string>,
  refusedDisks: ReadonlySet<string>,
): boolean {
  return isQuorum(voters, grantedDisks) || refusedDisks.size === allVoters(voters).length;
}
