import { isDeepStrictEqual } from 'node:util';
import { Left, Right } from 'purify-ts';
import {
  failure,
  OperationError,
  errorOrValue,
  Result,
  isRetryableElsewhere,
} from '../../shared/errors/errors';
import { rankByRendezvousHash } from '../../shared/util/hashing';
import { PeerChannel, notConnected } from '../../shared/transport/connections';
import { Clock } from '../../shared/ports/clock';
import { RandomSource } from '../../shared/ports/random';
import { TimeLimits } from '../../shared/settings/time-limits';
import { Settings } from '../../shared/settings/settings';
import { IntentsValue } from '../../shared/state/intents';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { VersionedValue, Version } from '../../shared/state/versions';
import { VoterSet } from '../../shared/state/voter-set';
import { DocumentParser, operationIdentity, checkBaseRevision } from './deployment-change';
import { forwardChange } from './change-forwarding';
import { validateIntents } from './intents-validation';
import { controlKeyOf, computeNextValue, Operation } from './operations';
import { KeyOwner } from '../consensus/key-owner';
import { makeSingleFlight } from '../../shared/concurrency/single-flight';
import { SingletonHolder } from './singleton-holder';

/** What became of a change. */
export interface ChangeResult {
  place: Version;
  inEffect: boolean;
  /** The duty as it stands, where the change was of one; other values may be large, and nobody reads them here. */
  duty?: SingletonHolder;
}

interface ChangeCoordinatorDependencies {
  clock: Clock;
  random: RandomSource;
  settings: Settings;
  timeLimits: TimeLimits;
  keyOwner: KeyOwner;
  parser: DocumentParser | undefined;
  voters: () => VoterSet | undefined;
  liveAddresses: () => string[];
  channelTo: (at: string) => PeerChannel | undefined;
  dispatchLocally: (type: string, body: unknown) => Promise<Result<unknown>>;
  /** Reads what a majority holds as committed of a key, without its owner; a fault where a change may be under way. */
  readIfStable: (key: string) => Promise<Result<VersionedValue | undefined>>;
}

/** How changes are made, here or by the key's owner. */
export interface ChangeCoordinator {
  /** Makes a change here, as the key's owner. */
  changeAsOwner: (
    op: Operation,
    tries?: number,
    inDoubt?: boolean,
  ) => Promise<Result<ChangeResult>>;
  /** Has the key's owner make a change, and makes it here where that one does not. */
  commit: (op: Operation) => Promise<Result<ChangeResult>>;
  /** Asks a key's owner; where that one does not answer, this node takes its place. */
  requestOwner: (key: string, type: string, body: object) => Promise<Result<unknown>>;
  /** Has a key's owner commit its value anew; where that one does not answer, nobody takes its place. */
  recommit: (key: string) => Promise<Result<unknown>>;
  /** Whether an order is being worked on here, as by the key's owner. */
  isInProgress: (identity: string) => boolean;
}

const TRIES = 3;

/** Whether the value that stands is what a change on a base has made of it. */
function isMade(op: Operation, now: VersionedValue | undefined): boolean {
  if (!now || (op.kind !== 'voters' && op.kind !== 'intents') || now.number !== op.basedOn + 1)
    return false;
  if (op.kind === 'voters') return isDeepStrictEqual(now.value, op.voters);
  return isDeepStrictEqual((now.value as IntentsValue).doc, validateIntents(op.doc).extract());
}

/** What identifies an operator's order; other changes have no identity. */
function identityOfOrder(op: Operation): string | undefined {
  return op.kind === 'deployment' ? operationIdentity(op) : undefined;
}

