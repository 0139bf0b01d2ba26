/**
 * Quorum polls: a request to all voters that is decided as soon as a quorum agrees, or no longer can.
 */

import { Right } from 'purify-ts';
import { errorOrValue, failure, OperationError, Result } from '../errors/errors';
import { allVoters, isQuorum, Voter, VoterSet } from '../state/voter-set';

/** The test of a reply where the caller gives none: that it comes from the voter's own disk. */
function isFromOwnDisk(reply: unknown, voter: Voter): boolean {
  return (reply as { disk?: string } | undefined)?.disk === voter.disk;
}

/** A vote against, by an error or by a reply that the test did not accept. */
function noQuorum<T>(voter: Voter, error: OperationError | undefined): Result<T> {
  const reason = error ? error.reason : 'said no';
  return failure('poll', voter.at, reason, 'unknown', error?.code ?? 'no-quorum');
}

/** The votes of one poll. */
class Ballot {
  private readonly accepted = new Set<string>();
  /** The disks that have not voted against. */
  private readonly open = new Set<string>();

  constructor(private readonly voters: VoterSet) {
    for (const { disk } of allVoters(voters)) this.open.add(disk);
  }

  count(voter: Voter, isAccepted: boolean): void {
    if (isAccepted) this.accepted.add(voter.disk);
    else this.open.delete(voter.disk);
  }

  isWon(): boolean {
    return isQuorum(this.voters, this.accepted);
  }

  isLost(): boolean {
    return !isQuorum(this.voters, this.open);
  }
}

/**
 * Asks all voters side by side. Resolves with the replies so far once a quorum gave one that `isYes` accepts; or, once
 * no quorum can any more, with the error of the vote that decided it: its own code, or `no-quorum`, of unknown effect.
 */
export async function pollVoters<T>(
  voters: VoterSet,
  ask: (voter: Voter) => Promise<Result<T>>,
  isYes: (reply: T, voter: Voter) => boolean = isFromOwnDisk,
): Promise<Result<T[]>> {
  const ballot = new Ballot(voters);
  const replies: T[] = [];
  function run(resolve: (outcome: Result<T[]>) => void): void {
    for (const voter of allVoters(voters)) void poll(voter);
    async function poll(voter: Voter): Promise<void> {
      const [error, reply] = errorOrValue(await ask(voter));
      if (reply !== undefined) replies.push(reply);
      ballot.count(voter, !error && isYes(reply, voter));
      if (ballot.isWon()) resolve(Right(replies));
      else if (ballot.isLost()) resolve(noQuorum(voter, error));
    }
  }
  return new Promise(run);
}
