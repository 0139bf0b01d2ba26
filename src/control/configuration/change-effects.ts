/**
 * Changes with the wait for their effect: until, by a majority of the voters, every router with a live lease has
 * applied them.
 */

import { Left, Right } from 'purify-ts';
import { errorOrValue, Result } from '../../shared/errors/errors';
import { pollVoters } from '../../shared/transport/quorum-poll';
import { Clock } from '../../shared/ports/clock';
import { versionOf } from '../../shared/replication/delta';
import { TimeLimits } from '../../shared/settings/time-limits';
import { Settings } from '../../shared/settings/settings';
import { Version } from '../../shared/state/versions';
import { Voter, VoterSet } from '../../shared/state/voter-set';
import { TimedVoterRequest } from '../consensus/voter-request';
import { ChangeResult } from './change-coordinator';
import { controlKeyOf, Operation } from './operations';

/** How long a voter's reply is waited for, as a ratio of how long that voter waits for the effect. */
const REPLY_TIMEOUT_RATIO = 1.1;

/** Asks a majority of the voters to reply once a change is in effect at each, and waits for that up to `timeoutMs`. */
export function pollEffect(
  requestVoter: TimedVoterRequest,
  voters: VoterSet,
  key: string,
  version: Version,
  timeoutMs: number,
): Promise<Result<unknown[]>> {
  const body = { key, ...versionOf(version), within: timeoutMs };
  function requestEffect(voter: Voter): Promise<Result<unknown>> {
    return requestVoter(voter, 'effect', body, timeoutMs * REPLY_TIMEOUT_RATIO);
  }
  return pollVoters(voters, requestEffect);
}

/** What waiting for effects needs of its controller. */
export interface ChangeEffectsDependencies {
  clock: Clock;
  settings: Settings;
  timeLimits: TimeLimits;
  voters: () => VoterSet | undefined;
  requestVoter: TimedVoterRequest;
  commit: (operation: Operation) => Promise<Result<ChangeResult>>;
  /** Notes how long a change took until it was in effect. */
  observeEffectMs: (ms: number) => void;
}

/** Changes, with the wait until every router goes by them. */
export interface ChangeEffects {
  /** Whether at a majority of the voters every router with a live lease has applied a change, within so many ms. */
  awaitEffect: (key: string, version: Version, timeoutMs: number) => Promise<boolean>;
  /** Makes a change; where the settings are strict, its result tells whether it is in effect. */
  change: (operation: Operation) => Promise<Result<ChangeResult>>;
}

/** Makes the changes that wait for their effect. */
export function makeChangeEffects(dependencies: ChangeEffectsDependencies): ChangeEffects {
  const { clock, settings, timeLimits, requestVoter } = dependencies;

  async function awaitEffect(key: string, version: Version, timeoutMs: number): Promise<boolean> {
    const voters = dependencies.voters();
    if (!voters) return false;
    return (await pollEffect(requestVoter, voters, key, version, timeoutMs)).isRight();
  }

  async function change(operation: Operation): Promise<Result<ChangeResult>> {
    const beganAt = clock.now();
    const [error, result] = errorOrValue(await dependencies.commit(operation));
    if (error) return Left(error);
    const inEffect =
      isAwaited(operation) &&
      (await awaitEffect(controlKeyOf(operation), result.place, timeLimits.effectTimeoutMs));
    if (inEffect) dependencies.observeEffectMs(clock.now() - beganAt);
    return Right({ ...result, inEffect });
  }

  /** Whether an operator waits for the effect; the changes of background tasks are not waited for. */
  function isAwaited({ kind }: Operation): boolean {
    return settings.strict && kind !== 'engines' && kind !== 'duty' && kind !== 'voters';
  }

  return { awaitEffect, change };
}
