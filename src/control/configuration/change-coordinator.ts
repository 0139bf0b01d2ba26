/**
 * Makes the changes of one controller: forwards each one to the owner of its key, or makes it here in the owner's
 * place. An order that is sent again while it is in progress joins the first attempt and has its result.
 */

import { Left, Right } from 'purify-ts';
import { makeSingleFlight } from '../../shared/concurrency/single-flight';
import {
  errorOrValue,
  isRetryableElsewhere,
  OperationError,
  Result,
} from '../../shared/errors/errors';
import { Clock } from '../../shared/ports/clock';
import { RandomSource } from '../../shared/ports/random';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Version, VersionedValue } from '../../shared/state/versions';
import { notConnected } from '../../shared/transport/peer-channel';
import { isApplied, nextValueInDoubt, refusalInDoubt, withDoubt } from './change-doubt';
import { forwardChange } from './change-forwarding';
import { checkBaseRevision, DocumentParser, operationIdentity } from './deployment-change';
import { computeNextValue } from './next-value';
import { controlKeyOf, Operation } from './operations';
import { OwnerRequests, OwnerRequestsDependencies } from './owner-requests';
import { SingletonHolder } from './singleton-holder';

/** Attempts at a change, and rounds of asking its key's owner. */
const MAX_ATTEMPTS = 3;

/** The pause before another round, as a ratio of the usual pause: at least the first, and up to the second more at random. */
const ROUND_PAUSE_MIN_RATIO = 0.05;
const ROUND_PAUSE_JITTER_RATIO = 0.15;

/** The result of a change that was made. The field names are sent. */
export interface ChangeResult {
  /** The version that the change has. */
  place: Version;
  /** Whether every router with a live lease goes by it. */
  inEffect: boolean;
  /** The singleton role as it is committed, where the change was of one; other values may be large, and nobody reads them here. */
  duty?: SingletonHolder;
}

interface ChangeCoordinatorDependencies extends OwnerRequestsDependencies {
  clock: Clock;
  random: RandomSource;
  parser: DocumentParser | undefined;
  /** Reads what a majority holds as committed of a key, without its owner; an error where a change may be in progress. */
  readIfStable: (key: string) => Promise<Result<VersionedValue | undefined>>;
}

/** How changes are made, here or by the key's owner. */
export interface ChangeCoordinator {
  /** Makes a change here, as the key's owner. */
  changeAsOwner: (
    operation: Operation,
    maxAttempts?: number,
    isInDoubt?: boolean,
  ) => Promise<Result<ChangeResult>>;
  /** Has the key's owner make a change, and makes it here where that one does not. */
  commit: (operation: Operation) => Promise<Result<ChangeResult>>;
  /** Asks a key's owner; where that one does not answer, this node takes its place. */
  requestOwner: (key: string, type: string, body: object) => Promise<Result<unknown>>;
  /** Has a key's owner commit its value anew; where that one does not answer, nobody takes its place. */
  recommit: (key: string) => Promise<Result<unknown>>;
  /** Whether an order is in progress here, as at the key's owner. */
  isInProgress: (identity: string) => boolean;
}

/** What identifies an operator's order; other changes have no identity. */
function identityOf(operation: Operation): string | undefined {
  return operation.kind === 'deployment' ? operationIdentity(operation) : undefined;
}

function resultOf(committed: VersionedValue): ChangeResult {
  const { key, epoch, by, number, value } = committed;
  const result: ChangeResult = { place: { epoch, by, number }, inEffect: false };
  return key.startsWith(CONTROL_KEYS.duty) ? { ...result, duty: value as SingletonHolder } : result;
}

/** The changes of one controller. */
class Changes {
  private readonly madeAsOwner = makeSingleFlight<Result<ChangeResult>>();
  private readonly committed = makeSingleFlight<Result<ChangeResult>>();
  private readonly owners: OwnerRequests;

  constructor(private readonly dependencies: ChangeCoordinatorDependencies) {
    this.owners = new OwnerRequests(dependencies);
  }

  coordinator(): ChangeCoordinator {
    return {
      changeAsOwner: this.changeAsOwner.bind(this),
      commit: this.commit.bind(this),
      requestOwner: this.owners.request.bind(this.owners),
      recommit: this.owners.recommit.bind(this.owners),
      isInProgress: this.madeAsOwner.isInProgress,
    };
  }

