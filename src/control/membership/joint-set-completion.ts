/**
 * The completion of a joint voter set: the new voters get what the old ones hold, and the new set is committed alone.
 */

import { Left, Right } from 'purify-ts';
import { failure, OperationError, errorOrValue, Result } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { isVoter, Voter, VoterSet } from '../../shared/state/voter-set';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Version } from '../../shared/state/versions';
import { pollEffect } from '../configuration/change-effects';
import { syncReplicas } from '../consensus/replica-sync';
import { Controller } from '../controller-interface';
import { collectQuorumState, copyVotes, recommitKeys } from './quorum-state';
import { ReconfigurationProgress, resumeProgress } from './reconfiguration-progress';
import { makeStepTimes, StepTimes } from './step-times';

/** The code of an error that tells that a new voter's disk takes no writes; it crosses the wire. */
export const NEW_VOTER_UNWRITABLE = 'newcomer-unfit';

/** How often it is looked whether the joint set was learned here; the n-th pause is n times the first. */
const MAX_LEARNED_CHECKS = 20;

/** The first pause between these checks, as a ratio of the lease renewal. */
const LEARNED_CHECK_PAUSE_RATIO = 0.1;

/** What a reconfiguration needs of its controller. */
export type ReconfigurationController = Pick<
  Controller,
  | 'name'
  | 'timeLimits'
  | 'store'
  | 'committedValue'
  | 'change'
  | 'recommit'
  | 'requestVoter'
  | 'hasOtherDisk'
>;

/** A joint set: the old voters and the next ones. */
interface JointSet {
  now: Voter[];
  next: Voter[];
}

/** Commits a voter set in the place of the joint one that has a version number. */
export async function endJointSet(
  controller: ReconfigurationController,
  number: number,
  now: Voter[],
): Promise<Result<VoterSet>> {
  const [error] = errorOrValue(
    await controller.change({ kind: 'voters', voters: { now }, basedOn: number }),
  );
  return error ? Left(error) : Right({ now });
}

/**
 * Completes one joint set. The new disks get all that the old set holds: the votes first, then every key is committed
 * under both quorums, and each key that is committed by then is replicated to each new disk, by that disk's own
 * acknowledgement. Then the new set is committed alone. A new disk that replaces one that is gone for good is not
 * waited for once it is overdue: a quorum of the new set has everything by then, and the old set would tolerate no
 * further loss.
 */
export class JointSetCompletion {
  private readonly stepTimes: StepTimes;

  constructor(
    private readonly controller: ReconfigurationController,
    private readonly ports: Ports,
    /** The version of the joint set. */
    private readonly version: Version,
    private readonly isOverdue: () => boolean,
    private readonly progress: ReconfigurationProgress,
  ) {
    this.stepTimes = makeStepTimes(ports.clock);
  }

  /** Takes the steps that are left, and logs how long each took. */
  async run(): Promise<Result<VoterSet>> {
    resumeProgress(this.progress, this.version.number);
    const completed = await this.takeSteps();
    const [error] = errorOrValue(completed);
    this.logOutcome(error);
    return completed;
  }

  /** Takes the steps one after the other; each is safe to repeat. */
  private async takeSteps(): Promise<Result<VoterSet>> {
    const { controller, progress, stepTimes, version } = this;
    const [unknownError, joint] = errorOrValue(await this.awaitLearned());
    if (unknownError) return Left(unknownError);
    const newVoters = newVotersOf(joint.now, joint.next);
    const isRepair = this.isRepair(joint);
    if (!isRepair && !progress.isInEffect) {
      const polling = this.pollEffect(joint.now);
      const [effectError] = errorOrValue(await stepTimes.timed('effectMs', polling));
      if (effectError) return Left({ ...effectError, step: 'tell the joint set' });
      progress.isInEffect = true;
    }
    const collecting = collectQuorumState(controller, joint.now, version);
    const [collectError, state] = errorOrValue(await stepTimes.timed('collectMs', collecting));
    if (collectError) return Left({ ...collectError, step: 'gather from the old set' });
    for (const voter of newVoters) {
      const copying = copyVotes(controller, voter, state.votes);
      const [copyError] = errorOrValue(await stepTimes.timed('copyVotesMs', copying));
      if (copyError) return Left(asNewVoterError(copyError));
    }
    const recommitting = recommitKeys(controller, [...state.keys], progress.recommittedKeys);
    const [recommitError] = errorOrValue(await stepTimes.timed('recommitMs', recommitting));
    if (recommitError) return Left(recommitError);
    const syncing = this.syncNewVoters(newVoters);
    const [syncError] = errorOrValue(await stepTimes.timed('syncMs', syncing));
    if (syncError && !(this.isOverdue() && isRepair)) return Left(asNewVoterError(syncError));
    if (syncError) this.logCountedEarly(syncError);
    return endJointSet(controller, version.number, joint.next);
  }

