/** The owner's side of the registers: who changes a key, under a rising epoch. */

import { isDeepStrictEqual } from 'node:util';
import { Left, Right } from 'purify-ts';
import { Delta, makeDelta } from '../../shared/replication/delta';
import { failure, errorOrValue, Result } from '../../shared/errors/errors';
import { pollVoters } from '../../shared/transport/quorum-poll';
import { compareVersions, VersionedValue } from '../../shared/state/versions';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Voter } from '../../shared/state/voter-set';
import { placeOnly, AcceptorReply, VoterTransport } from './acceptor';
import { hasNewerAccepted, pollAcceptedVersions } from './accepted-versions';
import { ControlStore } from '../storage/control-store';

interface Owned {
  epoch: number;
  current?: VersionedValue;
}

function currentOf(o: Owned): VersionedValue | undefined {
  return o.current;
}

/** The owner's side: one turn at a time for each key. */
export interface KeyOwner {
  /** Makes a change; where another owner came between, it is made anew up to `tries` times if it certainly did not stand. */
  change: (
    key: string,
    make: (now: VersionedValue | undefined) => Result<unknown>,
    tries?: number,
  ) => Promise<Result<VersionedValue>>;
  acquire: (key: string) => Promise<Result<VersionedValue | undefined>>;
  /** Takes a key anew; whatever is under way for it before counts for nothing. */
  reacquire: (key: string) => Promise<Result<VersionedValue | undefined>>;
  owns: (key: string) => boolean;
  ownedKeys: () => string[];
  release: (key: string) => void;
  /** Takes note that another owns the key under an epoch. */
  noteNewerEpoch: (key: string, epoch: number) => void;
}

