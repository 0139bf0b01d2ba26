/**
 * Whether a cluster may be bootstrapped: decisions of the state of this disk, of the founders, and of their replies.
 */

import { Left, Right } from 'purify-ts';
import { failure, OperationError, Result } from '../../shared/errors/errors';
import { isVoter, Voter, VoterSet } from '../../shared/state/voter-set';
import { IdentifyReply } from './identify-reply';

/** The step that errors of a bootstrap tell; it crosses the wire. */
const STEP = 'found';

/** The prefix of the disk id under which a founder counts that was absent at the bootstrap. */
const ABSENT_DISK_PREFIX = 'absent ';

/** The reply of a founder, or why there is none. */
export type FounderReply =
  readonly [OperationError, undefined] | readonly [undefined, IdentifyReply];

/** The founders, and those of them that are declared absent. */
export interface FounderSets {
  ownAddress: string;
  founders: readonly string[];
  absent: readonly string[];
}

/** The result of a bootstrap where a voter set is known: the set itself, if this disk is one of its voters. */
export function checkKnownVoters(voters: VoterSet, ownDisk: string): Result<VoterSet> {
  if (isVoter(voters, ownDisk)) return Right(voters);
  const reason = 'a fleet is founded, and this disk is not of it';
  return failure(STEP, ownDisk, reason, 'refused', 'not-blank');
}

/** Refuses a disk that lost the data of a cluster. */
export function checkDiskIntact(ownDisk: string, isCorrupt: boolean): Result<void> {
  return isCorrupt
    ? failure(STEP, ownDisk, 'this disk was of a fleet', 'refused', 'not-blank')
    : Right(undefined);
}

/** Refuses a bootstrap without this node, or without a majority of the founders. */
export function checkFounderQuorum(name: string, sets: FounderSets): Result<void> {
  const { ownAddress, founders, absent } = sets;
  function isAbsent(address: string): boolean {
    return absent.includes(address);
  }
  const lacksQuorum = founders.filter(isAbsent).length * 2 >= founders.length;
  if (!isAbsent(ownAddress) && !lacksQuorum) return Right(undefined);
  return failure(STEP, name, 'a majority of the founders must be here', 'refused', 'no-quorum');
}

/**
 * The voter that a founder becomes, by its reply. One that is declared absent must not be able to bootstrap on its
 * own or to be of a cluster; any other must answer, and be blank.
 */
export function voterOfFounder(
  address: string,
  isAbsent: boolean,
  [error, reply]: FounderReply,
): Result<Voter> {
  if (isAbsent && reply && (reply.mayFound || !reply.blank))
    return failure(STEP, address, 'is named as absent, and is here', 'refused', 'conflict');
  if (!isAbsent && error) return Left({ ...error, certainty: 'refused' });
  if (reply && !reply.blank) return failure(STEP, address, 'is not blank', 'refused', 'not-blank');
  const disk = reply && !isAbsent ? reply.disk : `${ABSENT_DISK_PREFIX}${address}`;
  return Right({ disk, at: address });
}

/** The error of a bootstrap that another one preceded. */
export function precededByAnother(name: string): Result<VoterSet> {
  return failure(STEP, name, 'another came first', 'refused', 'conflict');
}