  /** Waits until the joint set is learned here; refused where another change came first. */
  private async awaitLearned(): Promise<Result<JointSet>> {
    const { name, timeLimits } = this.controller;
    for (let check = 0; this.learnedNumber() < this.version.number; check++) {
      if (check > MAX_LEARNED_CHECKS)
        return failure(
          'move voters',
          name,
          'the joint set is not known here yet',
          'unknown',
          'pending',
        );
      const pauseMs = timeLimits.leaseRenewalMs * LEARNED_CHECK_PAUSE_RATIO * (check + 1);
      await this.ports.clock.sleep(pauseMs);
    }
    const learned = this.controller.committedValue<VoterSet>(CONTROL_KEYS.voters)!;
    const { now, next } = learned.value;
    if (learned.place.number !== this.version.number || !next)
      return failure('move voters', name, 'another change came first', 'refused', 'conflict');
    return Right({ now, next });
  }

  private learnedNumber(): number {
    return this.controller.committedValue(CONTROL_KEYS.voters)?.place.number ?? 0;
  }

  /** Whether each voter that goes has lost its disk, and is replaced. */
  private isRepair({ now, next }: JointSet): boolean {
    function leaves(voter: Voter): boolean {
      return !isVoter({ now: next }, voter.disk);
    }
    return now.length === next.length && now.filter(leaves).every(this.controller.hasOtherDisk);
  }

  /** Resolves when no router goes by the old set alone; a repair need not wait, since a lost disk votes no more. */
  private pollEffect(now: Voter[]): Promise<Result<unknown[]>> {
    const { requestVoter, timeLimits } = this.controller;
    const { effectTimeoutMs } = timeLimits;
    return pollEffect(requestVoter, { now }, CONTROL_KEYS.voters, this.version, effectTimeoutMs);
  }

  private syncNewVoters(newVoters: readonly Voter[]): Promise<Result<void>> {
    const { store, requestVoter, timeLimits } = this.controller;
    function request(voter: Voter, type: string, body: unknown): Promise<Result<unknown>> {
      return requestVoter(voter, type, body, timeLimits.requestTimeoutMs);
    }
    return syncReplicas({ store, requestVoter: request }, newVoters);
  }

  private logCountedEarly(error: OperationError): void {
    this.ports.logger.notice(
      { event: 'voters.new-voter-counted-early', step: error.step, peer: error.peer },
      `counts as a voter before it is up to date: ${error.reason}`,
    );
  }

  private logOutcome(error: OperationError | undefined): void {
    const event = error ? 'voters.joint-set-interrupted' : 'voters.joint-set-completed';
    const { number } = this.version;
    const fields = { event, peer: this.controller.name, number, ...this.stepTimes.took() };
    const text = error
      ? `the joint voter set is not completed at ${error.step} ${error.peer}: ${error.reason}`
      : 'the joint voter set is completed';
    this.ports.logger.notice(fields, text);
  }
}

/** Those of the next voters that do not vote now. */
export function newVotersOf(now: readonly Voter[], next: readonly Voter[]): Voter[] {
  function isNew(voter: Voter): boolean {
    return !isVoter({ now: [...now] }, voter.disk);
  }
  return next.filter(isNew);
}

function asNewVoterError(error: OperationError): OperationError {
  return error.code === 'disk' ? { ...error, code: NEW_VOTER_UNWRITABLE } : error;
}
