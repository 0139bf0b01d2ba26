import { Left, Right } from 'purify-ts';
import { makeError, errorOrValue, Result } from '../errors/errors';
import { allVoters, isQuorum, Voter, VoterSet } from '../state/voter-set';

function sameDisk(r: { disk?: string } | undefined, v: Voter): boolean {
  return r?.disk === v.disk;
}

/** Asks all voters and comes back as soon as enough said yes, or no longer can; without a test, a yes is the voter's own disk. */
export async function pollVoters<T>(
  voters: VoterSet,
  ask: (v: Voter) => Promise<Result<T>>,
  yes: (r: T, v: Voter) => boolean = sameDisk as never,
): Promise<Result<T[]>> {
  const all = allVoters(voters);
  const good = new Set<string>();
  const not = new Set<string>();
  const got: T[] = [];
  function wait(done: (o: Result<T[]>) => void): void {
    for (const v of all) void one(v);
    async function one(v: Voter): Promise<void> {
      const [f, r] = errorOrValue(await ask(v));
      if (r !== undefined) got.push(r);
      if (!f && yes(r, v)) good.add(v.disk);
      else not.add(v.disk);
      if (isQuorum(voters, good)) return done(Right(got));
      const rest = new Set<string>();
      for (const x of all) if (!not.has(x.disk)) rest.add(x.disk);
      if (!isQuorum(voters, rest))
        done(
          Left(
            makeError('poll', v.at, f ? f.reason : 'said no', 'unknown', f?.code ?? 'no-quorum'),
          ),
        );
    }
  }
  return new Promise(wait);
}
