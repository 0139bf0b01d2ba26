/**
 * Changes of the voter set by joint consensus: the set in force and the next one vote together until the new voters
 * have all that the old ones hold. (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014,
 * section 6, describes joint consensus for a log; here it is applied to registers by key.)
 */

import { Left, Right } from 'purify-ts';
import { failure, errorOrValue, Result } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { requestOnce } from '../../shared/transport/peer-channel';
import { Voter, VoterSet } from '../../shared/state/voter-set';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Version } from '../../shared/state/versions';
import { Controller } from '../controller-interface';
import { IdentifyReply } from './identify-reply';
import { endJointSet, JointSetCompletion, ReconfigurationController } from './joint-set-completion';
import { makeReconfigurationProgress } from './reconfiguration-progress';

/** The steps that errors of a reconfiguration tell; they cross the wire. */
const REPLACE_STEP = 'replace voter';
const CHANGE_STEP = 'move voters';

/**
 * Replaces a lost voter, named by its address or disk, by the blank controller at an address; safe to repeat until it
 * succeeds.
 */
export async function replaceVoter(
  controller: Controller,
  ports: Ports,
  lost: string,
  replacementAddress: string,
): Promise<Result<VoterSet>> {
  const { name, hello, timeLimits } = controller;
  const committed = controller.committedValue<VoterSet>(CONTROL_KEYS.voters);
  if (!committed) return notBootstrapped(REPLACE_STEP, name);
  const [identifyError, reply] = errorOrValue(
    await requestOnce(ports, hello, [], replacementAddress, 'who', {}, timeLimits.requestTimeoutMs),
  );
  if (identifyError) return Left({ ...identifyError, certainty: 'refused' });
  const replacement: Voter = { disk: (reply as IdentifyReply).disk, at: replacementAddress };
  const [error, next] = errorOrValue(planReplacement(committed.value, lost, replacement));
  if (error) return Left(error);
  return next ? changeVoterSet(controller, ports, next) : Right(committed.value);
}

/** The voters after a replacement; undefined where it is done already. */
function planReplacement(
  current: VoterSet,
  lost: string,
  replacement: Voter,
): Result<Voter[] | undefined> {
  function isReplacement(voter: Voter): boolean {
    return voter.disk === replacement.disk;
  }
  function isLost(voter: Voter): boolean {
    return voter.at === lost || voter.disk === lost;
  }
  function stays(voter: Voter): boolean {
    return !isLost(voter);
  }
  const hasReplacement = current.now.some(isReplacement);
  const hasLost = current.now.some(isLost);
  if (!current.next && hasReplacement && !hasLost) return Right(undefined);
  if (!hasLost) return failure(REPLACE_STEP, lost, 'is no voter', 'refused', 'no-voter');
  if (hasReplacement)
    return failure(REPLACE_STEP, replacement.at, 'is a voter already', 'refused', 'conflict');
  return Right([...current.now.filter(stays), replacement]);
}

/**
 * Changes the voter set through a joint set; safe to repeat, and to be continued by another controller. Where
 * `isOverdue` says so, a new voter that replaces a lost disk is not waited for any longer.
 */
export async function changeVoterSet(
  controller: ReconfigurationController,
  ports: Ports,
  next: Voter[],
  isOverdue: () => boolean = isNever,
  progress = makeReconfigurationProgress(),
): Promise<Result<VoterSet>> {
  const committed = controller.committedValue<VoterSet>(CONTROL_KEYS.voters);
  if (!committed) return notBootstrapped(CHANGE_STEP, controller.name);
  const { place, value: current } = committed;
  if (current.next && !hasSameVoters(current.next, next)) {
    const reason = 'another change of the voters is under way';
    return failure(CHANGE_STEP, controller.name, reason, 'refused', 'conflict');
  }
  if (current.next) return complete(place);
  const joint: VoterSet = { now: current.now, next };
  const [error, changed] = errorOrValue(
    await controller.change({ kind: 'voters', voters: joint, basedOn: place.number }),
  );
  return error ? Left(error) : complete(changed.place);

  function complete(version: Version): Promise<Result<VoterSet>> {
    return new JointSetCompletion(controller, ports, version, isOverdue, progress).run();
  }
}

/** Ends a joint set by going back to the old one: all that was committed meanwhile has its quorum, too. */
export async function revertVoterSet(
  controller: ReconfigurationController,
  joint: { place: Version; value: VoterSet },
): Promise<Result<VoterSet>> {
  return endJointSet(controller, joint.place.number, joint.value.now);
}

function isNever(): boolean {
  return false;
}

function notBootstrapped(step: string, name: string): Result<VoterSet> {
  return failure(step, name, 'the fleet is not founded', 'refused', 'not-founded');
}

function hasSameVoters(first: readonly Voter[], second: readonly Voter[]): boolean {
  return sortedIdentities(first) === sortedIdentities(second);
}

function sortedIdentities(voters: readonly Voter[]): string {
  return JSON.stringify(voters.map(identityOf).sort());
}

function identityOf(voter: Voter): string {
  return `${voter.disk} ${voter.at}`;
}
