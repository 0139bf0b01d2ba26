/**
 * The status of the voters for operators: how far each is, and whether the loss of any one is tolerated now. The field
 * names and values are those of the HTTP interface.
 */

import { errorOrValue, Result } from '../../shared/errors/errors';
import { allVoters, addressOf, isQuorum, Voter, VoterSet } from '../../shared/state/voter-set';
import { Controller } from '../controller-interface';
import { readReplicaProgress } from '../consensus/replica-sync';

/** The state of a voter's machine: connected with its disk, not connected, leaving, or connected with another disk. */
export type VoterState = 'here' | 'away' | 'leaving' | 'emptied';

/** Why the loss of a voter is not tolerated now. */
export type NoLossReason = 'not-founded' | 'joint-set' | 'voter-away' | 'voter-behind' | 'too-few';

/** A voter as a controller sees it. */
export interface VoterStatus {
  at: string;
  disk: string;
  state: VoterState;
  /** Under which epoch it has learned the voter set; undefined where it does not answer. */
  epoch?: number;
  /** How many changes it has not learned that are learned here. */
  behind?: number;
}

/** The voters as a controller sees them. */
export interface VotersStatus {
  voters: VoterStatus[];
  /** Whether any one voter may be lost now, with its disk, and a quorum with all changes is left. */
  bearsLoss: boolean;
  /** Why it may not; `at` is the voter's address. */
  reasons: { reason: NoLossReason; at?: string }[];
  /** The joint set in force, and for how many ms this controller has known of it. */
  joint?: { next: string[]; sinceMs: number };
}

/** Asks the voters how far they are, and tells whether a loss is tolerated. */
export async function readVoterStatus(controller: Controller): Promise<VotersStatus> {
  const known = controller.voters();
  if (!known) return { voters: [], bearsLoss: false, reasons: [{ reason: 'not-founded' }] };
  function readStatus(voter: Voter): Promise<VoterStatus> {
    return readStatusOf(controller, voter);
  }
  const voters = await Promise.all(allVoters(known).map(readStatus));
  const bearsLoss = toleratesAnyLoss(known, voters);
  return {
    voters,
    bearsLoss,
    reasons: bearsLoss ? [] : reasonsForNoLoss(known, voters),
    joint: known.next && {
      next: known.next.map(addressOf),
      sinceMs: controller.jointForMs(),
    },
  };
}

async function readStatusOf(controller: Controller, voter: Voter): Promise<VoterStatus> {
  const { store, timeLimits } = controller;
  function requestVoter(to: Voter, type: string, body: unknown): Promise<Result<unknown>> {
    return controller.requestVoter(to, type, body, timeLimits.requestTimeoutMs);
  }
  const [, progress] = errorOrValue(await readReplicaProgress({ store, requestVoter }, voter));
  return { at: voter.at, disk: voter.disk, state: stateOf(controller, voter), ...progress };
}

function stateOf(controller: Controller, voter: Voter): VoterState {
  if (controller.hasOtherDisk(voter)) return 'emptied';
  if (controller.isLeaving(voter)) return 'leaving';
  return controller.isUp(voter) ? 'here' : 'away';
}

function isUpToDate(voter: VoterStatus): boolean {
  return voter.state === 'here' && voter.behind === 0;
}

/** Whether, whichever voter is lost, those that are up to date without it are a quorum. */
function toleratesAnyLoss(set: VoterSet, voters: readonly VoterStatus[]): boolean {
  const upToDate = voters.filter(isUpToDate);
  function isLossTolerated(lost: VoterStatus): boolean {
    function isLeft(voter: VoterStatus): boolean {
      return voter.disk !== lost.disk;
    }
    return isQuorum(set, new Set(upToDate.filter(isLeft).map(diskOf)));
  }
  return voters.every(isLossTolerated);
}

function reasonsForNoLoss(set: VoterSet, voters: readonly VoterStatus[]): VotersStatus['reasons'] {
  const reasons: VotersStatus['reasons'] = [];
  if (set.next) reasons.push({ reason: 'joint-set' });
  for (const { state, behind, at } of voters) {
    if (state !== 'here') reasons.push({ reason: 'voter-away', at });
    else if (behind !== 0) reasons.push({ reason: 'voter-behind', at });
  }
  return reasons.length > 0 ? reasons : [{ reason: 'too-few' }];
}

function diskOf(voter: VoterStatus): string {
  return voter.disk;
}

/** The status of the voters as rows of the Prometheus text format. */
export function voterMetricRows(status: VotersStatus): string[] {
  const rows = [
    `plumhollow_controller_bears_loss ${status.bearsLoss ? 1 : 0}`,
    `plumhollow_controller_joint_set_ms ${status.joint?.sinceMs ?? 0}`,
  ];
  for (const { at, state, epoch, behind } of status.voters) {
    rows.push(`plumhollow_controller_voter_here{voter="${at}"} ${state === 'here' ? 1 : 0}`);
    if (epoch !== undefined) rows.push(`plumhollow_controller_voter_epoch{voter="${at}"} ${epoch}`);
    if (behind !== undefined)
      rows.push(`plumhollow_controller_voter_behind{voter="${at}"} ${behind}`);
  }
  return rows;
}
