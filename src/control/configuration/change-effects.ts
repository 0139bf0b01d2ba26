import { Left, Right } from 'purify-ts';
import { errorOrValue, Result } from '../../shared/errors/errors';
import { pollVoters } from '../../shared/transport/quorum-poll';
import { Clock } from '../../shared/ports/clock';
import { TimeLimits } from '../../shared/settings/time-limits';
import { Settings } from '../../shared/settings/settings';
import { Version } from '../../shared/state/versions';
import { Voter, VoterSet } from '../../shared/state/voter-set';
import { ChangeResult } from './change-coordinator';
import { controlKeyOf, Operation } from './operations';

/** How much longer than a voter waits for an effect its answer is waited for. */
const ANSWER = 1.1;

/** What waiting for effects needs of its controller. */
export interface ChangeEffectsDependencies {
  clock: Clock;
  settings: Settings;
  timeLimits: TimeLimits;
  voters: () => VoterSet | undefined;
  requestVoter: (v: Voter, type: string, body: unknown, within: number) => Promise<Result<unknown>>;
  commit: (op: Operation) => Promise<Result<ChangeResult>>;
  /** Notes how long a change took until it was in effect. */
  observeEffectMs: (ms: number) => void;
}

/** Changes, with the wait until every router goes by them. */
export interface ChangeEffects {
  /** Whether at a majority of the voters every router with a live lease has applied a change, within so many ms. */
  awaitEffect: (key: string, place: Version, within: number) => Promise<boolean>;
  change: (op: Operation) => Promise<Result<ChangeResult>>;
}

/** Makes the changes that wait for their effect. */
export function makeChangeEffects(p: ChangeEffectsDependencies): ChangeEffects {
  async function effect(key: string, place: Version, within: number): Promise<boolean> {
    const v = p.voters();
    if (!v) return false;
    const { epoch, by, number } = place;
    function one(x: Voter): Promise<Result<unknown>> {
      return p.requestVoter(x, 'effect', { key, epoch, by, number, within }, within * ANSWER);
    }
    return (await pollVoters(v, one)).isRight();
  }

  async function change(op: Operation): Promise<Result<ChangeResult>> {
    const began = p.clock.now();
    const [f, changed] = errorOrValue(await p.commit(op));
    if (f) return Left(f);
    const inEffect =
      waits(op) && (await effect(controlKeyOf(op), changed.place, p.timeLimits.effectTimeoutMs));
    if (inEffect) p.observeEffectMs(p.clock.now() - began);
    return Right({ ...changed, inEffect });
  }

  function waits(op: Operation): boolean {
    return p.settings.strict && op.kind !== 'engines' && op.kind !== 'duty' && op.kind !== 'voters';
  }

  return { awaitEffect: effect, change };
}
