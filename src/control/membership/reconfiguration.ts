import { Left, Right } from 'purify-ts';
import {
  failure,
  OperationError,
  makeError,
  errorOrValue,
  Result,
} from '../../shared/errors/errors';
import { pollVoters } from '../../shared/transport/quorum-poll';
import { Ports } from '../../shared/ports/ports';
import { requestOnce } from '../../shared/transport/connections';
import { isVoter, Voter, VoterSet } from '../../shared/state/voter-set';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { VersionedValue, Version } from '../../shared/state/versions';
import { Controller } from '../controller-interface';
import { syncReplicas, ReplicaSyncDependencies } from '../consensus/replica-sync';
import { makeStepTimes, StepTimes } from './step-times';
import { Vote } from '../storage/vote-files';

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
export interface ReconfigurationProgress {
  /** The number of the joint set. */
  number?: number;
  /** Whether no router goes by the old set alone any more. */
  isInEffect: boolean;
  /** Keys that were committed under both majorities since a majority of the old set knows the joint one. */
  carried: Set<string>;
}

/** Makes the progress of a joint set for which nothing was done. */
export function makeReconfigurationProgress(): ReconfigurationProgress {
  return { isInEffect: false, carried: new Set() };
}

function beginProgress(progress: ReconfigurationProgress, number: number): void {
  if (progress.number === number) return;
  progress.number = number;
  progress.isInEffect = false;
  progress.carried.clear();
}

/** The code of a fault that tells that a new voter's disk takes no writes. */
export const NEW_VOTER_UNWRITABLE = 'newcomer-unfit';

/** Replaces a lost core machine by an empty one, through a joint set; safe to repeat until it says that it is done. */
export async function replaceVoter(
  c: Controller,
  ports: Ports,
  out: string,
  into: string,
): Promise<Result<VoterSet>> {
  const stood = c.committedValue<VoterSet>(CONTROL_KEYS.voters);
  if (!stood)
    return failure('replace voter', c.name, 'the fleet is not founded', 'refused', 'not-founded');
  const v = stood.value;
  const [f, w] = errorOrValue(
    await requestOnce(ports, c.hello, [], into, 'who', {}, c.timeLimits.requestTimeoutMs),
  );
  if (f) return Left({ ...f, certainty: 'refused' });
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
  if (!v.now.some(isOut))
    return failure('replace voter', out, 'is no voter', 'refused', 'no-voter');
  if (v.now.some(isNew))
    return failure('replace voter', into, 'is a voter already', 'refused', 'conflict');
  return changeVoterSet(c, ports, [...v.now.filter(stays), { disk, at: into }]);
}

/** Brings the fleet to another voter set through a joint one; safe to repeat, and to be gone on with by another controller. */
export async function changeVoterSet(
  c: Controller,
  ports: Ports,
  next: Voter[],
  isOverdue: () => boolean = isNever,
  progress = makeReconfigurationProgress(),
): Promise<Result<VoterSet>> {
  const stood = c.committedValue<VoterSet>(CONTROL_KEYS.voters);
  if (!stood)
    return failure('move voters', c.name, 'the fleet is not founded', 'refused', 'not-founded');
  const v = stood.value;
  if (v.next && !sameSet(v.next, next))
    return failure(
      'move voters',
      c.name,
      'another change of the voters is under way',
      'refused',
      'conflict',
    );
  if (v.next) return settleVoters(c, ports, stood.place, isOverdue, progress);
  const [g, r] = errorOrValue(
    await c.change({ kind: 'voters', voters: { now: v.now, next }, basedOn: stood.place.number }),
  );
  return g ? Left(g) : settleVoters(c, ports, r.place, isOverdue, progress);
}

function isNever(): boolean {
  return false;
}

/** Ends a joint set by going back to the one that stood before; all that was committed meanwhile has its majority, too. */
export async function revertVoterSet(
  c: Controller,
  stood: { place: Version; value: VoterSet },
): Promise<Result<VoterSet>> {
  return endJoint(c, stood.place.number, stood.value.now);
}

