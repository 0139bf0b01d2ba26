/**
 * Which voter set should come next: a pure function of the voters, of who asks to vote, and of each voter's health.
 */

import { Voter } from '../../shared/state/voter-set';
import { CandidatePool, withSuccessor } from './candidate-pool';
import { ZoneRule, ZoneSpread, ZONES_IGNORED } from './zone-spread';

/**
 * The health of a voter's machine. `here`: connected, with its disk. `away`: not connected for a short time. `lost`:
 * not connected for so long that it may be replaced. `leaving`: it announced that it leaves. `emptied`: connected, with
 * another disk.
 */
export type VoterHealth = 'here' | 'away' | 'lost' | 'leaving' | 'emptied';

type HealthOf = (voter: Voter) => VoterHealth;

/** What a plan may know besides: how voters must be spread over zones, and which have been lost for long. */
export interface PlanOptions {
  zones?: ZoneRule;
  /** Whether a lost voter has been so for longer than a cut of its zone may last. */
  isLostForLong?: (voter: Voter) => boolean;
}

/**
 * The voter set that should come next, or nothing where the current one is right. A machine with another disk takes its
 * own place; other candidates take the places of voters that are lost or leave. The set then grows or shrinks to
 * `targetSize`, in odd numbers. Where zones count, candidates are chosen so that a majority is left outside any zone; if
 * all voters are here and such a set can be come nearer to, one of them gives its place up.
 */
export function planVoterSet(
  current: readonly Voter[],
  candidates: readonly Voter[],
  healthOf: HealthOf,
  targetSize: number,
  options: PlanOptions = {},
): Voter[] | undefined {
  const spread = new ZoneSpread(options.zones ?? ZONES_IGNORED);
  const pool = new CandidatePool(current, candidates, spread);
  const view: PlanView = { current, candidates, healthOf, spread, ...options };
  const replaced = replaceElsewhere(replaceOnSameMachine(current, healthOf, pool), view, pool);
  const grown = grow(replaced, pool, targetSize);
  const planned = shrink(grown, view, targetSize);
  if (!isSameSet(planned, current)) return planned;
  return current.every(isHere) ? spreadFurther(current, pool, spread) : undefined;

  function isHere(voter: Voter): boolean {
    return healthOf(voter) === 'here';
  }
}

/** What the steps of a plan go by. */
interface PlanView {
  current: readonly Voter[];
  candidates: readonly Voter[];
  healthOf: HealthOf;
  spread: ZoneSpread;
  isLostForLong?: (voter: Voter) => boolean;
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
function replaceElsewhere(voters: readonly Voter[], view: PlanView, pool: CandidatePool): Voter[] {
  const { current, healthOf } = view;
  let planned: readonly Voter[] = voters;
  for (const voter of voters) {
    const isDue = isReplaceable(healthOf(voter)) && current.includes(voter);
    if (isDue) planned = replaceOne(planned, voter, view, pool);
  }
  return [...planned];
}

/** Replaces one voter. One that may come back with its zone keeps its place where no candidate keeps the zones apart. */
function replaceOne(
  planned: readonly Voter[],
  voter: Voter,
  view: PlanView,
  pool: CandidatePool,
): readonly Voter[] {
  const { spread } = view;
  const successor = pool.bestInPlaceOf(planned, voter);
  if (!successor) return planned;
  const next = withSuccessor(planned, voter, successor);
  const isWorse = spread.excess(next) > spread.excess(planned);
  if (isWorse && mayReturnWithZone(voter, view)) return planned;
  pool.take(successor);
  return next;
}

/** Whether a voter is unreachable together with all machines of its zone, for no longer than a cut may last. */
function mayReturnWithZone(voter: Voter, view: PlanView): boolean {
  const { current, candidates, healthOf, spread, isLostForLong } = view;
  if (healthOf(voter) !== 'lost' || isLostForLong?.(voter)) return false;
  function isReachable(other: Voter): boolean {
    const health = healthOf(other);
    return health !== 'lost' && health !== 'away' && spread.isSameZone(other, voter);
  }
  function isInZone(candidate: Voter): boolean {
    return spread.isSameZone(candidate, voter);
  }
  return !current.some(isReachable) && !candidates.some(isInZone);
}

/** Adds candidates up to the target size; an odd set stays odd, since an even one tolerates no more losses. */
function grow(voters: readonly Voter[], pool: CandidatePool, targetSize: number): readonly Voter[] {
  const maxAdded = Math.min(targetSize - voters.length, pool.onOtherMachines().length);
  const wouldBeEven = (voters.length + maxAdded) % 2 === 0 && voters.length % 2 === 1;
  const added = maxAdded > 0 && wouldBeEven ? maxAdded - 1 : maxAdded;
  const grown = pool.bestAdditions(voters, added);
  return pool.spread.excess(grown) > pool.spread.excess(voters) ? voters : grown;
}

/** Drops replaceable voters down to the target size, and to no even number. */
function shrink(voters: readonly Voter[], view: PlanView, targetSize: number): Voter[] {
  const { current, healthOf, spread } = view;
  function isDroppable(voter: Voter): boolean {
    return current.includes(voter) && isReplaceable(healthOf(voter));
  }
  const droppableCount = voters.filter(isDroppable).length;
  const maxDropped = Math.min(voters.length - targetSize, droppableCount);
  const wouldBeEven = (voters.length - maxDropped) % 2 === 0;
  const droppedCount = maxDropped > 0 && wouldBeEven ? maxDropped - 1 : maxDropped;
  let kept = [...voters];
  for (let dropped = 0; dropped < droppedCount; dropped++)
    kept = withoutOne(kept, kept.filter(isDroppable), spread);
  return kept;
}

/** The voters without the one of some whose absence leaves the zones furthest apart; the first of equals. */
function withoutOne(
  voters: readonly Voter[],
  droppable: readonly Voter[],
  spread: ZoneSpread,
): Voter[] {
  let best: Voter[] | undefined;
  for (const voter of droppable) {
    const left = voters.filter(isOther);
    if (!best || spread.excess(left) < spread.excess(best)) best = left;
    function isOther(other: Voter): boolean {
      return other !== voter;
    }
  }
  return best ?? [...voters];
}

/** Replaces one voter by a candidate of another zone, where that brings the zones nearer to what is tolerated. */
function spreadFurther(
  current: readonly Voter[],
  pool: CandidatePool,
  spread: ZoneSpread,
): Voter[] | undefined {
  let best = current;
  for (const voter of [...current].reverse())
    for (const candidate of pool.onOtherMachines()) {
      const next = withSuccessor(current, voter, candidate);
      if (spread.excess(next) < spread.excess(best)) best = next;
    }
  return best === current ? undefined : [...best];
}

function isSameSet(first: readonly Voter[], second: readonly Voter[]): boolean {
  function isSameAt(voter: Voter, index: number): boolean {
    return voter === second[index];
  }
  return first.length === second.length && first.every(isSameAt);
}
