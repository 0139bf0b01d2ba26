import { Left, Right } from 'purify-ts';
import { bad, Fault, makeFault, open, Outcome } from '../../shared/errors/errors';
import { poll } from '../../shared/transport/quorum-poll';
import { Ports } from '../../shared/ports/ports';
import { askOnce } from '../../shared/transport/connections';
import { isVoter, KEYS, Numbered, Place, Voter, Voters } from '../../shared/state/words';
import { Controller } from '../controller';
import { bringAllUpToDate, ReplicateParts } from '../consensus/replica-sync';
import { makeStepTimes, StepTimes } from './step-times';
import { Vote } from '../storage/idempotency-votes';

const HEX = [...'0123456789abcdef'];
const AT_ONCE = 16;

function sameSet(a: readonly Voter[], b: readonly Voter[]): boolean {
  function text(v: Voter): string {
    return `${v.disk} ${v.at}`;
  }
  return JSON.stringify(a.map(text).sort()) === JSON.stringify(b.map(text).sort());
}

/**
 * What was done for a joint set so far, so that another attempt goes on where the last one ended: a key that is
 * committed anew is news to every follower, and to the newcomer that was not level in time.
 */
export interface JointProgress {
  /** The number of the joint set. */
  number?: number;
  /** Whether no router goes by the old set alone any more. */
  isInEffect: boolean;
  /** Keys that were committed under both majorities since a majority of the old set knows the joint one. */
  carried: Set<string>;
}

/** Makes the progress of a joint set for which nothing was done. */
export function makeJointProgress(): JointProgress {
  return { isInEffect: false, carried: new Set() };
}

function beginProgress(progress: JointProgress, number: number): void {
  if (progress.number === number) return;
  progress.number = number;
  progress.isInEffect = false;
  progress.carried.clear();
}

/** The code of a fault that tells that a new voter's disk takes no writes. */
export const NEWCOMER_UNFIT = 'newcomer-unfit';

/** Replaces a lost core machine by an empty one, through a joint set; safe to repeat until it says that it is done. */
export async function replaceVoter(
  c: Controller,
  ports: Ports,
  out: string,
  into: string,
): Promise<Outcome<Voters>> {
  const stood = c.value<Voters>(KEYS.voters);
  if (!stood)
    return bad('replace voter', c.name, 'the fleet is not founded', 'refused', 'not-founded');
  const v = stood.value;
  const [f, w] = open(await askOnce(ports, c.hello, [], into, 'who', {}, c.bounds.ask));
  if (f) return Left({ ...f, sort: 'refused' } as Fault);
  const { disk } = w as { disk: string };
  function isNew(x: Voter): boolean {
    return x.disk === disk;
  }
  function isOut(x: Voter): boolean {
    return x.at === out || x.disk === out;
  }
  function stays(x: Voter): boolean {
    return !isOut(x);
  }
  if (!v.next && v.now.some(isNew) && !v.now.some(isOut)) return Right(v);
  if (!v.now.some(isOut)) return bad('replace voter', out, 'is no voter', 'refused', 'no-voter');
  if (v.now.some(isNew))
    return bad('replace voter', into, 'is a voter already', 'refused', 'conflict');
  return moveVoters(c, ports, [...v.now.filter(stays), { disk, at: into }]);
}

/** Brings the fleet to another voter set through a joint one; safe to repeat, and to be gone on with by another controller. */
export async function moveVoters(
  c: Controller,
  ports: Ports,
  next: Voter[],
  isOverdue: () => boolean = isNever,
  progress = makeJointProgress(),
): Promise<Outcome<Voters>> {
  const stood = c.value<Voters>(KEYS.voters);
  if (!stood)
    return bad('move voters', c.name, 'the fleet is not founded', 'refused', 'not-founded');
  const v = stood.value;
  if (v.next && !sameSet(v.next, next))
    return bad(
      'move voters',
      c.name,
      'another change of the voters is under way',
      'refused',
      'conflict',
    );
  if (v.next) return settleVoters(c, ports, stood.place, isOverdue, progress);
  const [g, r] = open(
    await c.change({ kind: 'voters', voters: { now: v.now, next }, basedOn: stood.place.number }),
  );
  return g ? Left(g) : settleVoters(c, ports, r.place, isOverdue, progress);
}