async function endJoint(c: Controller, number: number, now: Voter[]): Promise<Result<VoterSet>> {
  const [f] = errorOrValue(await c.change({ kind: 'voters', voters: { now }, basedOn: number }));
  return f ? Left(f) : Right({ now });
}

/** Brings the new disks all that the old set holds: votes first, then every key under both majorities, and each key that is committed by then to each new disk, by that disk's own word. Then the new set stands alone. Where a new disk replaces one that is gone for good and is overdue, it is not waited for: a majority of the new set has all by then, and the old set would bear no loss any more. */
async function settleVoters(
  c: Controller,
  ports: Ports,
  place: Version,
  isOverdue: () => boolean,
  progress: ReconfigurationProgress,
): Promise<Result<VoterSet>> {
  const times = makeStepTimes(ports.clock);
  beginProgress(progress, place.number);
  const settled = await settleInSteps(c, ports, place, isOverdue, progress, times.timed);
  const [f] = errorOrValue(settled);
  const fields = { step: 'settle voters', peer: c.name, number: place.number, ...times.took() };
  ports.logger.notice(fields, f ? `not settled at ${f.step} ${f.peer}: ${f.reason}` : 'settled');
  return settled;
}

async function settleInSteps(
  c: Controller,
  ports: Ports,
  place: Version,
  isOverdue: () => boolean,
  progress: ReconfigurationProgress,
  timed: StepTimes['timed'],
): Promise<Result<VoterSet>> {
  const [f, joint] = errorOrValue(await knownHere(c, ports, place));
  if (f) return Left(f);
  const { now, next } = joint;
  function isFresh(x: Voter): boolean {
    return !isVoter({ now }, x.disk);
  }
  function isOut(x: Voter): boolean {
    return !isVoter({ now: next }, x.disk);
  }
  const isRepair = now.length === next.length && now.filter(isOut).every(c.hasOtherDisk);
  if (!isRepair && !progress.isInEffect) {
    const [g] = errorOrValue(await timed('effectMs', inEffectAt(c, joint, place)));
    if (g) return Left({ ...g, step: 'tell the joint set' });
    progress.isInEffect = true;
  }
  const [h, held] = errorOrValue(await timed('gatherMs', gather(c, now, place)));
  if (h) return Left({ ...h, step: 'gather from the old set' });
  for (const x of next.filter(isFresh)) {
    const [g] = errorOrValue(await timed('votesMs', copyVotes(c, x, held.votes)));
    if (g) return Left(ofNewcomer(g));
  }
  const [i] = errorOrValue(await timed('keysMs', carryKeys(c, [...held.keys], progress.carried)));
  if (i) return Left(i);
  const upToDate = syncReplicas(replicating(c), next.filter(isFresh));
  const [j] = errorOrValue(await timed('upToDateMs', upToDate));
  if (j && !(isOverdue() && isRepair)) return Left(ofNewcomer(j));
  if (j)
    ports.logger.notice({ step: j.step, peer: j.peer }, `counts before it has all: ${j.reason}`);
  return endJoint(c, place.number, next);
}

function ofNewcomer(f: OperationError): OperationError {
  return f.code === 'disk' ? { ...f, code: NEW_VOTER_UNWRITABLE } : f;
}

function replicating(c: Controller): ReplicaSyncDependencies {
  function askVoter(v: Voter, type: string, body: unknown): Promise<Result<unknown>> {
    return c.requestVoter(v, type, body, c.timeLimits.requestTimeoutMs);
  }
  return { store: c.store, requestVoter: askVoter };
}

