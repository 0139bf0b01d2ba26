/**
 * Idempotency keys: a majority of the core's disks votes for the one run of a key that may send anything to an engine.
 */

import { Follower } from '../shared/replication/follower';
import { Member } from '../shared/state/members';
import { Voter } from '../shared/state/voter-set';

/** One disk's reply to the message 'vote': the run that has the key there, and what became of it. */
interface VoteReply {
  disk: string;
  run: string;
  state: string;
}

/** What became of the run that has a key; `unreachable` where no other run is known and no majority replied. */
export type KeyState = 'running' | 'done' | 'unknown' | 'unreachable';

/** What came of asking for a key. */
export interface KeyAcquisition {
  isAcquired: boolean;
  state: KeyState;
  /** The fingerprint of the voter set under which it was acquired. */
  voterSet?: string;
}

/** Replies by the run that they name: the last state other than running. */
function statesByRun(replies: readonly VoteReply[], ownRun: string): Map<string, string> {
  const states = new Map<string, string>();
  for (const { run, state } of replies) {
    if (run === ownRun) continue;
    if (state !== 'running' || !states.has(run)) states.set(run, state);
  }
  return states;
}

/** Whether a router that is live now began a run. */
function isOfLiveRouter(follower: Follower, run: string): boolean {
  function began({ name, life }: Member): boolean {
    return run.startsWith(`${name}.${life}.`);
  }
  return follower.members('router').some(began);
}

/** What other runs mean for one that did not get the key. */
function stateOfOthers(follower: Follower, states: ReadonlyMap<string, string>): KeyState {
  if (states.size === 0) return 'unreachable';
  for (const state of states.values()) if (state !== 'running') return state as KeyState;
  for (const run of states.keys()) if (!isOfLiveRouter(follower, run)) return 'unknown';
  return 'running';
}

/** Names the voter set under which a key is acquired; under another set it must be acquired anew. */
export function voterSetFingerprint(follower: Follower): string {
  return JSON.stringify(follower.voters() ?? null);
}

/** Asks a majority of the core's disks for a key; only the run that has it may send anything to an engine. */
export async function acquireIdempotencyKey(
  follower: Follower,
  key: string,
  run: string,
): Promise<KeyAcquisition> {
  function isForRun(reply: VoteReply, voter: Voter): boolean {
    return reply.disk === voter.disk && reply.run === run;
  }
  const voterSet = voterSetFingerprint(follower);
  const { ok, got } = await follower.askVoters<VoteReply>('vote', { key, run }, isForRun);
  if (!ok) return { isAcquired: false, state: stateOfOthers(follower, statesByRun(got, run)) };
  return voterSetFingerprint(follower) === voterSet
    ? { isAcquired: true, state: 'running', voterSet }
    : acquireIdempotencyKey(follower, key, run);
}

/** Reports to the disks what became of a run; `released` gives the key back, for a run that certainly never was. */
export function reportRun(
  follower: Follower,
  key: string,
  run: string,
  state: 'done' | 'unknown' | 'released',
): void {
  follower.notifyCore('run', { key, run, state });
}
