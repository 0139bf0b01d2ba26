/**
 * Ownership of control keys: the owner of a key is the process whose epoch a majority promised last, and it alone
 * changes the key until another takes it over.
 */

import { isDeepStrictEqual } from 'node:util';
import { Left, Right } from 'purify-ts';
import { errorOrValue, OperationError, Result } from '../../shared/errors/errors';
import { VersionedValue } from '../../shared/state/versions';
import { ControlStore } from '../storage/control-store';
import { hasNewerAccepted } from './accepted-versions';
import { KeyQueue } from './key-queue';
import { Proposer } from './proposer';
import { VoterTransport } from './voter-transport';

/** Computes the next value of a key from the current one, or an error that leaves the key as it is. */
export type ComputeValue = (current: VersionedValue | undefined) => Result<unknown>;

/** The owner's side of the control keys. The calls for one key are carried out one after another. */
export interface KeyOwner {
  /**
   * Commits the value that `computeValue` gives for the current one, after the key was acquired where it was not owned. An
   * attempt that failed is made again, up to `maxAttempts` in all, if it certainly was not committed. Errors: what
   * `computeValue` gives, confirmed to be by the newest value; certainty `refused` where the key can't be acquired;
   * `unknown` where the value may be committed.
   */
  change: (
    key: string,
    computeValue: ComputeValue,
    maxAttempts?: number,
  ) => Promise<Result<VersionedValue>>;
  /** Acquires a key unless it is owned, and gives its current value. */
  acquire: (key: string) => Promise<Result<VersionedValue | undefined>>;
  /** Acquires a key under a higher epoch, also where it is owned, and gives its current value, committed anew. */
  reacquire: (key: string) => Promise<Result<VersionedValue | undefined>>;
  /** Whether this process has acquired a key and knows of no later owner. */
  owns: (key: string) => boolean;
  /** All keys that this process owns. */
  ownedKeys: () => string[];
  /** Gives a key up; the voters are not notified. */
  release: (key: string) => void;
  /** Notes that another process owns a key under an epoch. */
  noteNewerEpoch: (key: string, epoch: number) => void;
}

/** A key that is owned: under which epoch, and its newest committed value. */
interface Ownership {
  readonly epoch: number;
  current?: VersionedValue;
}

/** A change as it was asked for. */
interface ChangeRequest {
  readonly key: string;
  readonly computeValue: ComputeValue;
}

/** A value that was proposed, and the error after which it may be committed or not. */
interface UncertainProposal {
  readonly number: number;
  readonly value: unknown;
  readonly error: OperationError;
}

/** What became of a proposal of uncertain outcome, by the value that its key has once it is acquired anew. */
type ProposalOutcome = 'committed' | 'not-committed' | 'superseded';

function outcomeOf(
  proposal: UncertainProposal,
  current: VersionedValue | undefined,
): ProposalOutcome {
  const currentNumber = current?.number ?? 0;
  if (currentNumber < proposal.number) return 'not-committed';
  const isSame =
    currentNumber === proposal.number && isDeepStrictEqual(current?.value, proposal.value);
  return isSame ? 'committed' : 'superseded';
}

function currentOf(ownership: Ownership): VersionedValue | undefined {
  return ownership.current;
}

/** Owns keys by consensus: it acquires them by a prepare, and commits their values one after another. */
class ConsensusKeyOwner implements KeyOwner {
  private readonly ownerships = new Map<string, Ownership>();
  private readonly queue = new KeyQueue();
  /** Reacquisitions that are queued and have not begun, by key. */
  private readonly queuedReacquisitions = new Map<
    string,
    Promise<Result<VersionedValue | undefined>>
  >();

  constructor(
    private readonly proposer: Proposer,
    private readonly ownerId: string,
  ) {}

  change(
    key: string,
    computeValue: ComputeValue,
    maxAttempts = 1,
  ): Promise<Result<VersionedValue>> {
    const attempt = this.attemptChange.bind(this, { key, computeValue }, maxAttempts);
    return this.queue.run(key, attempt);
  }

  acquire(key: string): Promise<Result<VersionedValue | undefined>> {
    return this.queue.run(key, this.acquireCurrent.bind(this, key));
  }

  /** Callers that come before a queued reacquisition begins share it: what it then finds is not older than their calls. */
  reacquire(key: string): Promise<Result<VersionedValue | undefined>> {
    const queued = this.queuedReacquisitions.get(key);
    if (queued) return queued;
    const reacquisition = this.queue.run(key, this.reacquireCurrent.bind(this, key));
    this.queuedReacquisitions.set(key, reacquisition);
    return reacquisition;
  }

  owns(key: string): boolean {
    return this.ownerships.has(key);
  }

  ownedKeys(): string[] {
    return [...this.ownerships.keys()];
  }

  release(key: string): void {
    this.ownerships.delete(key);
  }