function isNever(): boolean {
  return false;
}

/** Ends a joint set by going back to the one that stood before; all that was committed meanwhile has its majority, too. */
export async function returnVoters(
  c: Controller,
  stood: { place: Place; value: Voters },
): Promise<Outcome<Voters>> {
  return endJoint(c, stood.place.number, stood.value.now);
}

async function endJoint(c: Controller, number: number, now: Voter[]): Promise<Outcome<Voters>> {
  const [f] = open(await c.change({ kind: 'voters', voters: { now }, basedOn: number }));
  return f ? Left(f) : Right({ now });
}

/** Brings the new disks all that the old set holds: votes first, then every key under both majorities, and each key that is committed by then to each new disk, by that disk's own word. Then the new set stands alone. Where a new disk replaces one that is gone for good and is overdue, it is not waited for: a majority of the new set has all by then, and the old set would bear no loss any more. */
async function settleVoters(
  c: Controller,
  ports: Ports,
  place: Place,
  isOverdue: () => boolean,
  progress: JointProgress,
): Promise<Outcome<Voters>> {
  const times = makeStepTimes(ports.clock);
  beginProgress(progress, place.number);
  const settled = await settleInSteps(c, ports, place, isOverdue, progress, times.timed);
  const [f] = open(settled);
  const fields = { step: 'settle voters', peer: c.name, number: place.number, ...times.took() };
  ports.log.notice(fields, f ? `not settled at ${f.step} ${f.peer}: ${f.why}` : 'settled');
  return settled;
}

async function settleInSteps(
  c: Controller,
  ports: Ports,
  place: Place,
  isOverdue: () => boolean,
  progress: JointProgress,
  timed: StepTimes['timed'],
): Promise<Outcome<Voters>> {
  const [f, joint] = open(await knownHere(c, ports, place));
  if (f) return Left(f);
  const { now, next } = joint;
  function isFresh(x: Voter): boolean {
    return !isVoter({ now }, x.disk);
  }
  function isOut(x: Voter): boolean {
    return !isVoter({ now: next }, x.disk);
  }
  const isRepair = now.length === next.length && now.filter(isOut).every(c.isEmptied);
  if (!isRepair && !progress.isInEffect) {
    const [g] = open(await timed('effectMs', inEffectAt(c, joint, place)));
    if (g) return Left({ ...g, step: 'tell the joint set' });
    progress.isInEffect = true;
  }
  const [h, held] = open(await timed('gatherMs', gather(c, now, place)));
  if (h) return Left({ ...h, step: 'gather from the old set' });
  for (const x of next.filter(isFresh)) {
    const [g] = open(await timed('votesMs', copyVotes(c, x, held.votes)));
    if (g) return Left(ofNewcomer(g));
  }
  const [i] = open(await timed('keysMs', carryKeys(c, [...held.keys], progress.carried)));
  if (i) return Left(i);
  const upToDate = bringAllUpToDate(replicating(c), next.filter(isFresh));
  const [j] = open(await timed('upToDateMs', upToDate));
  if (j && !(isOverdue() && isRepair)) return Left(ofNewcomer(j));
  if (j) ports.log.notice({ step: j.step, peer: j.peer }, `counts before it has all: ${j.why}`);
  return endJoint(c, place.number, next);
}

function ofNewcomer(f: Fault): Fault {
  return f.code === 'disk' ? { ...f, code: NEWCOMER_UNFIT } : f;
}

function replicating(c: Controller): ReplicateParts {
  function askVoter(v: Voter, type: string, body: unknown): Promise<Outcome<unknown>> {
    return c.askVoter(v, type, body, c.bounds.ask);
  }
  return { slots: c.slots, askVoter };
}

