/** The owner's side of the registers: who changes a key, under a rising epoch. */

import { isDeepStrictEqual } from 'node:util';
import { Left, Right } from 'purify-ts';
import { Delta, makeDelta } from '../../shared/replication/delta';
import { bad, Fault, open, Outcome } from '../../shared/errors/errors';
import { poll } from '../../shared/transport/quorum-poll';
import { comparePlaces, KEYS, Numbered, Voter } from '../../shared/state/words';
import { HeldPlace, placeOnly, Promised, Reach } from './acceptor';
import { isLaterHeld, pollHeldPlaces } from './accepted-versions';
import { Slots } from '../storage/control-store';

interface Owned {
  epoch: number;
  current?: Numbered;
}

function currentOf(o: Owned): Numbered | undefined {
  return o.current;
}

/** The owner's side: one turn at a time for each key. */
export interface Owner {
  /** Makes a change; where another owner came between, it is made anew up to `tries` times if it certainly did not stand. */
  change(
    key: string,
    make: (now: Numbered | undefined) => Outcome<unknown>,
    tries?: number,
  ): Promise<Outcome<Numbered>>;
  own(key: string): Promise<Outcome<Numbered | undefined>>;
  /** Takes a key anew; whatever is under way for it before counts for nothing. */
  ownAnew(key: string): Promise<Outcome<Numbered | undefined>>;
  owns(key: string): boolean;
  owned(): string[];
  disown(key: string): void;
  /** Takes note that another owns the key under an epoch. */
  passed(key: string, epoch: number): void;
}

