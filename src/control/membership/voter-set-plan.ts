/**
 * Which voter set should come next: a pure function of the voters, of who asks to vote, and of each voter's health.
 */

import { Voter } from '../../shared/state/voter-set';

/**
 * The health of a voter's machine. `here`: connected, with its disk. `away`: not connected for a short time. `lost`:
 * not connected for so long that it may be replaced. `leaving`: it announced that it leaves. `emptied`: connected, with
 * another disk.
 */
export type VoterHealth = 'here' | 'away' | 'lost' | 'leaving' | 'emptied';

type HealthOf = (voter: Voter) => VoterHealth;

/**
 * The voter set that should come next, or nothing where the current one is right. A machine with another disk takes its
 * own place; other candidates take the places of voters that are lost or leave. The set then grows or shrinks to
 * `targetSize`, in odd numbers.
 */
export function planVoterSet(
  current: readonly Voter[],
  candidates: readonly Voter[],
  healthOf: HealthOf,
  targetSize: number,
): Voter[] | undefined {
  const pool = new CandidatePool(current, candidates);
  const replaced = replaceElsewhere(
    replaceOnSameMachine(current, healthOf, pool),
    current,
    healthOf,
    pool,
  );
  const grown = grow(replaced, pool.onOtherMachines(), targetSize);
  const planned = shrink(grown, current, healthOf, targetSize);
  return isSameSet(planned, current) ? undefined : planned;
}

/** The candidates that were not given a place yet. */
class CandidatePool {
  private readonly spare: Voter[];
  private readonly voterAddresses = new Set<string>();

  constructor(current: readonly Voter[], candidates: readonly Voter[]) {
    this.spare = [...candidates];
    for (const voter of current) this.voterAddresses.add(voter.at);
  }

  /** Takes the first candidate at an address. */
  takeAt(address: string): Voter | undefined {
    function isAtAddress(candidate: Voter): boolean {
      return candidate.at === address;
    }
    return this.take(this.spare.findIndex(isAtAddress));
  }

  /** Takes the first candidate on a machine of no voter: one on a voter's machine waits for its own place. */
  takeOnOtherMachine(): Voter | undefined {
    const [first] = this.onOtherMachines();
    return first && this.take(this.spare.indexOf(first));
  }

  /** The candidates on machines of no voter. */
  onOtherMachines(): Voter[] {
    const { voterAddresses } = this;
    function isOnOtherMachine(candidate: Voter): boolean {
      return !voterAddresses.has(candidate.at);
    }
    return this.spare.filter(isOnOtherMachine);
  }

  private take(index: number): Voter | undefined {
    return index < 0 ? undefined : this.spare.splice(index, 1)[0];
  }
}

/** Whether a voter with this health may be replaced or dropped. */
function isReplaceable(health: VoterHealth): boolean {
  return health !== 'here' && health !== 'away';
}

/** Replaces voters by candidates at their own addresses: their machines are there with other disks. */
function replaceOnSameMachine(
  voters: readonly Voter[],
  healthOf: HealthOf,
  pool: CandidatePool,
): Voter[] {
  function successorOf(voter: Voter): Voter {
    const successor = isReplaceable(healthOf(voter)) ? pool.takeAt(voter.at) : undefined;
    return successor ?? voter;
  }
  return voters.map(successorOf);
}

/** Replaces those of the current voters that are still in the set by candidates on other machines. */
function replaceElsewhere(
  voters: readonly Voter[],
  current: readonly Voter[],
  healthOf: HealthOf,
  pool: CandidatePool,
): Voter[] {
  function successorOf(voter: Voter): Voter {
    const isDue = isReplaceable(healthOf(voter)) && current.includes(voter);
    return (isDue ? pool.takeOnOtherMachine() : undefined) ?? voter;
  }
  return voters.map(successorOf);
}

/** Adds candidates up to the target size; an odd set stays odd, since an even one tolerates no more losses. */
function grow(
  voters: readonly Voter[],
  candidates: readonly Voter[],
  targetSize: number,
): readonly Voter[] {
  const maxAdded = Math.min(targetSize - voters.length, candidates.length);
  const wouldBeEven = (voters.length + maxAdded) % 2 === 0 && voters.length % 2 === 1;
  const added = maxAdded > 0 && wouldBeEven ? maxAdded - 1 : maxAdded;
  return added > 0 ? [...voters, ...candidates.slice(0, added)] : voters;
}

/** Drops replaceable voters down to the target size, and to no even number. */
function shrink(
  voters: readonly Voter[],
  current: readonly Voter[],
  healthOf: HealthOf,
  targetSize: number,
): Voter[] {
  function isDroppable(voter: Voter): boolean {
    return current.includes(voter) && isReplaceable(healthOf(voter));
  }
  const droppable = voters.filter(isDroppable);
  const maxDropped = Math.min(voters.length - targetSize, droppable.length);
  const wouldBeEven = (voters.length - maxDropped) % 2 === 0;
  const droppedCount = maxDropped > 0 && wouldBeEven ? maxDropped - 1 : maxDropped;
  const dropped = droppable.slice(0, Math.max(0, droppedCount));
  function stays(voter: Voter): boolean {
    return !dropped.includes(voter);
  }
  return voters.filter(stays);
}

function isSameSet(first: readonly Voter[], second: readonly Voter[]): boolean {
  function isSameAt(voter: Voter, index: number): boolean {
    return voter === second[index];
  }
  return first.length === second.length && first.every(isSameAt);
}
