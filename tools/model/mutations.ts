/** Faulty variants of the control code, made by wrapping it, by which each invariant is seen to catch. */
import { Right } from 'purify-ts';
import { Changed } from '../../src/control/configuration/change-coordinator';
import { ReadParts } from '../../src/control/consensus/linearizable-read';
import { Reach } from '../../src/control/consensus/acceptor';
import { Owner } from '../../src/control/consensus/key-owner';
import { Line, Slots } from '../../src/control/storage/control-store';
import { Fault, Outcome } from '../../src/shared/errors/errors';
import { Disk } from '../../src/shared/ports/ports';
import { Numbered, Voter, Voters } from '../../src/shared/state/words';
import { InvariantName } from './invariants';

/** One mechanism left out; what is absent stays as it is. */
export interface Mutation {
  /** The invariant that is to catch it, alone. */
  breaks?: InvariantName;
  summary: string;
  ownerName?(node: string): string;
  disk?(disk: Disk): Disk;
  slots?(slots: Slots): Slots;
  ownerReach?(reach: Reach, slots: Slots): Reach;
  changesOwner?(owner: Owner): Owner;
  /** The owner by which a change of the voters commits the keys anew. */
  carryingOwner?(owner: Owner): Owner;
  reads?(parts: ReadParts): ReadParts;
  /** Whether no order is answered by a read: what its owner does wrong is then not hidden by one that went before. */
  withoutVerdictsByRead?: boolean;
  handle?(
    slots: Slots,
    type: string,
    body: unknown,
    unchanged: () => Promise<Outcome<unknown>>,
  ): Promise<Outcome<unknown>>;
  answer?(o: Outcome<Changed>): Outcome<Changed>;
}

interface PrepareBody {
  key: string;
  epoch: number;
  by: string;
}

interface PrepareAnswer {
  ok: boolean;
  accepted?: Numbered;
}

/** An acceptor that answers before its sync. */
function unsyncedSlots(slots: Slots): Slots {
  async function put(line: Line): Promise<Outcome<void>> {
    void slots.put(line);
    return Right(undefined);
  }
  return { ...slots, put };
}

/** A disk whose whole files count as written before they are synced. */
function unsyncedWrites(disk: Disk): Disk {
  async function write(name: string, bytes: Uint8Array): Promise<Outcome<void>> {
    void disk.write(name, bytes);
    return Right(undefined);
  }
  return { ...disk, write };
}

/** Grants an epoch that was granted already. */
async function grantEqual(
  slots: Slots,
  type: string,
  body: unknown,
  unchanged: () => Promise<Outcome<unknown>>,
): Promise<Outcome<unknown>> {
  const { key, epoch, by } = body as PrepareBody;
  const cell = slots.cells.get(key);
  if (type !== 'prepare' || cell?.promised.epoch !== epoch) return unchanged();
  const promised = { epoch, by };
  return (await slots.put({ key, promised })).map(granted);
  function granted(): unknown {
    return { ok: true, seen: promised, accepted: cell?.accepted };
  }
}

/** Accepts under an epoch lower than the promised one. */
async function acceptAny(
  slots: Slots,
  type: string,
  body: unknown,
  unchanged: () => Promise<Outcome<unknown>>,
): Promise<Outcome<unknown>> {
  if (type !== 'accept') return unchanged();
  const { change } = body as { change: Numbered };
  const promised = { epoch: change.epoch, by: change.by };
  return (await slots.put({ key: change.key, promised, accepted: change })).map(taken);
  function taken(): unknown {
    return { ok: true, seen: promised };
  }
}

/** Changes the answers to an owner's prepares. */
function changedPrepares(
  reach: Reach,
  change: (body: PrepareBody, answer: PrepareAnswer) => PrepareAnswer,
): Reach {
  async function ask(
    v: Voter,
    type: string,
    body: unknown,
    within: number,
  ): Promise<Outcome<unknown>> {
    const o = await reach.ask(v, type, body, within);
    function changed(answer: unknown): unknown {
      return change(body as PrepareBody, answer as PrepareAnswer);
    }
    return type === 'prepare' ? o.map(changed) : o;
  }
  return { ...reach, ask };
}

function withoutAccepted(_body: PrepareBody, answer: PrepareAnswer): PrepareAnswer {
  return { ...answer, accepted: undefined };
}

/** An owner that adopts nothing of what was accepted before it. */
function adoptNothing(reach: Reach): Reach {
  return changedPrepares(reach, withoutAccepted);
}

/** An owner that adopts the first accepted value that it is told of. */
function adoptFirst(reach: Reach): Reach {
  const adopted = new Set<string>();
  function firstOnly(body: PrepareBody, answer: PrepareAnswer): PrepareAnswer {
    const round = `${body.key} ${body.epoch}`;
    if (!answer.accepted) return answer;
    if (adopted.has(round)) return withoutAccepted(body, answer);
    adopted.add(round);
    return answer;
  }
  return changedPrepares(reach, firstOnly);
}

