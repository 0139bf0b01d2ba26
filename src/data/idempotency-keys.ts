import { Follower } from '../shared/replication/follower';
import { Member } from '../shared/state/members';
import { Voter } from '../shared/state/voter-set';

interface VoteAnswer {
  disk: string;
  run: string;
  state: string;
}

/** What came of asking for the right to run a key. */
export interface KeyAcquisition {
  isAcquired: boolean;
  state: 'running' | 'done' | 'unknown' | 'unreachable';
  voterSet?: string;
}

/** Names the voter set that a key was held under; under another set it must be held anew. */
export function voterSetFingerprint(follower: Follower): string {
  return JSON.stringify(follower.voters() ?? null);
}

/** Asks a majority of the core's disks for a key; only the run that has it may send anything on. */
export async function acquireIdempotencyKey(
  follower: Follower,
  key: string,
  run: string,
): Promise<KeyAcquisition> {
  function yes(r: VoteAnswer, v: Voter): boolean {
    return r.disk === v.disk && r.run === run;
  }
  const set = voterSetFingerprint(follower);
  const { ok, got } = await follower.askVoters<VoteAnswer>('vote', { key, run }, yes);
  if (ok)
    return voterSetFingerprint(follower) === set
      ? { isAcquired: true, state: 'running', voterSet: set }
      : acquireIdempotencyKey(follower, key, run);
  const others = new Map<string, { count: number; state: string }>();
  for (const r of got) {
    if (r.run === run) continue;
    const o = others.get(r.run) ?? { count: 0, state: 'running' };
    o.count++;
    if (r.state !== 'running') o.state = r.state;
    others.set(r.run, o);
  }
  if (others.size === 0) return { isAcquired: false, state: 'unreachable' };
  for (const o of others.values())
    if (o.state !== 'running')
      return { isAcquired: false, state: o.state as KeyAcquisition['state'] };
  for (const other of others.keys())
    if (!follower.members('router').some(made(other)))
      return { isAcquired: false, state: 'unknown' };
  return { isAcquired: false, state: 'running' };
}

/** Tests whether a router that lives now made a run. */
function made(run: string): (m: Member) => boolean {
  function test(m: Member): boolean {
    return run.startsWith(`${m.name}.${m.life}.`);
  }
  return test;
}

/** Tells the disks what became of a run; `released` gives the key back, for a run that certainly never was. */
export function reportRun(
  follower: Follower,
  key: string,
  run: string,
  state: 'done' | 'unknown' | 'released',
): void {
  follower.notifyCore('run', { key, run, state });
}
