import { Left, Right } from 'purify-ts';
import { makeFault, open, Outcome } from '../errors/errors';
import { allVoters, isQuorum, Voter, Voters } from '../state/words';

function sameDisk(r: { disk?: string } | undefined, v: Voter): boolean {
  return r?.disk === v.disk;
}

/** Asks all voters and comes back as soon as enough said yes, or no longer can; without a test, a yes is the voter's own disk. */
export async function poll<T>(
  voters: Voters,
  ask: (v: Voter) => Promise<Outcome<T>>,
  yes: (r: T, v: Voter) => boolean = sameDisk as never,
): Promise<Outcome<T[]>> {
  const all = allVoters(voters);
  const good = new Set<string>();
  const not = new Set<string>();
  const got: T[] = [];
  function wait(done: (o: Outcome<T[]>) => void): void {
    for (const v of all) void one(v);
    async function one(v: Voter): Promise<void> {
      const [f, r] = open(await ask(v));
      if (r !== undefined) got.push(r);
      if (!f && yes(r as T, v)) good.add(v.disk);
      else not.add(v.disk);
      if (isQuorum(voters, good)) return done(Right(got));
      const rest = new Set<string>();
      for (const x of all) if (!not.has(x.disk)) rest.add(x.disk);
      if (!isQuorum(voters, rest))
        done(
          Left(makeFault('poll', v.at, f ? f.why : 'said no', 'unknown', f?.code ?? 'no-quorum')),
        );
    }
  }
  return new Promise(wait);
}