  /** Makes a change as the key's owner; one that is sent again meanwhile has the same result. */
  private async changeAsOwner(
    operation: Operation,
    maxAttempts = 1,
    isInDoubt = false,
  ): Promise<Result<ChangeResult>> {
    const { keyOwner, parser } = this.dependencies;
    const result = await this.madeAsOwner.run(identityOf(operation), start);
    return isInDoubt ? withDoubt(result) : result;

    async function start(): Promise<Result<ChangeResult>> {
      return (await keyOwner.change(controlKeyOf(operation), next, maxAttempts)).map(resultOf);
    }

    function next(committed: VersionedValue | undefined): Result<unknown> {
      const value = computeNextValue(operation, committed, parser);
      return isInDoubt ? nextValueInDoubt(operation, value) : value;
    }
  }

  /**
   * Has a change made. An order that was applied, or is refused by what is committed, is answered by a read, at any
   * controller: its owner is left to the changes that are made, and is not outbid for a verdict.
   */
  private commit(operation: Operation): Promise<Result<ChangeResult>> {
    return this.committed.run(identityOf(operation), this.start.bind(this, operation));
  }

  private async start(operation: Operation): Promise<Result<ChangeResult>> {
    const verdict = await this.verdictByRead(operation);
    return verdict ? Left(verdict) : this.commitByOwner(operation);
  }

  private async verdictByRead(operation: Operation): Promise<OperationError | undefined> {
    const { parser, readIfStable } = this.dependencies;
    if (operation.kind !== 'deployment' || !parser) return undefined;
    const [error, committed] = errorOrValue(await readIfStable(controlKeyOf(operation)));
    return error ? undefined : checkBaseRevision(operation, committed, parser);
  }

  private async commitByOwner(
    operation: Operation,
    rounds = MAX_ATTEMPTS,
    isInDoubt = false,
  ): Promise<Result<ChangeResult>> {
    const owner = this.owners.ownerAddress(controlKeyOf(operation));
    if (owner === undefined) return Left(this.owners.noVoter('change'));
    if (owner === this.dependencies.settings.wire)
      return this.changeAsOwner(operation, MAX_ATTEMPTS, isInDoubt);
    const [error, result] = errorOrValue(await this.forwardTo(owner, operation));
    if (!error) return Right(result as ChangeResult);
    if (!isRetryableElsewhere(error))
      return Left(isInDoubt ? refusalInDoubt(operation, error) : error);
    return this.commitInPlace(operation, rounds, isInDoubt || error.certainty === 'unknown');
  }

  /** Takes the place of an owner that did not answer, and makes the change unless that one had made it. */
  private async commitInPlace(
    operation: Operation,
    rounds: number,
    isInDoubt: boolean,
  ): Promise<Result<ChangeResult>> {
    const { keyOwner, clock, random, timeLimits } = this.dependencies;
    const [error, committed] = errorOrValue(await keyOwner.acquire(controlKeyOf(operation)));
    if (!error)
      return isInDoubt && committed && isApplied(operation, committed)
        ? Right(resultOf(committed))
        : this.changeAsOwner(operation, MAX_ATTEMPTS, isInDoubt);
    if (rounds <= 1) return Left({ ...error, certainty: isInDoubt ? 'unknown' : 'refused' });
    const pauseRatio = ROUND_PAUSE_MIN_RATIO + ROUND_PAUSE_JITTER_RATIO * random.next();
    await clock.sleep(timeLimits.retryPauseMs * pauseRatio);
    return this.commitByOwner(operation, rounds - 1, isInDoubt);
  }

  private async forwardTo(address: string, operation: Operation): Promise<Result<unknown>> {
    const channel = this.dependencies.channelTo(address);
    return channel
      ? forwardChange(this.dependencies, channel, operation, identityOf(operation))
      : Left(notConnected('change', address));
  }
}

/** Makes the changes of one controller. */
export function makeChangeCoordinator(
  dependencies: ChangeCoordinatorDependencies,
): ChangeCoordinator {
  return new Changes(dependencies).coordinator();
}
