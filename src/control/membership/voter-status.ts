import { errorOrValue } from '../../shared/errors/errors';
import { allVoters, addressOf, isQuorum, Voter, VoterSet } from '../../shared/state/voter-set';
import { Controller } from '../controller-interface';
import { readReplicaProgress } from '../consensus/replica-sync';

/** How a voter's machine stands. */
export type VoterState = 'here' | 'away' | 'leaving' | 'emptied';

/** Why the voters bear no loss now. */
export type NoLossReason = 'not-founded' | 'joint-set' | 'voter-away' | 'voter-behind' | 'too-few';

/** A voter as a controller sees it. */
export interface VoterStatus {
  at: string;
  disk: string;
  state: VoterState;
  /** Under which epoch it has learned the voters; undefined where it does not answer. */
  epoch?: number;
  /** How many changes it has not learned that are learned here. */
  behind?: number;
}

/** The voters as a controller sees them. */
export interface VotersStatus {
  voters: VoterStatus[];
  /** Whether any one voter may be lost now, with its disk, and a majority with all changes is left. */
  bearsLoss: boolean;
  reasons: { reason: NoLossReason; at?: string }[];
  /** The joint set that is under way, and for how long this controller has known of it. */
  joint?: { next: string[]; sinceMs: number };
}

/** Asks the voters how far they are, and tells whether they bear a loss. */
export async function readVoterStatus(c: Controller): Promise<VotersStatus> {
  const v = c.voters();
  if (!v) return { voters: [], bearsLoss: false, reasons: [{ reason: 'not-founded' }] };
  const voters = await Promise.all(allVoters(v).map(statusOf));
  const bearsLoss = bearsAny(v, voters);
  return {
    voters,
    bearsLoss,
    reasons: bearsLoss ? [] : reasonsOf(v, voters),
    joint: v.next && { next: v.next.map(addressOf), sinceMs: c.jointForMs() },
  };

  async function statusOf(x: Voter): Promise<VoterStatus> {
    const [, progress] = errorOrValue(
      await readReplicaProgress({ store: c.store, requestVoter: askVoter }, x),
    );
    return { at: x.at, disk: x.disk, state: stateOf(x), ...progress };
  }

  function askVoter(x: Voter, type: string, body: unknown): ReturnType<Controller['requestVoter']> {
    return c.requestVoter(x, type, body, c.timeLimits.requestTimeoutMs);
  }

  function stateOf(x: Voter): VoterState {
    if (c.hasOtherDisk(x)) return 'emptied';
    if (c.isLeaving(x)) return 'leaving';
    return c.isUp(x) ? 'here' : 'away';
  }
}

function isWhole(x: VoterStatus): boolean {
  return x.state === 'here' && x.behind === 0;
}

function bearsAny(v: VoterSet, voters: readonly VoterStatus[]): boolean {
  const whole = voters.filter(isWhole);
  return voters.every(mayGo);
  function mayGo(lost: VoterStatus): boolean {
    function stays(x: VoterStatus): boolean {
      return x.disk !== lost.disk;
    }
    return isQuorum(v, new Set(whole.filter(stays).map(diskOf)));
  }
}

function reasonsOf(v: VoterSet, voters: readonly VoterStatus[]): VotersStatus['reasons'] {
  const reasons: VotersStatus['reasons'] = [];
  if (v.next) reasons.push({ reason: 'joint-set' });
  for (const { state, behind, at } of voters) {
    if (state !== 'here') reasons.push({ reason: 'voter-away', at });
    else if (behind !== 0) reasons.push({ reason: 'voter-behind', at });
  }
  return reasons.length > 0 ? reasons : [{ reason: 'too-few' }];
}

function diskOf(x: VoterStatus): string {
  return x.disk;
}

/** The voters as rows for collectors. */
export function voterMetricRows(s: VotersStatus): string[] {
  const rows = [
    `plumhollow_controller_bears_loss ${s.bearsLoss ? 1 : 0}`,
    `plumhollow_controller_joint_set_ms ${s.joint?.sinceMs ?? 0}`,
  ];
  for (const { at, state, epoch, behind } of s.voters) {
    rows.push(`plumhollow_controller_voter_here{voter="${at}"} ${state === 'here' ? 1 : 0}`);
    if (epoch !== undefined) rows.push(`plumhollow_controller_voter_epoch{voter="${at}"} ${epoch}`);
    if (behind !== undefined)
      rows.push(`plumhollow_controller_voter_behind{voter="${at}"} ${behind}`);
  }
  return rows;
}