  noteNewerEpoch(key: string, epoch: number): void {
    this.proposer.noteEpoch(key, epoch);
    const ownership = this.ownerships.get(key);
    if (ownership && ownership.epoch <= epoch) this.release(key);
  }

  private async acquireCurrent(key: string): Promise<Result<VersionedValue | undefined>> {
    return (await this.ensureOwnership(key)).map(currentOf);
  }

  private async reacquireCurrent(key: string): Promise<Result<VersionedValue | undefined>> {
    this.queuedReacquisitions.delete(key);
    this.release(key);
    return (await this.ensureOwnership(key)).map(currentOf);
  }

  private async ensureOwnership(key: string): Promise<Result<Ownership>> {
    const known = this.ownerships.get(key);
    if (known) return Right(known);
    const [error, acquired] = errorOrValue(await this.acquireOwnership(key));
    return error ? Left({ ...error, step: `own ${key}` }) : Right(acquired);
  }

  /** Has a higher epoch promised, and commits anew under it what was accepted before. */
  private async acquireOwnership(key: string): Promise<Result<Ownership>> {
    const [prepareError, prepared] = errorOrValue(await this.proposer.prepare(key));
    if (prepareError) return Left(prepareError);
    const { epoch, accepted } = prepared;
    const ownership: Ownership = { epoch };
    if (accepted) {
      const { number, value } = accepted;
      const [commitError, committed] = errorOrValue(await this.commit(key, epoch, number, value));
      if (commitError) return Left(commitError);
      ownership.current = committed;
    }
    this.ownerships.set(key, ownership);
    return Right(ownership);
  }

  /** Commits a value; after an error another may own the key, so it is owned no more. */
  private async commit(
    key: string,
    epoch: number,
    number: number,
    value: unknown,
  ): Promise<Result<VersionedValue>> {
    const change: VersionedValue = { key, epoch, by: this.ownerId, number, value };
    const committed = await this.proposer.commit(change);
    if (committed.isLeft()) this.release(key);
    return committed;
  }

  private async attemptChange(
    request: ChangeRequest,
    attemptsLeft: number,
  ): Promise<Result<VersionedValue>> {
    const { key } = request;
    const wasOwned = this.owns(key);
    const [acquireError, ownership] = errorOrValue(await this.ensureOwnership(key));
    if (acquireError) return Left({ ...acquireError, certainty: 'refused' });
    const [rejection, value] = errorOrValue(request.computeValue(ownership.current));
    if (rejection) {
      // What was acquired just now is the newest value.
      if (!wasOwned || (await this.isNewest(key, ownership))) return Left(rejection);
      this.release(key);
      return this.attemptChange(request, attemptsLeft);
    }
    const number = (ownership.current?.number ?? 0) + 1;
    const [error, committed] = errorOrValue(await this.commit(key, ownership.epoch, number, value));
    if (error) return this.resolveUncertain(request, { number, value, error }, attemptsLeft);
    ownership.current = committed;
    return Right(committed);
  }

  /**
   * Whether no disk of a majority has accepted anything later. An error that leaves the key as it is counts only by what a
   * majority has accepted now. A read confirms that, since reacquiring the key would cost a majority a write each.
   */
  private async isNewest(key: string, ownership: Ownership): Promise<boolean> {
    const [error, versions] = errorOrValue(await this.proposer.acceptedVersions(key));
    return !error && !hasNewerAccepted(versions, ownership.current);
  }

  /**
   * Finds out by acquiring the key anew what became of a proposal, and attempts the change again where it was not
   * committed.
   */
  private async resolveUncertain(
    request: ChangeRequest,
    proposal: UncertainProposal,
    attemptsLeft: number,
  ): Promise<Result<VersionedValue>> {
    if (attemptsLeft <= 1) return Left(proposal.error);
    const [error, ownership] = errorOrValue(await this.ensureOwnership(request.key));
    if (error) return Left(proposal.error);
    const { current } = ownership;
    switch (outcomeOf(proposal, current)) {
      case 'committed':
        return Right(current!);
      case 'not-committed':
        return this.attemptChange(request, attemptsLeft - 1);
      case 'superseded':
        return Left(proposal.error);
    }
  }
}

/** Makes the owner's side of the control keys; its methods may be passed on alone. */
export function makeKeyOwner(store: ControlStore, transport: VoterTransport): KeyOwner {
  const owner = new ConsensusKeyOwner(new Proposer(store, transport), transport.ownerId);
  return {
    change: owner.change.bind(owner),
    acquire: owner.acquire.bind(owner),
    reacquire: owner.reacquire.bind(owner),
    owns: owner.owns.bind(owner),
    ownedKeys: owner.ownedKeys.bind(owner),
    release: owner.release.bind(owner),
    noteNewerEpoch: owner.noteNewerEpoch.bind(owner),
  };
}