/** Makes the changes of one controller. */
export function makeChangeCoordinator(p: ChangeCoordinatorDependencies): ChangeCoordinator {
  const { settings, timeLimits: bounds, keyOwner: owner } = p;
  const madeHere = makeSingleFlight<Result<ChangeResult>>();
  const committed = makeSingleFlight<Result<ChangeResult>>();

  /** Another may have made the change already; a conflict with what stands may then be with the change itself. */
  function makeAgain(op: Operation, now: VersionedValue | undefined): Result<unknown> {
    const o = computeNextValue(op, now, p.parser);
    const [f] = errorOrValue(o);
    return f?.code === 'conflict' && op.kind !== 'deployment'
      ? failure(f.step, f.peer, f.reason, 'unknown', 'in-doubt')
      : o;
  }

  /** A change that may stand already is not refused by a fault that says nothing of it. */
  function leaveOpen(f: OperationError): OperationError {
    return f.certainty === 'refused' && isRetryableElsewhere(f)
      ? { ...f, certainty: 'unknown' }
      : f;
  }

  /** Makes a change as the key's owner; one that is sent again meanwhile has the same outcome. */
  async function here(op: Operation, tries = 1, inDoubt = false): Promise<Result<ChangeResult>> {
    const made = await madeHere.run(identityOfOrder(op), start);
    return inDoubt ? made.mapLeft(leaveOpen) : made;

    async function start(): Promise<Result<ChangeResult>> {
      return (await owner.change(controlKeyOf(op), make, tries)).map(changed);
    }

    function make(now: VersionedValue | undefined): Result<unknown> {
      return inDoubt ? makeAgain(op, now) : computeNextValue(op, now, p.parser);
    }
  }

  function changed(n: VersionedValue): ChangeResult {
    return {
      place: { epoch: n.epoch, by: n.by, number: n.number },
      inEffect: false,
      ...(n.key.startsWith(CONTROL_KEYS.duty) ? { duty: n.value as SingletonHolder } : {}),
    };
  }

  function nobody(step: string): OperationError {
    return {
      step,
      peer: settings.name,
      reason: 'no voter is here',
      certainty: 'refused',
      code: p.voters() ? 'no-quorum' : 'not-founded',
    };
  }

  async function handOverTo(at: string, op: Operation): Promise<Result<unknown>> {
    const exchange = p.channelTo(at);
    return exchange
      ? forwardChange(p, exchange, op, identityOfOrder(op))
      : Left(notConnected('change', at));
  }

  async function ask(at: string, type: string, body: object): Promise<Result<unknown>> {
    return (
      p.channelTo(at)?.request(type, body, bounds.forwardTimeoutMs) ?? Left(notConnected(type, at))
    );
  }

  /**
   * Has a change made. An order that was taken or refused by what stands is answered by a read, at any controller:
   * its owner is left to the changes that are made, and is not outbid for a verdict.
   */
  function commit(op: Operation): Promise<Result<ChangeResult>> {
    return committed.run(identityOfOrder(op), start);

    async function start(): Promise<Result<ChangeResult>> {
      const verdict = await verdictByRead(op);
      return verdict ? Left(verdict) : commitByOwner(op);
    }
  }

  async function verdictByRead(op: Operation): Promise<OperationError | undefined> {
    if (op.kind !== 'deployment' || !p.parser) return undefined;
    const [fault, now] = errorOrValue(await p.readIfStable(controlKeyOf(op)));
    return fault ? undefined : checkBaseRevision(op, now, p.parser);
  }

  async function commitByOwner(
    op: Operation,
    rounds = TRIES,
    inDoubt = false,
  ): Promise<Result<ChangeResult>> {
    const key = controlKeyOf(op);
    const at = rankByRendezvousHash(key, p.liveAddresses())[0];
    if (at === undefined) return Left(nobody('change'));
    if (at === settings.wire) return here(op, TRIES, inDoubt);
    const [f, r] = errorOrValue(await handOverTo(at, op));
    if (!f) return Right(r as ChangeResult);
    if (!isRetryableElsewhere(f))
      return Left(
        inDoubt && f.code === 'conflict' && op.kind !== 'deployment'
          ? { ...f, certainty: 'unknown', code: 'in-doubt' }
          : f,
      );
    const doubted = inDoubt || f.certainty === 'unknown';
    const [g, now] = errorOrValue(await owner.acquire(key));
    if (!g) return doubted && isMade(op, now) ? Right(changed(now!)) : here(op, TRIES, doubted);
    if (rounds <= 1) return Left({ ...g, certainty: doubted ? 'unknown' : 'refused' });
    await p.clock.sleep(bounds.retryPauseMs * (0.05 + 0.15 * p.random.next()));
    return commitByOwner(op, rounds - 1, doubted);
  }

  async function ofOwner(key: string, type: string, body: object): Promise<Result<unknown>> {
    const at = rankByRendezvousHash(key, p.liveAddresses())[0];
    if (at === undefined) return Left(nobody(type));
    if (at === settings.wire) return p.dispatchLocally(type, body);
    const o = await ask(at, type, body);
    const [f] = errorOrValue(o);
    return f && isRetryableElsewhere(f) ? p.dispatchLocally(type, body) : o;
  }

  async function settle(key: string): Promise<Result<unknown>> {
    const at = rankByRendezvousHash(key, p.liveAddresses())[0];
    if (at === undefined) return Left(nobody('settle'));
    if (at === settings.wire) return owner.reacquire(key);
    return (
      p.channelTo(at)?.request('settle', { key }, bounds.requestTimeoutMs) ??
      Left(notConnected('settle', at))
    );
  }

  return {
    changeAsOwner: here,
    commit,
    requestOwner: ofOwner,
    recommit: settle,
    isInProgress: madeHere.isInProgress,
  };
}
