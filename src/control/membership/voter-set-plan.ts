/**
 * Which voter set should stand next: a pure function of the voters, of who asks to vote, and of each voter's health.
 */

import { Voter } from '../../shared/state/voter-set';

/** How a voter's machine stands: there with its disk, away, away for good while, leaving by its own word, or there with another disk. */
export type VoterHealth = 'here' | 'away' | 'lost' | 'leaving' | 'emptied';

/** The voter set that should stand next, or nothing where the one that stands is right: a machine with another disk takes its own place at once; others take the places of those that are lost or leave; up to `target`, in odd numbers. */
export function planVoterSet(
  now: readonly Voter[],
  joiners: readonly Voter[],
  standing: (v: Voter) => VoterHealth,
  target: number,
): Voter[] | undefined {
  const spare = [...joiners];
  let changed = false;
  function take(test: (x: Voter) => boolean): Voter | undefined {
    const i = spare.findIndex(test);
    return i < 0 ? undefined : spare.splice(i, 1)[0];
  }
  /** Whether a joiner is no voter's machine: one that is waits for its own place. */
  function isElsewhere(x: Voter): boolean {
    function isItsMachine(v: Voter): boolean {
      return v.at === x.at;
    }
    return !now.some(isItsMachine);
  }
  function sameMachine(v: Voter): Voter {
    function isAt(x: Voter): boolean {
      return x.at === v.at;
    }
    const s = standing(v);
    const into = s === 'here' || s === 'away' ? undefined : take(isAt);
    changed ||= into !== undefined;
    return into ?? v;
  }
  function anyMachine(v: Voter): Voter {
    const s = standing(v);
    const into = !now.includes(v) || s === 'here' || s === 'away' ? undefined : take(isElsewhere);
    changed ||= into !== undefined;
    return into ?? v;
  }
  let set = now.map(sameMachine).map(anyMachine);
  const additional = spare.filter(isElsewhere);
  const room = Math.min(target - set.length, additional.length);
  const more = room > 0 && (set.length + room) % 2 === 0 && set.length % 2 === 1 ? room - 1 : room;
  if (more > 0) {
    set = [...set, ...additional.slice(0, more)];
    changed = true;
  }
  const gone = set.filter(isGone);
  function isGone(v: Voter): boolean {
    return now.includes(v) && standing(v) !== 'here' && standing(v) !== 'away';
  }
  const most = Math.min(set.length - target, gone.length);
  const fewer = most > 0 && (set.length - most) % 2 === 0 ? most - 1 : most;
  if (fewer > 0) {
    const out = gone.slice(0, fewer);
    function stays(v: Voter): boolean {
      return !out.includes(v);
    }
    set = set.filter(stays);
    changed = true;
  }
  return changed ? set : undefined;
}