async function knownHere(
  c: Controller,
  ports: Ports,
  place: Version,
): Promise<Result<{ now: Voter[]; next: Voter[] }>> {
  for (let i = 0; (c.committedValue(CONTROL_KEYS.voters)?.place.number ?? 0) < place.number; i++) {
    if (i > 20)
      return failure(
        'move voters',
        c.name,
        'the joint set is not known here yet',
        'unknown',
        'pending',
      );
    await ports.clock.sleep(c.timeLimits.leaseRenewalMs * 0.1 * (i + 1));
  }
  const known = c.committedValue<VoterSet>(CONTROL_KEYS.voters)!;
  if (known.place.number !== place.number || !known.value.next)
    return failure('move voters', c.name, 'another change came first', 'refused', 'conflict');
  return Right({ now: known.value.now, next: known.value.next });
}

/** Comes back when no router goes by the old set alone. */
function inEffectAt(c: Controller, joint: VoterSet, place: Version): Promise<Result<unknown[]>> {
  const body = {
    key: CONTROL_KEYS.voters,
    epoch: place.epoch,
    by: place.by,
    number: place.number,
    within: c.timeLimits.effectTimeoutMs,
  };
  function one(v: Voter): Promise<Result<unknown>> {
    return c.requestVoter(v, 'effect', body, c.timeLimits.effectTimeoutMs * 1.1);
  }
  return pollVoters({ now: joint.now }, one);
}

interface Held {
  votes: Map<string, Vote>;
  keys: Set<string>;
}

/** What a majority of the old set holds; each first learns the joint set, so that it takes nothing more from an owner that goes by the old one. */
async function gather(c: Controller, now: Voter[], place: Version): Promise<Result<Held>> {
  const held: Held = { votes: new Map(), keys: new Set() };
  const change: VersionedValue = {
    key: CONTROL_KEYS.voters,
    epoch: place.epoch,
    by: place.by,
    number: place.number,
    value: c.committedValue(CONTROL_KEYS.voters)!.value,
  };
  async function pile(v: Voter, begins: string): Promise<Result<{ disk: string }>> {
    const [f, r] = errorOrValue(
      await c.requestVoter(v, 'held', { begins, some: true }, c.timeLimits.requestTimeoutMs),
    );
    if (f) return Left(f);
    const got = r as { disk: string; votes: Vote[]; keys: string[]; more?: boolean };
    for (const k of got.keys) held.keys.add(k);
    if (!got.more) for (const x of got.votes) held.votes.set(x.key, x);
    if (got.more) {
      for (const x of HEX) {
        const [g] = errorOrValue(await pile(v, begins + x));
        if (g) return Left(g);
      }
    }
    return Right({ disk: got.disk });
  }
  async function one(v: Voter): Promise<Result<{ disk: string }>> {
    const [f] = errorOrValue(
      await c.requestVoter(v, 'learn', { change }, c.timeLimits.requestTimeoutMs),
    );
    return f ? Left(f) : pile(v, '');
  }
  return (await pollVoters({ now }, one)).map(whole);
  function whole(): Held {
    return held;
  }
}

async function copyVotes(
  c: Controller,
  into: Voter,
  votes: Held['votes'],
): Promise<Result<unknown>> {
  const byPile = new Map<string, Vote[]>();
  for (const x of votes.values())
    byPile.set(x.key.slice(0, 2), [...(byPile.get(x.key.slice(0, 2)) ?? []), x]);
  for (const pile of byPile.values()) {
    const [f] = errorOrValue(
      await c.requestVoter(into, 'copy', pile, c.timeLimits.effectTimeoutMs),
    );
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
): Promise<Result<unknown>> {
  function isLeft(key: string): boolean {
    return key !== CONTROL_KEYS.voters && !carried.has(key);
  }
  async function carry(key: string): Promise<Result<unknown>> {
    const settled = await c.recommit(key);
    if (settled.isRight()) carried.add(key);
    return settled;
  }
  const rest = keys.filter(isLeft);
  for (let i = 0; i < rest.length; i += AT_ONCE) {
    for (const o of await Promise.all(rest.slice(i, i + AT_ONCE).map(carry))) {
      const [f] = errorOrValue(o);
      if (f) return Left(makeError(f.step, f.peer, f.reason, 'unknown', f.code));
    }
  }
  return Right(undefined);
}
