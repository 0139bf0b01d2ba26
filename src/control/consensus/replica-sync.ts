/**
 * Brings voters up to date: each is sent what it has not learned of all that is committed, and it is done once the
 * voter says that its synced disk has learned that.
 */

import { Left, Right } from 'purify-ts';
import { bodyField } from '../../shared/transport/body-fields';
import { HandlerResult, messageHandler } from '../../shared/transport/message-handlers';
import { failure, OperationError, errorOrValue, Result } from '../../shared/errors/errors';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { VersionedValue, Version } from '../../shared/state/versions';
import { Voter } from '../../shared/state/voter-set';
import { isAtLeast } from '../../shared/replication/change-message';
import { versionOf } from '../../shared/replication/delta';
import { ControlStore } from '../storage/control-store';
import { learnedValues } from '../storage/register-state';
import { RequestVoter } from './voter-request';

/** How many keys one message asks about. */
const MAX_KEYS_PER_REQUEST = 256;
/** How many rounds `syncReplicas` takes. */
const MAX_SYNC_ROUNDS = 8;
/** How many values are on their way to a voter at once. */
const MAX_VALUES_IN_FLIGHT = 16;

/** The committed version of a key. */
interface KeyVersion extends Version {
  key: string;
}

/** Asks about committed versions; the field name is sent. */
class VersionsRequest {
  @bodyField('list') places!: KeyVersion[];
}

/** The keys of a request that a disk has not learned; the field names are sent. */
export interface MissingKeysReply {
  disk: string;
  lacking: string[];
}

/** How far a disk has learned some committed versions; the field names are sent. */
export interface ReplicaProgress {
  /** The epoch of the voter set that it has learned; 0 where it has learned none. */
  epoch: number;
  /** How many changes of these keys it has not learned. */
  behind: number;
}

/** What bringing voters up to date needs of its controller. */
export interface ReplicaSyncDependencies {
  store: ControlStore;
  requestVoter: RequestVoter;
}

/** Answers how far this disk has learned what is committed. */
export class ReplicaHandlers {
  constructor(private readonly store: ControlStore) {}

  /** Lists the keys whose given version this disk has not learned; what it has learned is synced before it answers. */
  @messageHandler('lacking', VersionsRequest)
  async missingKeys(request: VersionsRequest): HandlerResult {
    const lacking: string[] = [];
    for (const version of request.places)
      if (!isAtLeast(this.learned(version.key), version)) lacking.push(version.key);
    const [error] = errorOrValue(await this.store.flush());
    if (error) return Left(error);
    return Right<MissingKeysReply>({ disk: this.store.diskId, lacking });
  }

  /** Counts by how many changes this disk is behind the given versions. */
  @messageHandler('progress', VersionsRequest)
  progress(request: VersionsRequest): HandlerResult {
    let behind = 0;
    for (const version of request.places) {
      const learned = this.learned(version.key);
      if (isAtLeast(learned, version)) continue;
      behind += Math.max(1, version.number - (learned?.number ?? 0));
    }
    const epoch = this.learned(CONTROL_KEYS.voters)?.epoch ?? 0;
    return Promise.resolve(Right<ReplicaProgress>({ epoch, behind }));
  }

  private learned(key: string): VersionedValue | undefined {
    return this.store.registers.get(key)?.learned;
  }
}

/**
 * Brings a voter to have learned, on its synced disk and by its own word, all that is committed here now, and gives how
 * many keys it had lacked. Safe to repeat: each batch that the voter took stays. Errors have the step `replicate`.
 */
export async function syncReplica(
  dependencies: ReplicaSyncDependencies,
  voter: Voter,
): Promise<Result<number>> {
  let lackedCount = 0;
  for (const batch of batchesOf(learnedValues(dependencies.store.registers))) {
    const [error, count] = errorOrValue(await syncBatch(dependencies, voter, batch));
    if (error) return Left(error);
    lackedCount += count;
  }
  return Right(lackedCount);
}

/**
 * Brings voters up to date until a round finds that they lack nothing, since keys may be committed anew meanwhile; after
 * `roundsLeft` rounds the last one counts.
 */
