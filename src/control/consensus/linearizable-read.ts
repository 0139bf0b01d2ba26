/**
 * Linearizable reads of control keys, by polling a majority for the versions that it has accepted: what is read is never
 * older than what was acknowledged before the read began.
 */

import { Left, Right } from 'purify-ts';
import { HandlerResult, messageHandler } from '../../shared/transport/message-handlers';
import { failure, errorOrValue, Result } from '../../shared/errors/errors';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { VersionedValue } from '../../shared/state/versions';
import { VoterSet } from '../../shared/state/voter-set';
import { ControlStore } from '../storage/control-store';
import { AcceptedVersionReply } from './acceptor-messages';
import { hasNewerAccepted, pollAcceptedVersions } from './accepted-versions';
import { RequestVoter } from './voter-request';
import { KeyOwner } from './key-owner';

/** How often one read polls the voters: a second time where the first poll shows that they were replaced. */
const MAX_POLLS = 2;

/** What a read needs of its controller. */
export interface ReadDependencies {
  store: ControlStore;
  keyOwner: KeyOwner;
  voters: () => VoterSet | undefined;
  requestVoter: RequestVoter;
  /** Sends a request to the owner of a key, wherever that is. */
  requestOwner: (key: string, type: string, body: object) => Promise<Result<unknown>>;
  /** Learns a committed value in this process. */
  learnLocally: (committed: VersionedValue) => Promise<unknown>;
}

/** What is known of a key once a majority was polled. */
interface PolledKey {
  /** The value that is learned here. */
  learned?: VersionedValue;
  /** Whether a later one was accepted somewhere, so that it may be committed. */
  mayBeOutdated: boolean;
}

/** Handles what controllers ask one another for a read. */
export class ReadHandlers {
  constructor(private readonly dependencies: ReadDependencies) {}

  /** Reacquires a key as its owner: what a majority had accepted is committed then. */
  @messageHandler('settle')
  async reacquire(request: { key: string }): HandlerResult {
    return this.dependencies.keyOwner.reacquire(request.key);
  }
}

/**
 * Reads the newest committed value of a key; undefined where it has none. Where a later one may be committed than is
 * known here, the owner first commits what was accepted.
 */
export async function readLinearizable(
  dependencies: ReadDependencies,
  key: string,
): Promise<Result<VersionedValue | undefined>> {
  const [error, polled] = errorOrValue(await pollKey(dependencies, key));
  if (error) return Left(error);
  if (!polled.mayBeOutdated) return Right(polled.learned);
  const answer = dependencies.requestOwner(key, 'settle', { key });
  return answer as Promise<Result<VersionedValue | undefined>>;
}

/**
 * Reads as `readLinearizable` does, but gives an error with the code `unsettled` where a later value may be committed than
 * is known here: a change may be under way.
 */
export async function readIfStable(
  dependencies: ReadDependencies,
  key: string,
): Promise<Result<VersionedValue | undefined>> {
  const [error, polled] = errorOrValue(await pollKey(dependencies, key));
  if (error) return Left(error);
  return polled.mayBeOutdated
    ? failure('read', key, 'a later change was accepted', 'unknown', 'unsettled')
    : Right(polled.learned);
}

async function pollKey(dependencies: ReadDependencies, key: string): Promise<Result<PolledKey>> {
  const [error, replies] = errorOrValue(await pollVersions(dependencies, key, MAX_POLLS));
  if (error) return Left(error);
  const learned = dependencies.store.registers.get(key)?.learned;
  return Right({ learned, mayBeOutdated: hasNewerAccepted(replies, learned) });
}

async function pollVersions(
  dependencies: ReadDependencies,
  key: string,
  pollsLeft: number,
): Promise<Result<AcceptedVersionReply[]>> {
  const { store, voters, requestVoter, learnLocally } = dependencies;
  const committedVoters = store.registers.get(CONTROL_KEYS.voters)?.learned;
  const { accepted, newerVoterSet } = await pollAcceptedVersions(
    voters(),
    requestVoter,
    key,
    committedVoters,
  );
  if (!newerVoterSet) return accepted;
  void learnLocally(newerVoterSet);
  const isWorthRepeating = accepted.isLeft() && pollsLeft > 1;
  return isWorthRepeating ? pollVersions(dependencies, key, pollsLeft - 1) : accepted;
}
