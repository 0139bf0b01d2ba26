/**
 * What a quorum of the old voter set holds, and how it reaches the new voters.
 */

import { Left, Right } from 'purify-ts';
import { errorOrValue, makeError, Result } from '../../shared/errors/errors';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Version, VersionedValue } from '../../shared/state/versions';
import { Voter } from '../../shared/state/voter-set';
import { pollVoters } from '../../shared/transport/quorum-poll';
import { Controller } from '../controller-interface';
import { Vote } from '../storage/vote-files';

/** Idempotency keys are hexadecimal: a prefix with too many votes is split by the next digit. */
const HEX_DIGITS = [...'0123456789abcdef'];

/** Votes are copied in batches whose keys share a prefix of this many characters. */
const BATCH_PREFIX_CHARACTERS = 2;

/** Keys that are committed again at once. */
const MAX_CONCURRENT_RECOMMITS = 16;

/** What these functions need of their controller. */
type StateController = Pick<
  Controller,
  'committedValue' | 'recommit' | 'requestVoter' | 'timeLimits'
>;

/** The idempotency votes and the names of the control keys that a quorum holds. */
export interface QuorumState {
  votes: Map<string, Vote>;
  keys: Set<string>;
}

/** The reply to the message `held`; with `more`, the votes are too many for one reply, and none are given. */
interface HeldReply {
  disk: string;
  votes: Vote[];
  keys: string[];
  more?: boolean;
}

/**
 * Collects what a quorum of the old set holds; each voter first learns the joint set, so that it accepts nothing more
 * from an owner that goes by the old one.
 */
export async function collectQuorumState(
  controller: StateController,
  now: Voter[],
  version: Version,
): Promise<Result<QuorumState>> {
  const state: QuorumState = { votes: new Map(), keys: new Set() };
  const { epoch, by, number } = version;
  const { value } = controller.committedValue(CONTROL_KEYS.voters)!;
  const change: VersionedValue = { key: CONTROL_KEYS.voters, epoch, by, number, value };
  const { requestTimeoutMs } = controller.timeLimits;

  async function collectFrom(voter: Voter): Promise<Result<{ disk: string }>> {
    const [error] = errorOrValue(
      await controller.requestVoter(voter, 'learn', { change }, requestTimeoutMs),
    );
    return error ? Left(error) : collectPrefix(controller, voter, '', state);
  }
  function allCollected(): QuorumState {
    return state;
  }
  return (await pollVoters({ now }, collectFrom)).map(allCollected);
}

/** Adds the keys of a voter and its votes whose key begins with a prefix. */
async function collectPrefix(
  controller: StateController,
  voter: Voter,
  prefix: string,
  state: QuorumState,
): Promise<Result<{ disk: string }>> {
  const { requestTimeoutMs } = controller.timeLimits;
  const body = { begins: prefix, some: true };
  const [error, value] = errorOrValue(
    await controller.requestVoter(voter, 'held', body, requestTimeoutMs),
  );
  if (error) return Left(error);
  const reply = value as HeldReply;
  for (const key of reply.keys) state.keys.add(key);
  if (!reply.more) {
    for (const vote of reply.votes) state.votes.set(vote.key, vote);
    return Right({ disk: reply.disk });
  }
  for (const digit of HEX_DIGITS) {
    const [prefixError] = errorOrValue(
      await collectPrefix(controller, voter, prefix + digit, state),
    );
    if (prefixError) return Left(prefixError);
  }
  return Right({ disk: reply.disk });
}

/** Copies votes to a new voter, batch by batch. */
export async function copyVotes(
  controller: StateController,
  newVoter: Voter,
  votes: QuorumState['votes'],
): Promise<Result<unknown>> {
  const { effectTimeoutMs } = controller.timeLimits;
  for (const batch of batchesByPrefix(votes.values())) {
    const [error] = errorOrValue(
      await controller.requestVoter(newVoter, 'copy', batch, effectTimeoutMs),
    );
    if (error) return Left(error);
  }
  return Right(undefined);
}

function batchesByPrefix(votes: Iterable<Vote>): Iterable<Vote[]> {
  const batches = new Map<string, Vote[]>();
  for (const vote of votes) {
    const prefix = vote.key.slice(0, BATCH_PREFIX_CHARACTERS);
    const batch = batches.get(prefix);
    if (batch) batch.push(vote);
    else batches.set(prefix, [vote]);
  }
  return batches.values();
}

/**
 * Has every key committed again, some at once, but for those that were recommitted for this joint set before. The
 * owner of a key does so: another node that took it over would be outbid by the owner again, and where just a majority
 * is left a lost proposal fails.
 */
export async function recommitKeys(
  controller: StateController,
  keys: readonly string[],
  recommittedKeys: Set<string>,
): Promise<Result<unknown>> {
  function isLeft(key: string): boolean {
    return key !== CONTROL_KEYS.voters && !recommittedKeys.has(key);
  }
  async function recommit(key: string): Promise<Result<unknown>> {
    const recommitted = await controller.recommit(key);
    if (recommitted.isRight()) recommittedKeys.add(key);
    return recommitted;
  }
  const keysLeft = keys.filter(isLeft);
  for (let start = 0; start < keysLeft.length; start += MAX_CONCURRENT_RECOMMITS) {
    const batch = keysLeft.slice(start, start + MAX_CONCURRENT_RECOMMITS);
    for (const recommitted of await Promise.all(batch.map(recommit))) {
      const [error] = errorOrValue(recommitted);
      if (error)
        return Left(makeError(error.step, error.peer, error.reason, 'unknown', error.code));
    }
  }
  return Right(undefined);
}
