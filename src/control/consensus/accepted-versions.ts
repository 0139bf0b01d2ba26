/**
 * Reads which version of a key the disks of a majority have accepted, without a write.
 */

import { failure, errorOrValue, Result } from '../../shared/errors/errors';
import { isAtLeast } from '../../shared/replication/change-message';
import { versionOf } from '../../shared/replication/delta';
import { pollVoters } from '../../shared/transport/quorum-poll';
import { VersionedValue, Version } from '../../shared/state/versions';
import { Voter, VoterSet } from '../../shared/state/voter-set';
import { AcceptedVersionReply, AcceptedVersionRequest } from './acceptor-messages';
import { RequestVoter } from './voter-request';

/** What a poll of the voters gave. */
export interface PolledVersions {
  /** The replies of a majority. */
  accepted: Result<AcceptedVersionReply[]>;
  /** A later voter set than the one that was polled, where a voter sent it. */
  newerVoterSet?: VersionedValue;
}

/**
 * Polls the voters for the version of a key that each has accepted last. A voter that goes by a later voter set than
 * `committedVoters` counts for no majority.
 */
export async function pollAcceptedVersions(
  voters: VoterSet | undefined,
  requestVoter: RequestVoter,
  key: string,
  committedVoters: VersionedValue | undefined,
): Promise<PolledVersions> {
  if (!voters) return { accepted: failure('read', key, 'not founded', 'refused', 'not-founded') };
  const request: AcceptedVersionRequest = {
    key,
    voters: committedVoters && versionOf(committedVoters),
  };
  let sentVoters: VersionedValue | undefined;

  async function requestVersion(voter: Voter): Promise<Result<AcceptedVersionReply>> {
    const result = (await requestVoter(
      voter,
      'held-place',
      request,
    )) as Result<AcceptedVersionReply>;
    const [, reply] = errorOrValue(result);
    sentVoters = reply?.voters ?? sentVoters;
    return result;
  }

  const accepted = await pollVoters(voters, requestVersion, countsForQuorum);
  const isNewer = sentVoters !== undefined && isNewerVersion(sentVoters, committedVoters);
  return { accepted, newerVoterSet: isNewer ? sentVoters : undefined };
}

function countsForQuorum(reply: AcceptedVersionReply, voter: Voter): boolean {
  return reply.disk === voter.disk && !reply.voters;
}

/**
 * Whether any disk has accepted a later version than the one that is known here; where none is known, any accepted one
 * is later.
 */
export function hasNewerAccepted(
  replies: readonly AcceptedVersionReply[],
  known: Version | undefined,
): boolean {
  function isNewer(reply: AcceptedVersionReply): boolean {
    return reply.accepted !== undefined && isNewerVersion(reply.accepted, known);
  }
  return replies.some(isNewer);
}

/** Whether a version is later than the one that is known; where none is, any is later. */
export function isNewerVersion(version: Version, known: Version | undefined): boolean {
  return !isAtLeast(known, version);
}
