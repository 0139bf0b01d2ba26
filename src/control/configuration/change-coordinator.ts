import { isDeepStrictEqual } from 'node:util';
import { Left, Right } from 'purify-ts';
import { bad, Fault, open, Outcome } from '../../shared/errors/errors';
import { rendezvous } from '../../shared/util/lib';
import { Exchange, noConnection } from '../../shared/transport/connections';
import { Clock, Dice } from '../../shared/ports/ports';
import { Bounds } from '../../shared/settings/time-limits';
import { Settings } from '../../shared/settings/settings';
import { Intents, IntentsValue, KEYS, Numbered, Place, Voters } from '../../shared/state/words';
import { DocumentReader, identityOf, verdictByBase } from './deployment-change';
import { handOver } from './change-forwarding';
import { checkIntents } from './intents-validation';
import { keyOf, makeValue, Operation } from './operations';
import { Owner } from '../consensus/key-owner';
import { makeSingleFlight } from '../../shared/concurrency/single-flight';
import { DutyValue } from '../singletons/singleton-lease';

/** What became of a change. */
export interface Changed {
  place: Place;
  inEffect: boolean;
  /** The duty as it stands, where the change was of one; other values may be large, and nobody reads them here. */
  duty?: DutyValue;
}

interface Parts {
  clock: Clock;
  dice: Dice;
  settings: Settings;
  bounds: Bounds;
  owner: Owner;
  reader: DocumentReader | undefined;
  voters(): Voters | undefined;
  live(): string[];
  up(at: string): Exchange | undefined;
  local(type: string, body: unknown): Promise<Outcome<unknown>>;
  /** Reads what a majority holds as committed of a key, without its owner; a fault where a change may be under way. */
  readSettled(key: string): Promise<Outcome<Numbered | undefined>>;
}

/** How changes are made, here or by the key's owner. */
export interface Changes {
  /** Makes a change here, as the key's owner. */
  here(op: Operation, tries?: number, inDoubt?: boolean): Promise<Outcome<Changed>>;
  /** Has the key's owner make a change, and makes it here where that one does not. */
  commit(op: Operation): Promise<Outcome<Changed>>;
  /** Asks a key's owner; where that one does not answer, this node takes its place. */
  ofOwner(key: string, type: string, body: object): Promise<Outcome<unknown>>;
  /** Has a key's owner commit its value anew; where that one does not answer, nobody takes its place. */
  settle(key: string): Promise<Outcome<unknown>>;
  /** Whether an order is being worked on here, as by the key's owner. */
  isUnderWay(identity: string): boolean;
}

const TRIES = 3;
const PEER_CODES = new Set([
  'no-stream',
  'timeout',
  'ended',
  'no-quorum',
  'no-voter',
  'not-founded',
  'disk',
]);

/** Whether a fault tells of the one that was asked rather than of what it was asked for, so that another may do it. What a majority no longer remembers, no other remembers either. */
export function isOfPeer(f: Fault): boolean {
  if (f.code === 'forgotten') return false;
  return f.sort === 'unknown' || PEER_CODES.has(f.code ?? '');
}

/** Whether the value that stands is what a change on a base has made of it. */
function isMade(op: Operation, now: Numbered | undefined): boolean {
  if (!now || (op.kind !== 'voters' && op.kind !== 'intents') || now.number !== op.basedOn + 1)
    return false;
  if (op.kind === 'voters') return isDeepStrictEqual(now.value, op.voters);
  return isDeepStrictEqual(
    (now.value as IntentsValue).doc,
    checkIntents(op.doc).extract() as Intents,
  );
}

/** What identifies an operator's order; other changes have no identity. */
function identityOfOrder(op: Operation): string | undefined {
  return op.kind === 'deployment' ? identityOf(op) : undefined;
}