export async function syncReplicas(
  dependencies: ReplicaSyncDependencies,
  voters: readonly Voter[],
  roundsLeft = MAX_SYNC_ROUNDS,
): Promise<Result<void>> {
  let lackedCount = 0;
  for (const voter of voters) {
    const [error, count] = errorOrValue(await syncReplica(dependencies, voter));
    if (error) return Left(error);
    lackedCount += count;
  }
  if (lackedCount === 0 || roundsLeft <= 1) return Right(undefined);
  return syncReplicas(dependencies, voters, roundsLeft - 1);
}

/** How far a voter is behind all that is learned here. */
export async function readReplicaProgress(
  dependencies: ReplicaSyncDependencies,
  voter: Voter,
): Promise<Result<ReplicaProgress>> {
  const total: ReplicaProgress = { epoch: 0, behind: 0 };
  for (const batch of batchesOf(learnedValues(dependencies.store.registers))) {
    const request = { places: batch.map(keyVersionOf) };
    const [error, reply] = errorOrValue(
      (await dependencies.requestVoter(voter, 'progress', request)) as Result<ReplicaProgress>,
    );
    if (error) return Left(error);
    total.epoch = reply.epoch;
    total.behind += reply.behind;
  }
  return Right(total);
}

function* batchesOf(values: readonly VersionedValue[]): Generator<readonly VersionedValue[]> {
  for (let start = 0; start < values.length; start += MAX_KEYS_PER_REQUEST)
    yield values.slice(start, start + MAX_KEYS_PER_REQUEST);
}

/** Sends a voter what it lacks of a batch, and gives how many keys that were. */
async function syncBatch(
  dependencies: ReplicaSyncDependencies,
  voter: Voter,
  batch: readonly VersionedValue[],
): Promise<Result<number>> {
  const [askError, missing] = errorOrValue(await missingOf(dependencies, voter, batch));
  if (askError) return Left(askError);
  if (missing.length === 0) return Right(0);
  const [sendError] = errorOrValue(await sendValues(dependencies, voter, missing));
  if (sendError) return Left(sendError);
  const [confirmError, remaining] = errorOrValue(await missingOf(dependencies, voter, missing));
  if (confirmError) return Left(confirmError);
  return remaining.length === 0
    ? Right(missing.length)
    : failure('replicate', voter.at, `still lacks ${remaining[0].key}`, 'unknown', 'pending');
}

/** Which of these values a voter's disk has not learned. */
async function missingOf(
  dependencies: ReplicaSyncDependencies,
  voter: Voter,
  values: readonly VersionedValue[],
): Promise<Result<VersionedValue[]>> {
  const request = { places: values.map(keyVersionOf) };
  const [error, reply] = errorOrValue(
    (await dependencies.requestVoter(voter, 'lacking', request)) as Result<MissingKeysReply>,
  );
  if (error) return Left(asReplicationError(error));
  if (reply.disk !== voter.disk)
    return failure('replicate', voter.at, 'another disk answers', 'refused', 'no-voter');
  const keys = new Set(reply.lacking);
  function isMissing(value: VersionedValue): boolean {
    return keys.has(value.key);
  }
  return Right(values.filter(isMissing));
}

async function sendValues(
  dependencies: ReplicaSyncDependencies,
  voter: Voter,
  values: readonly VersionedValue[],
): Promise<Result<void>> {
  function send(change: VersionedValue): Promise<Result<unknown>> {
    return dependencies.requestVoter(voter, 'learn', { change });
  }
  for (let start = 0; start < values.length; start += MAX_VALUES_IN_FLIGHT) {
    const inFlight = values.slice(start, start + MAX_VALUES_IN_FLIGHT).map(send);
    for (const sent of await Promise.all(inFlight)) {
      const [error] = errorOrValue(sent);
      if (error) return Left(asReplicationError(error));
    }
  }
  return Right(undefined);
}

function keyVersionOf(value: VersionedValue): KeyVersion {
  return { key: value.key, ...versionOf(value) };
}

function asReplicationError(error: OperationError): OperationError {
  return { ...error, step: 'replicate' };
}