/** Makes the owner's side of the registers. */
export function makeKeyOwner(slots: ControlStore, reach: VoterTransport): KeyOwner {
  const owned = new Map<string, Owned>();
  const turns = new Map<string, Promise<unknown>>();
  const highest = new Map<string, number>();
  /** Turns that take a key anew and have not begun. */
  const nextAnew = new Map<string, Promise<Result<VersionedValue | undefined>>>();

  function inTurn<T>(key: string, run: () => Promise<T>): Promise<T> {
    const before = turns.get(key) ?? Promise.resolve();
    const mine = before.then(run);
    turns.set(key, mine);
    return mine;
  }

  function votersPlace(): VersionedValue | undefined {
    return slots.registers.get(CONTROL_KEYS.voters)?.learned;
  }

  function isOk(p: AcceptorReply): boolean {
    return p.ok;
  }

  function note(key: string, got: AcceptorReply[]): void {
    for (const p of got) {
      if (
        p.voters &&
        compareVersions(p.voters, votersPlace() ?? { epoch: 0, by: '', number: 0 }) > 0
      )
        void slots.put({ key: CONTROL_KEYS.voters, learned: p.voters });
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
  ): Promise<Result<unknown>> {
    if (!short) return reach.request(v, wholeType, whole, reach.timeoutMs);
    const o = await reach.request(v, type, short, reach.timeoutMs);
    const [f] = errorOrValue(o);
    return f?.code === 'whole' || f?.code === 'not-known'
      ? reach.request(v, wholeType, whole, reach.timeoutMs)
      : o;
  }

  async function ask(
    key: string,
    type: string,
    body: object,
    delta?: Delta,
  ): Promise<Result<AcceptorReply[]>> {
    const voters = reach.voters();
    if (!voters) return failure(type, reach.ownerId, 'not founded', 'refused', 'not-founded');
    const seen: AcceptorReply[] = [];
    const under = { voters: placeOnly(votersPlace()) };
    const short = delta && { delta, ...under };
    const whole = { ...body, ...under };
    async function one(v: Voter): Promise<Result<AcceptorReply>> {
      const r = (await askShort(v, 'accept-delta', short, type, whole)) as Result<AcceptorReply>;
      const [, p] = errorOrValue(r);
      if (p) seen.push(p);
      return r;
    }
    const o = await pollVoters(voters, one, isOk);
    note(key, seen);
    return o;
  }

  /** Has a higher epoch promised; once more where it was refused for one, or for voters, that were not known here. */
  async function acquire(key: string, again = true): Promise<Result<Owned>> {
    const under = votersPlace();
    const epoch =
      Math.max(highest.get(key) ?? 0, slots.registers.get(key)?.promised.epoch ?? 0) + 1;
    const [f, got] = errorOrValue(await ask(key, 'prepare', { key, epoch, by: reach.ownerId }));
    const isNews = (highest.get(key) ?? 0) >= epoch || votersPlace() !== under;
    if (f) return again && isNews ? acquire(key, false) : Left(f);
    let best: VersionedValue | undefined;
    for (const p of got)
      if (p.accepted && (!best || compareVersions(p.accepted, best) > 0)) best = p.accepted;
    const mine: Owned = { epoch };
    if (best) {
      const [g, c] = errorOrValue(await commit(key, mine, best.number, best.value));
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
  ): Promise<Result<VersionedValue>> {
    const change: VersionedValue = { key, epoch: o.epoch, by: reach.ownerId, number, value };
    const [f] = errorOrValue(
      await ask(key, 'accept', { change }, makeDelta(slots.registers.get(key)?.learned, change)),
    );
    if (f) {
      owned.delete(key);
      return Left({ ...f, step: `accept ${key}`, certainty: 'unknown' });
    }
    const voters = reach.voters()!;
    void reach.learnLocally(change);
    const short = { place: { key, ...placeOnly(change) } };
    const whole = { change };
    const [g] = errorOrValue(await pollVoters(voters, learn));
    function learn(v: Voter): Promise<Result<unknown>> {
      return askShort(v, 'learn-accepted', short, 'learn', whole);
    }
    if (g) {
      owned.delete(key);
      return Left({ ...g, step: `learn ${key}`, certainty: 'unknown' });
    }
    return Right(learnedHere(change) ?? change);
  }

  /** A change as it is kept here, where it shares with earlier versions what did not change. */
  function learnedHere(change: VersionedValue): VersionedValue | undefined {
    const learned = slots.registers.get(change.key)?.learned;
    return learned && compareVersions(learned, change) === 0 ? learned : undefined;
  }

  async function ensure(key: string): Promise<Result<Owned>> {
    const o = owned.get(key);
    if (o) return Right(o);
    const [f, v] = errorOrValue(await acquire(key));
    if (f) return Left({ ...f, step: `own ${key}` });
    return Right(v);
  }

  /**
   * Whether no disk of a majority has accepted anything later. A verdict that makes no change counts only by what a
   * majority holds now; it is confirmed by a read, since taking the key anew would cost a majority a write each.
   */
  async function isStillNewest(key: string, o: Owned): Promise<boolean> {
    const { accepted: held } = await pollAcceptedVersions(
      reach.voters(),
      askShortly,
      key,
      votersPlace(),
    );
    return held.isRight() && !hasNewerAccepted(held.extract(), o.current);
  }

  function askShortly(v: Voter, type: string, body: unknown): Promise<Result<unknown>> {
    return reach.request(v, type, body, reach.timeoutMs);
  }

  function change(
    key: string,
    make: (now: VersionedValue | undefined) => Result<unknown>,
    tries = 1,
  ): Promise<Result<VersionedValue>> {
    async function once(left: number): Promise<Result<VersionedValue>> {
      const held = owned.has(key);
      const [f, o] = errorOrValue(await ensure(key));
      if (f) return Left({ ...f, certainty: 'refused' });
      const [g, value] = errorOrValue(make(o.current));
      if (g) return held && !(await isStillNewest(key, o)) ? onceAnew(left) : Left(g);
      const number = (o.current?.number ?? 0) + 1;
      const [h, c] = errorOrValue(await commit(key, o, number, value));
      if (!h) {
        o.current = c;
        return Right(c);
      }
      if (left <= 1) return Left(h);
      const [i, again] = errorOrValue(await ensure(key));
      if (i) return Left(h);
      const stands = again.current;
      if (stands && stands.number === number && isDeepStrictEqual(stands.value, value))
        return Right(stands);
      return (stands?.number ?? 0) < number ? once(left - 1) : Left(h);
    }
    /** Another may own the key by now, which nothing would show here: the verdict is given on a value that is acquired for it. */
    function onceAnew(left: number): Promise<Result<VersionedValue>> {
      owned.delete(key);
      return once(left);
    }
    function run(): Promise<Result<VersionedValue>> {
      return once(tries);
    }
    return inTurn(key, run);
  }

  function own(key: string): Promise<Result<VersionedValue | undefined>> {
    async function run(): Promise<Result<VersionedValue | undefined>> {
      return (await ensure(key)).map(currentOf);
    }
    return inTurn(key, run);
  }

  /** Callers that come before a turn begins share it: whatever it then finds is not older than their calls. */
  function ownAnew(key: string): Promise<Result<VersionedValue | undefined>> {
    const waiting = nextAnew.get(key);
    if (waiting) return waiting;
    const next = inTurn(key, run);
    nextAnew.set(key, next);
    return next;

    async function run(): Promise<Result<VersionedValue | undefined>> {
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

  return {
    change,
    acquire: own,
    reacquire: ownAnew,
    owns,
    ownedKeys: ownedKeys,
    release: disown,
    noteNewerEpoch: passed,
  };
}