/** Makes the changes of one controller. */
export function makeChanges(p: Parts): Changes {
  const { settings, bounds, owner } = p;
  const madeHere = makeSingleFlight<Outcome<Changed>>();
  const committed = makeSingleFlight<Outcome<Changed>>();

  /** Another may have made the change already; a conflict with what stands may then be with the change itself. */
  function makeAgain(op: Operation, now: Numbered | undefined): Outcome<unknown> {
    const o = makeValue(op, now, p.reader);
    const [f] = open(o);
    return f?.code === 'conflict' && op.kind !== 'deployment'
      ? bad(f.step, f.peer, f.why, 'unknown', 'in-doubt')
      : o;
  }

  /** A change that may stand already is not refused by a fault that says nothing of it. */
  function leaveOpen(f: Fault): Fault {
    return f.sort === 'refused' && isOfPeer(f) ? { ...f, sort: 'unknown' } : f;
  }

  /** Makes a change as the key's owner; one that is sent again meanwhile has the same outcome. */
  async function here(op: Operation, tries = 1, inDoubt = false): Promise<Outcome<Changed>> {
    const made = await madeHere.run(identityOfOrder(op), start);
    return inDoubt ? made.mapLeft(leaveOpen) : made;

    async function start(): Promise<Outcome<Changed>> {
      return (await owner.change(keyOf(op), make, tries)).map(changed);
    }

    function make(now: Numbered | undefined): Outcome<unknown> {
      return inDoubt ? makeAgain(op, now) : makeValue(op, now, p.reader);
    }
  }

  function changed(n: Numbered): Changed {
    return {
      place: { epoch: n.epoch, by: n.by, number: n.number },
      inEffect: false,
      ...(n.key.startsWith(KEYS.duty) ? { duty: n.value as DutyValue } : {}),
    };
  }

  function nobody(step: string): Fault {
    return {
      step,
      peer: settings.name,
      why: 'no voter is here',
      sort: 'refused',
      code: p.voters() ? 'no-quorum' : 'not-founded',
    };
  }

  async function handOverTo(at: string, op: Operation): Promise<Outcome<unknown>> {
    const exchange = p.up(at);
    return exchange
      ? handOver(p, exchange, op, identityOfOrder(op))
      : Left(noConnection('change', at));
  }

  async function ask(at: string, type: string, body: object): Promise<Outcome<unknown>> {
    return p.up(at)?.ask(type, body, bounds.handOver) ?? Left(noConnection(type, at));
  }

  /**
   * Has a change made. An order that was taken or refused by what stands is answered by a read, at any controller:
   * its owner is left to the changes that are made, and is not outbid for a verdict.
   */
  function commit(op: Operation): Promise<Outcome<Changed>> {
    return committed.run(identityOfOrder(op), start);

    async function start(): Promise<Outcome<Changed>> {
      const verdict = await verdictByRead(op);
      return verdict ? Left(verdict) : commitByOwner(op);
    }
  }

  async function verdictByRead(op: Operation): Promise<Fault | undefined> {
    if (op.kind !== 'deployment' || !p.reader) return undefined;
    const [fault, now] = open(await p.readSettled(keyOf(op)));
    return fault ? undefined : verdictByBase(op, now, p.reader);
  }

  async function commitByOwner(
    op: Operation,
    rounds = TRIES,
    inDoubt = false,
  ): Promise<Outcome<Changed>> {
    const key = keyOf(op);
    const at = rendezvous(key, p.live())[0];
    if (at === undefined) return Left(nobody('change'));
    if (at === settings.wire) return here(op, TRIES, inDoubt);
    const [f, r] = open(await handOverTo(at, op));
    if (!f) return Right(r as Changed);
    if (!isOfPeer(f))
      return Left(
        inDoubt && f.code === 'conflict' && op.kind !== 'deployment'
          ? { ...f, sort: 'unknown', code: 'in-doubt' }
          : f,
      );
    const doubted = inDoubt || f.sort === 'unknown';
    const [g, now] = open(await owner.own(key));
    if (!g) return doubted && isMade(op, now) ? Right(changed(now!)) : here(op, TRIES, doubted);
    if (rounds <= 1) return Left({ ...g, sort: doubted ? 'unknown' : 'refused' });
    await p.clock.sleep(bounds.pause * (0.05 + 0.15 * p.dice.next()));
    return commitByOwner(op, rounds - 1, doubted);
  }

  async function ofOwner(key: string, type: string, body: object): Promise<Outcome<unknown>> {
    const at = rendezvous(key, p.live())[0];
    if (at === undefined) return Left(nobody(type));
    if (at === settings.wire) return p.local(type, body);
    const o = await ask(at, type, body);
    const [f] = open(o);
    return f && isOfPeer(f) ? p.local(type, body) : o;
  }

  async function settle(key: string): Promise<Outcome<unknown>> {
    const at = rendezvous(key, p.live())[0];
    if (at === undefined) return Left(nobody('settle'));
    if (at === settings.wire) return owner.ownAnew(key);
    return p.up(at)?.ask('settle', { key }, bounds.ask) ?? Left(noConnection('settle', at));
  }

  return { here, commit, ofOwner, settle, isUnderWay: madeHere.isUnderWay };
}
