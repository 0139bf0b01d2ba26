/**
 * The candidates that a plan of the voter set may still give a place to, and which of them suits best.
 */

import { Voter } from '../../shared/state/voter-set';
import { ZoneSpread } from './zone-spread';

/** The voters with one of them replaced. */
export function withSuccessor(
  voters: readonly Voter[],
  replaced: Voter,
  successor: Voter,
): readonly Voter[] {
  function successorOf(voter: Voter): Voter {
    return voter === replaced ? successor : voter;
  }
  return voters.map(successorOf);
}

/** The candidates that were not given a place yet, the longest waiting first. */
export class CandidatePool {
  private readonly spare: Voter[];
  private readonly voterAddresses = new Set<string>();

  constructor(
    current: readonly Voter[],
    candidates: readonly Voter[],
    readonly spread: ZoneSpread,
  ) {
    this.spare = [...candidates];
    for (const voter of current) this.voterAddresses.add(voter.at);
  }

  /** Takes the first candidate at an address. */
  takeAt(address: string): Voter | undefined {
    function isAtAddress(candidate: Voter): boolean {
      return candidate.at === address;
    }
    const candidate = this.spare.find(isAtAddress);
    return candidate && this.take(candidate);
  }

  /** Takes a candidate. */
  take(candidate: Voter): Voter {
    this.spare.splice(this.spare.indexOf(candidate), 1);
    return candidate;
  }

  /** The candidates on machines of no voter: one on a voter's machine waits for its own place. */
  onOtherMachines(): Voter[] {
    const { voterAddresses } = this;
    function isOnOtherMachine(candidate: Voter): boolean {
      return !voterAddresses.has(candidate.at);
    }
    return this.spare.filter(isOnOtherMachine);
  }

  /** The candidate that leaves the zones furthest apart in the place of a voter; of equals one of its zone, then the first. */
  bestInPlaceOf(voters: readonly Voter[], replaced: Voter): Voter | undefined {
    let best: { candidate: Voter; excess: number; isSameZone: boolean } | undefined;
    for (const candidate of this.onOtherMachines()) {
      const excess = this.spread.excess(withSuccessor(voters, replaced, candidate));
      const isSameZone = this.spread.isSameZone(candidate, replaced);
      const isBetter =
        !best || excess < best.excess || (excess === best.excess && isSameZone && !best.isSameZone);
      if (isBetter) best = { candidate, excess, isSameZone };
    }
    return best?.candidate;
  }

  /** The voters with so many candidates more, each of them the one that leaves the zones furthest apart. */
  bestAdditions(voters: readonly Voter[], count: number): readonly Voter[] {
    let grown = voters;
    const left = this.onOtherMachines();
    for (let added = 0; added < count; added++) {
      let best = left[0];
      for (const candidate of left)
        if (this.spread.excess([...grown, candidate]) < this.spread.excess([...grown, best]))
          best = candidate;
      left.splice(left.indexOf(best), 1);
      grown = [...grown, best];
    }
    return grown;
  }
}