async function knownHere(
  c: Controller,
  ports: Ports,
  place: Place,
): Promise<Outcome<{ now: Voter[]; next: Voter[] }>> {
  for (let i = 0; (c.value(KEYS.voters)?.place.number ?? 0) < place.number; i++) {
    if (i > 20)
      return bad(
        'move voters',
        c.name,
        'the joint set is not known here yet',
        'unknown',
        'pending',
      );
    await ports.clock.sleep(c.bounds.renew * 0.1 * (i + 1));
  }
  const known = c.value<Voters>(KEYS.voters)!;
  if (known.place.number !== place.number || !known.value.next)
    return bad('move voters', c.name, 'another change came first', 'refused', 'conflict');
  return Right({ now: known.value.now, next: known.value.next });
}

/** Comes back when no router goes by the old set alone. */
function inEffectAt(c: Controller, joint: Voters, place: Place): Promise<Outcome<unknown[]>> {
  const body = {
    key: KEYS.voters,
    epoch: place.epoch,
    by: place.by,
    number: place.number,
    within: c.bounds.effect,
  };
  function one(v: Voter): Promise<Outcome<unknown>> {
    return c.askVoter(v, 'effect', body, c.bounds.effect * 1.1);
  }
  return poll({ now: joint.now }, one);
}

interface Held {
  votes: Map<string, Vote>;
  keys: Set<string>;
}

/** What a majority of the old set holds; each first learns the joint set, so that it takes nothing more from an owner that goes by the old one. */
async function gather(c: Controller, now: Voter[], place: Place): Promise<Outcome<Held>> {
  const held: Held = { votes: new Map(), keys: new Set() };
  const change: Numbered = {
    key: KEYS.voters,
    epoch: place.epoch,
    by: place.by,
    number: place.number,
    value: c.value(KEYS.voters)!.value,
  };
  async function pile(v: Voter, begins: string): Promise<Outcome<{ disk: string }>> {
    const [f, r] = open(await c.askVoter(v, 'held', { begins, some: true }, c.bounds.ask));
    if (f) return Left(f);
    const got = r as { disk: string; votes: Vote[]; keys: string[]; more?: boolean };
    for (const k of got.keys) held.keys.add(k);
    if (!got.more) for (const x of got.votes) held.votes.set(x.key, x);
    if (got.more) {
      for (const x of HEX) {
        const [g] = open(await pile(v, begins + x));
        if (g) return Left(g);
      }
    }
    return Right({ disk: got.disk });
  }
  async function one(v: Voter): Promise<Outcome<{ disk: string }>> {
    const [f] = open(await c.askVoter(v, 'learn', { change }, c.bounds.ask));
    return f ? Left(f) : pile(v, '');
  }
  return (await poll({ now }, one)).map(whole);
  function whole(): Held {
    return held;
  }
}

async function copyVotes(
  c: Controller,
  into: Voter,
  votes: Held['votes'],
): Promise<Outcome<unknown>> {
  const byPile = new Map<string, Vote[]>();
  for (const x of votes.values())
    byPile.set(x.key.slice(0, 2), [...(byPile.get(x.key.slice(0, 2)) ?? []), x]);
  for (const pile of byPile.values()) {
    const [f] = open(await c.askVoter(into, 'copy', pile, c.bounds.effect));
    if (f) return Left(f);
  }
  return Right(undefined);
}

/**
 * Has every key committed anew, some at once, but for those that were carried to this joint set before. Its owner
 * does so: another that took it would be outbid by the owner again, and where just a majority is left a lost bid fails.
 */
async function carryKeys(
  c: Controller,
  keys: string[],
  carried: Set<string>,
): Promise<Outcome<unknown>> {
  function isLeft(key: string): boolean {
    return key !== KEYS.voters && !carried.has(key);
  }
  async function carry(key: string): Promise<Outcome<unknown>> {
    const settled = await c.settle(key);
    if (settled.isRight()) carried.add(key);
    return settled;
  }
  const rest = keys.filter(isLeft);
  for (let i = 0; i < rest.length; i += AT_ONCE) {
    for (const o of await Promise.all(rest.slice(i, i + AT_ONCE).map(carry))) {
      const [f] = open(o);
      if (f) return Left(makeFault(f.step, f.peer, f.why, 'unknown', f.code));
    }
  }
  return Right(undefined);
}
