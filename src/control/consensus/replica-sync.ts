import { Left, Right } from 'purify-ts';
import { bodyField } from '../../shared/transport/body-fields';
import { HandlerResult, messageHandler } from '../../shared/transport/message-handlers';
import { failure, OperationError, errorOrValue, Result } from '../../shared/errors/errors';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { VersionedValue, Version } from '../../shared/state/versions';
import { Voter } from '../../shared/state/voter-set';
import { isAtLeast } from '../../shared/replication/change-message';
import { ControlStore } from '../storage/control-store';
import { learnedValues } from '../storage/register-state';

/** Keys that one message asks about at the most. */
const MAX_KEYS_PER_REQUEST = 256;
/** Rounds in which voters are brought up to date at the most. */
const MAX_SYNC_ROUNDS = 8;
/** Values that are on their way to a voter at once. */
const MAX_VALUES_IN_FLIGHT = 16;

/** Where a key stands. */
interface KeyVersion extends Version {
  key: string;
}

class VersionsRequest {
  @bodyField('list') places!: KeyVersion[];
}

/** Which of the places that it was asked about a disk has not learned. */
export interface MissingKeysReply {
  disk: string;
  lacking: string[];
}

/** Answers how far this disk has learned what is committed. */
export class ReplicaHandlers {
  constructor(private readonly store: ControlStore) {}

  /** Tells which of these places this disk has not learned; what it has learned is synced before it answers. */
  @messageHandler('lacking', VersionsRequest)
  async missingKeys(m: VersionsRequest): HandlerResult {
    const lacking: string[] = [];
    for (const place of m.places)
      if (!isAtLeast(this.store.registers.get(place.key)?.learned, place)) lacking.push(place.key);
    const [f] = errorOrValue(await this.store.flush());
    return f ? Left(f) : Right({ disk: this.store.diskId, lacking });
  }

  /** Tells how many changes before these places what this disk has learned is. */
  @messageHandler('progress', VersionsRequest)
  async progress(m: VersionsRequest): HandlerResult {
    const { registers: cells } = this.store;
    let behind = 0;
    for (const place of m.places) {
      const learned = cells.get(place.key)?.learned;
      if (!isAtLeast(learned, place)) behind += Math.max(1, place.number - (learned?.number ?? 0));
    }
    return Right({
      epoch: cells.get(CONTROL_KEYS.voters)?.learned?.epoch ?? 0,
      behind,
    });
  }
}

/** How far a disk is, as against some places. */
export interface ReplicaProgress {
  /** Under which epoch it has learned the voters. */
  epoch: number;
  /** How many changes of the keys that it was asked about it has not learned. */
  behind: number;
}

/** What bringing a voter up to date needs of its controller. */
export interface ReplicaSyncDependencies {
  store: ControlStore;
  requestVoter: (v: Voter, type: string, body: unknown) => Promise<Result<unknown>>;
}

/** Brings a voter to have learned, on its synced disk and by its own word, all that is committed here now, and tells how many keys it had lacked; safe to repeat, and each batch that it took stays. */
export async function syncReplica(p: ReplicaSyncDependencies, to: Voter): Promise<Result<number>> {
  const committed = learnedValues(p.store.registers);
  let lacked = 0;
  for (let i = 0; i < committed.length; i += MAX_KEYS_PER_REQUEST) {
    const [f, count] = errorOrValue(
      await syncBatch(p, to, committed.slice(i, i + MAX_KEYS_PER_REQUEST)),
    );
    if (f) return Left(f);
    lacked += count;
  }
  return Right(lacked);
}

/** How far a voter is behind all that is learned here. */
export async function readReplicaProgress(
  p: ReplicaSyncDependencies,
  of: Voter,
): Promise<Result<ReplicaProgress>> {
  const committed = learnedValues(p.store.registers);
  const whole: ReplicaProgress = { epoch: 0, behind: 0 };
  for (let i = 0; i < committed.length; i += MAX_KEYS_PER_REQUEST) {
    const places = committed.slice(i, i + MAX_KEYS_PER_REQUEST).map(keyVersionOf);
    const [f, part] = errorOrValue(await p.requestVoter(of, 'progress', { places }));
    if (f) return Left(f);
    whole.epoch = (part as ReplicaProgress).epoch;
    whole.behind += (part as ReplicaProgress).behind;
  }
  return Right(whole);
}

async function syncBatch(
  p: ReplicaSyncDependencies,
  to: Voter,
  batch: readonly VersionedValue[],
): Promise<Result<number>> {
  const [f, missing] = errorOrValue(await missingOf(p, to, batch));
  if (f) return Left(f);
  if (missing.length === 0) return Right(0);
  const [g] = errorOrValue(await sendValues(p, to, missing));
  if (g) return Left(g);
  const [h, still] = errorOrValue(await missingOf(p, to, missing));
  if (h) return Left(h);
  return still.length === 0
    ? Right(missing.length)
    : failure('replicate', to.at, `still lacks ${still[0].key}`, 'unknown', 'pending');
}

async function missingOf(
  p: ReplicaSyncDependencies,
  to: Voter,
  list: readonly VersionedValue[],
): Promise<Result<VersionedValue[]>> {
  const [f, r] = errorOrValue(
    await p.requestVoter(to, 'lacking', { places: list.map(keyVersionOf) }),
  );
  if (f) return Left(atStep(f));
  const { disk, lacking } = r as MissingKeysReply;
  if (disk !== to.disk)
    return failure('replicate', to.at, 'another disk answers', 'refused', 'no-voter');
  const keys = new Set(lacking);
  function isLacking(n: VersionedValue): boolean {
    return keys.has(n.key);
  }
  return Right(list.filter(isLacking));
}

async function sendValues(
  p: ReplicaSyncDependencies,
  to: Voter,
  list: readonly VersionedValue[],
): Promise<Result<void>> {
  function send(change: VersionedValue): Promise<Result<unknown>> {
    return p.requestVoter(to, 'learn', { change });
  }
  for (let i = 0; i < list.length; i += MAX_VALUES_IN_FLIGHT) {
    for (const sent of await Promise.all(list.slice(i, i + MAX_VALUES_IN_FLIGHT).map(send))) {
      const [f] = errorOrValue(sent);
      if (f) return Left(atStep(f));
    }
  }
  return Right(undefined);
}

function keyVersionOf({ key, epoch, by, number }: VersionedValue): KeyVersion {
  return { key, epoch, by, number };
}

function atStep(f: OperationError): OperationError {
  return { ...f, step: 'replicate' };
}

/** Brings voters up to date until a round finds that they lack nothing, since keys may be committed anew meanwhile; after so many rounds the last one counts. */
export async function syncReplicas(
  p: ReplicaSyncDependencies,
  voters: readonly Voter[],
  rounds = MAX_SYNC_ROUNDS,
): Promise<Result<void>> {
  let lacked = 0;
  for (const voter of voters) {
    const [f, count] = errorOrValue(await syncReplica(p, voter));
    if (f) return Left(f);
    lacked += count;
  }
  return lacked === 0 || rounds <= 1 ? Right(undefined) : syncReplicas(p, voters, rounds - 1);
}
