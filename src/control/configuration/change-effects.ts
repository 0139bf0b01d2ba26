import { Left, Right } from 'purify-ts';
import { open, Outcome } from '../../shared/errors/errors';
import { poll } from '../../shared/transport/quorum-poll';
import { Clock } from '../../shared/ports/ports';
import { Bounds } from '../../shared/settings/time-limits';
import { Settings } from '../../shared/settings/settings';
import { Place, Voter, Voters } from '../../shared/state/words';
import { Changed } from './change-coordinator';
import { keyOf, Operation } from './operations';

/** How much longer than a voter waits for an effect its answer is waited for. */
const ANSWER = 1.1;

/** What waiting for effects needs of its controller. */
export interface EffectParts {
  clock: Clock;
  settings: Settings;
  bounds: Bounds;
  voters(): Voters | undefined;
  askVoter(v: Voter, type: string, body: unknown, within: number): Promise<Outcome<unknown>>;
  commit(op: Operation): Promise<Outcome<Changed>>;
  /** Notes how long a change took until it was in effect. */
  effectTook(ms: number): void;
}

/** Changes, with the wait until every router goes by them. */
export interface Effects {
  /** Whether at a majority of the voters every router with a live lease has applied a change, within so many ms. */
  effect(key: string, place: Place, within: number): Promise<boolean>;
  change(op: Operation): Promise<Outcome<Changed>>;
}

/** Makes the changes that wait for their effect. */
export function makeEffects(p: EffectParts): Effects {
  async function effect(key: string, place: Place, within: number): Promise<boolean> {
    const v = p.voters();
    if (!v) return false;
    const { epoch, by, number } = place;
    function one(x: Voter): Promise<Outcome<unknown>> {
      return p.askVoter(x, 'effect', { key, epoch, by, number, within }, within * ANSWER);
    }
    return (await poll(v, one)).isRight();
  }

  async function change(op: Operation): Promise<Outcome<Changed>> {
    const began = p.clock.now();
    const [f, changed] = open(await p.commit(op));
    if (f) return Left(f);
    const inEffect = waits(op) && (await effect(keyOf(op), changed.place, p.bounds.effect));
    if (inEffect) p.effectTook(p.clock.now() - began);
    return Right({ ...changed, inEffect });
  }

  function waits(op: Operation): boolean {
    return p.settings.strict && op.kind !== 'engines' && op.kind !== 'duty' && op.kind !== 'voters';
  }

  return { effect, change };
}