/** Makes the owner's side of the registers. */
export function makeOwner(slots: Slots, reach: Reach): Owner {
  const owned = new Map<string, Owned>();
  const turns = new Map<string, Promise<unknown>>();
  const highest = new Map<string, number>();
  /** Turns that take a key anew and have not begun. */
  const nextAnew = new Map<string, Promise<Outcome<Numbered | undefined>>>();

  function inTurn<T>(key: string, run: () => Promise<T>): Promise<T> {
    const before = turns.get(key) ?? Promise.resolve();
    const mine = before.then(run);
    turns.set(key, mine);
    return mine;
  }

  function votersPlace(): Numbered | undefined {
    return slots.cells.get(KEYS.voters)?.learned;
  }

  function isOk(p: Promised): boolean {
    return p.ok;
  }

  function note(key: string, got: Promised[]): void {
    for (const p of got) {
      if (p.voters && comparePlaces(p.voters, votersPlace() ?? { epoch: 0, by: '', number: 0 }) > 0)
        void slots.put({ key: KEYS.voters, learned: p.voters });
      highest.set(key, Math.max(highest.get(key) ?? 0, p.seen.epoch));
    }
  }

  /** Asks a voter in short, and whole where it can't go by that. */
  async function askShort(
    v: Voter,
    type: string,
    short: object | undefined,
    wholeType: string,
    whole: object,
  ): Promise<Outcome<unknown>> {
    if (!short) return reach.ask(v, wholeType, whole, reach.within);
    const o = await reach.ask(v, type, short, reach.within);
    const [f] = open(o);
    return f?.code === 'whole' || f?.code === 'not-known'
      ? reach.ask(v, wholeType, whole, reach.within)
      : o;
  }

  async function ask(
    key: string,
    type: string,
    body: object,
    delta?: Delta,
  ): Promise<Outcome<Promised[]>> {
    const voters = reach.voters();
    if (!voters) return bad(type, reach.by, 'not founded', 'refused', 'not-founded');
    const seen: Promised[] = [];
    const under = { voters: placeOnly(votersPlace()) };
    const short = delta && { delta, ...under };
    const whole = { ...body, ...under };
    async function one(v: Voter): Promise<Outcome<Promised>> {
      const r = (await askShort(v, 'accept-delta', short, type, whole)) as Outcome<Promised>;
      const [, p] = open(r);
      if (p) seen.push(p);
      return r;
    }
    const o = await poll(voters, one, isOk);
    note(key, seen);
    return o;
  }

  /** Has a higher epoch promised; once more where it was refused for one, or for voters, that were not known here. */
  async function acquire(key: string, again = true): Promise<Outcome<Owned>> {
    const under = votersPlace();
    const epoch = Math.max(highest.get(key) ?? 0, slots.cells.get(key)?.promised.epoch ?? 0) + 1;
    const [f, got] = open(await ask(key, 'prepare', { key, epoch, by: reach.by }));
    const isNews = (highest.get(key) ?? 0) >= epoch || votersPlace() !== under;
    if (f) return again && isNews ? acquire(key, false) : Left(f);
    let best: Numbered | undefined;
    for (const p of got)
      if (p.accepted && (!best || comparePlaces(p.accepted, best) > 0)) best = p.accepted;
    const mine: Owned = { epoch };
    if (best) {
      const [g, c] = open(await commit(key, mine, best.number, best.value));
      if (g) return Left(g);
      mine.current = c;
    }
    owned.set(key, mine);
    return Right(mine);
  }

  async function commit(
    key: string,
    o: Owned,
    number: number,
    value: unknown,
  ): Promise<Outcome<Numbered>> {
    const change: Numbered = { key, epoch: o.epoch, by: reach.by, number, value };
    const [f] = open(
      await ask(key, 'accept', { change }, makeDelta(slots.cells.get(key)?.learned, change)),
    );
    if (f) {
      owned.delete(key);
      return Left({ ...f, step: `accept ${key}`, sort: 'unknown' });
    }
    const voters = reach.voters()!;
    void reach.learnHere(change);
    const short = { place: { key, ...placeOnly(change) } };
    const whole = { change };
    const [g] = open(await poll(voters, learn));
    function learn(v: Voter): Promise<Outcome<unknown>> {
      return askShort(v, 'learn-accepted', short, 'learn', whole);
    }
    if (g) {
      owned.delete(key);
      return Left({ ...g, step: `learn ${key}`, sort: 'unknown' });
    }
    return Right(learnedHere(change) ?? change);
  }

  /** A change as it is kept here, where it shares with earlier versions what did not change. */
  function learnedHere(change: Numbered): Numbered | undefined {
    const learned = slots.cells.get(change.key)?.learned;
    return learned && comparePlaces(learned, change) === 0 ? learned : undefined;
  }

  async function ensure(key: string): Promise<Outcome<Owned>> {
    const o = owned.get(key);
    if (o) return Right(o);
    const [f, v] = open(await acquire(key));
    if (f) return Left({ ...f, step: `own ${key}` } as Fault);
    return Right(v);
  }

  /**
   * Whether no disk of a majority has accepted anything later. A verdict that makes no change counts only by what a
   * majority holds now; it is confirmed by a read, since taking the key anew would cost a majority a write each.
   */
  async function isStillNewest(key: string, o: Owned): Promise<boolean> {
    const { held } = await pollHeldPlaces(reach.voters(), askShortly, key, votersPlace());
    return held.isRight() && !isLaterHeld(held.extract() as HeldPlace[], o.current);
  }

  function askShortly(v: Voter, type: string, body: unknown): Promise<Outcome<unknown>> {
    return reach.ask(v, type, body, reach.within);
  }

  function change(
    key: string,
    make: (now: Numbered | undefined) => Outcome<unknown>,
    tries = 1,
  ): Promise<Outcome<Numbered>> {
    async function once(left: number): Promise<Outcome<Numbered>> {
      const held = owned.has(key);
      const [f, o] = open(await ensure(key));
      if (f) return Left({ ...f, sort: 'refused' });
      const [g, value] = open(make(o.current));
      if (g) return held && !(await isStillNewest(key, o)) ? onceAnew(left) : Left(g);
      const number = (o.current?.number ?? 0) + 1;
      const [h, c] = open(await commit(key, o, number, value));
      if (!h) {
        o.current = c;
        return Right(c);
      }
      if (left <= 1) return Left(h);
      const [i, again] = open(await ensure(key));
      if (i) return Left(h);
      const stands = again.current;
      if (stands && stands.number === number && isDeepStrictEqual(stands.value, value))
        return Right(stands);
      return (stands?.number ?? 0) < number ? once(left - 1) : Left(h);
    }
    /** Another may own the key by now, which nothing would show here: the verdict is given on a value that is acquired for it. */
    function onceAnew(left: number): Promise<Outcome<Numbered>> {
      owned.delete(key);
      return once(left);
    }
    function run(): Promise<Outcome<Numbered>> {
      return once(tries);
    }
    return inTurn(key, run);
  }

  function own(key: string): Promise<Outcome<Numbered | undefined>> {
    async function run(): Promise<Outcome<Numbered | undefined>> {
      return (await ensure(key)).map(currentOf);
    }
    return inTurn(key, run);
  }

  /** Callers that come before a turn begins share it: whatever it then finds is not older than their calls. */
  function ownAnew(key: string): Promise<Outcome<Numbered | undefined>> {
    const waiting = nextAnew.get(key);
    if (waiting) return waiting;
    const next = inTurn(key, run);
    nextAnew.set(key, next);
    return next;

    async function run(): Promise<Outcome<Numbered | undefined>> {
      nextAnew.delete(key);
      owned.delete(key);
      return (await ensure(key)).map(currentOf);
    }
  }

  function owns(key: string): boolean {
    return owned.has(key);
  }

  function ownedKeys(): string[] {
    return [...owned.keys()];
  }

  function disown(key: string): void {
    owned.delete(key);
  }

  function passed(key: string, epoch: number): void {
    highest.set(key, Math.max(highest.get(key) ?? 0, epoch));
    if ((owned.get(key)?.epoch ?? Infinity) <= epoch) owned.delete(key);
  }

  return { change, own, ownAnew, owns, owned: ownedKeys, disown, passed };
}