/** An owner for which its own disk is majority enough. */
function ownDiskOnly(reach: Reach, slots: Slots): Reach {
  function voters(): Voters | undefined {
    const set = reach.voters();
    return set && { now: set.now.filter(isOwn) };
  }
  function isOwn(v: Voter): boolean {
    return v.disk === slots.disk;
  }
  return { ...reach, voters };
}

/** A change of the voters that commits no key anew for the new disks. */
function carryNothing(owner: Owner): Owner {
  async function own(): ReturnType<Owner['own']> {
    return Right(undefined);
  }
  return { ...owner, own, ownAnew: own };
}

/** A read that goes by what is learned here. */
function readHere(parts: ReadParts): ReadParts {
  async function askVoter(v: Voter): Promise<Outcome<unknown>> {
    return Right({ disk: v.disk });
  }
  return { ...parts, askVoter };
}

/** An owner that remembers no order. */
function forgetOrders(owner: Owner): Owner {
  function change(...[key, make, tries]: Parameters<Owner['change']>): ReturnType<Owner['change']> {
    function makeForgetful(now: Numbered | undefined): Outcome<unknown> {
      return make(now && { ...now, value: { ...(now.value as object), taken: [] } });
    }
    return owner.change(key, makeForgetful, tries);
  }
  return { ...owner, change };
}

/** Changes the faults whose fate is open. */
function changedDoubt(o: Outcome<Changed>, code?: string): Outcome<Changed> {
  return o.mapLeft(refused);
  function refused(fault: Fault): Fault {
    return fault.sort === 'unknown'
      ? { ...fault, sort: 'refused', code: code ?? fault.code }
      : fault;
  }
}

/** An answer that tells what is in doubt as a lost race. */
function doubtIsConflict(o: Outcome<Changed>): Outcome<Changed> {
  return changedDoubt(o, 'conflict');
}

/** An answer that tells what is in doubt in class refused. */
function doubtIsRefused(o: Outcome<Changed>): Outcome<Changed> {
  return changedDoubt(o);
}

/** An owner whose name is that of its node, in every life. */
function nodeName(node: string): string {
  return node;
}

/** An owner that gives each change the number 1. */
function numberOne(reach: Reach): Reach {
  function ask(v: Voter, type: string, body: unknown, within: number): Promise<Outcome<unknown>> {
    if (type !== 'accept') return reach.ask(v, type, body, within);
    const { change, ...rest } = body as { change: Numbered };
    return reach.ask(v, type, { ...rest, change: { ...change, number: 1 } }, within);
  }
  return { ...reach, ask };
}

/** The mutations by the name of what is left out. */
export const MUTATIONS: Record<string, Mutation> = {
  'sync-first': {
    breaks: 'majority-holds',
    summary: 'an acceptor answers before its sync',
    slots: unsyncedSlots,
  },
  'rising-epochs': {
    breaks: 'promises-rise',
    summary: 'a prepare grants an epoch that was granted already',
    handle: grantEqual,
  },
  numbering: {
    breaks: 'one-value',
    summary: 'an owner gives each change the number 1',
    ownerReach: numberOne,
  },
  'own-epochs': {
    breaks: 'promises-rise',
    summary: 'an epoch is granted again, and an owner has one name for all its lives',
    handle: grantEqual,
    ownerName: nodeName,
  },
  'promise-kept': {
    breaks: 'promises-rise',
    summary: 'an acceptor takes changes of lower epochs than it promised',
    handle: acceptAny,
  },
  'highest-accepted': {
    breaks: 'owner-not-behind',
    withoutVerdictsByRead: true,
    summary: 'an owner adopts the first accepted value instead of the highest',
    ownerReach: adoptFirst,
  },
  adoption: {
    breaks: 'one-per-base',
    withoutVerdictsByRead: true,
    summary: 'an owner adopts nothing that was accepted before it',
    ownerReach: adoptNothing,
  },
  majority: {
    breaks: 'majority-holds',
    summary: 'an owner is content with its own disk',
    ownerReach: ownDiskOnly,
  },
  'carried-keys': {
    breaks: 'majority-holds',
    summary: 'a change of the voters commits no key anew for the new disks',
    carryingOwner: carryNothing,
  },
  'read-majority': {
    breaks: 'acknowledged-kept',
    summary: 'a read asks no majority',
    reads: readHere,
  },
  'verdict-majority': {
    breaks: 'taken-stays-taken',
    summary: 'a verdict that is given by a read asks no majority',
    reads: readHere,
  },
  'order-memory': {
    breaks: 'taken-stays-taken',
    withoutVerdictsByRead: true,
    summary: 'the memory of taken orders holds none',
    changesOwner: forgetOrders,
  },
  doubt: {
    breaks: 'refused-stays-out',
    summary: 'an order whose fate is open is told as a lost race',
    answer: doubtIsConflict,
  },
  'doubt-class': {
    breaks: 'class-refused-stays-out',
    summary: 'an order whose fate is open is told in class refused',
    answer: doubtIsRefused,
  },
  'slot-sync': {
    breaks: 'disk-stays',
    summary: 'a slot counts as written before it is synced',
    disk: unsyncedWrites,
  },
};

/** The control code as it is. */
export const UNCHANGED: Mutation = { summary: 'nothing is left out' };
