/** Faulty variants of the control code, made by wrapping it, by which each invariant is seen to catch. */
import { Right } from 'purify-ts';
import { ChangeResult } from '../../src/control/configuration/change-coordinator';
import { ReadDependencies } from '../../src/control/consensus/linearizable-read';
import { VoterTransport } from '../../src/control/consensus/voter-transport';
import { KeyOwner } from '../../src/control/consensus/key-owner';
import { LogEntry, ControlStore } from '../../src/control/storage/control-store';
import { OperationError, Result } from '../../src/shared/errors/errors';
import { ErrorCode } from '../../src/shared/errors/error-codes';
import { Disk } from '../../src/shared/ports/disk';
import { Delta } from '../../src/shared/replication/delta';
import { applyPatch } from '../../src/shared/replication/patch';
import { VersionedValue } from '../../src/shared/state/versions';
import { Voter, VoterSet } from '../../src/shared/state/voter-set';
import { InvariantName } from './invariants';

/** One mechanism left out; what is absent stays as it is. */
export interface Mutation {
  /** The invariant that is to catch it, alone. */
  breaks?: InvariantName;
  summary: string;
  ownerName?: (node: string) => string;
  disk?: (disk: Disk) => Disk;
  slots?: (slots: ControlStore) => ControlStore;
  ownerReach?: (reach: VoterTransport, slots: ControlStore) => VoterTransport;
  changesOwner?: (owner: KeyOwner) => KeyOwner;
  /** The owner by which a change of the voters commits the keys anew. */
  carryingOwner?: (owner: KeyOwner) => KeyOwner;
  reads?: (parts: ReadDependencies) => ReadDependencies;
  /** Whether no order is answered by a read: what its owner does wrong is then not hidden by one that went before. */
  withoutVerdictsByRead?: boolean;
  handle?: (
    slots: ControlStore,
    type: string,
    body: unknown,
    unchanged: () => Promise<Result<unknown>>,
  ) => Promise<Result<unknown>>;
  answer?: (o: Result<ChangeResult>) => Result<ChangeResult>;
}

/** More turns than a handler takes that waits for no disk. */
const MICROTASK_TURNS = 20;

interface PrepareBody {
  key: string;
  epoch: number;
  by: string;
}

interface PrepareAnswer {
  ok: boolean;
  accepted?: VersionedValue;
}

/** An acceptor that answers before its sync. */
function unsyncedSlots(slots: ControlStore): ControlStore {
  function put(line: LogEntry): Promise<Result<void>> {
    void slots.put(line);
    return Promise.resolve(Right(undefined));
  }
  return { ...slots, put };
}

/** A disk whose whole files count as written before they are synced. */
function unsyncedWrites(disk: Disk): Disk {
  function write(name: string, bytes: Uint8Array): Promise<Result<void>> {
    void disk.write(name, bytes);
    return Promise.resolve(Right(undefined));
  }
  return { ...disk, write };
}

/** Grants an epoch that was granted already. */
async function grantEqual(
  slots: ControlStore,
  type: string,
  body: unknown,
  unchanged: () => Promise<Result<unknown>>,
): Promise<Result<unknown>> {
  const { key, epoch, by } = body as PrepareBody;
  const cell = slots.registers.get(key);
  if (type !== 'prepare' || cell?.promised.epoch !== epoch) return unchanged();
  const promised = { epoch, by };
  return (await slots.put({ key, promised })).map(granted);
  function granted(): unknown {
    return { ok: true, seen: promised, accepted: cell?.accepted };
  }
}

/** Accepts under an epoch lower than the promised one. */
async function acceptAny(
  slots: ControlStore,
  type: string,
  body: unknown,
  unchanged: () => Promise<Result<unknown>>,
): Promise<Result<unknown>> {
  if (type !== 'accept') return unchanged();
  const { change } = body as { change: VersionedValue };
  const promised = { epoch: change.epoch, by: change.by };
  return (await slots.put({ key: change.key, promised, accepted: change })).map(taken);
  function taken(): unknown {
    return { ok: true, seen: promised };
  }
}

/** Changes the answers to an owner's prepares. */
function changedPrepares(
  reach: VoterTransport,
  change: (body: PrepareBody, answer: PrepareAnswer) => PrepareAnswer,
): VoterTransport {
  async function ask(
    v: Voter,
    type: string,
    body: unknown,
    within: number,
  ): Promise<Result<unknown>> {
    const o = await reach.request(v, type, body, within);
    function changed(answer: unknown): unknown {
      return change(body as PrepareBody, answer as PrepareAnswer);
    }
    return type === 'prepare' ? o.map(changed) : o;
  }
  return { ...reach, request: ask };
}

function withoutAccepted(_body: PrepareBody, answer: PrepareAnswer): PrepareAnswer {
  return { ...answer, accepted: undefined };
}

/** An owner that adopts nothing of what was accepted before it. */
function adoptNothing(reach: VoterTransport): VoterTransport {
  return changedPrepares(reach, withoutAccepted);
}

/** An owner that adopts the first accepted value that it is told of. */
function adoptFirst(reach: VoterTransport): VoterTransport {
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
function ownDiskOnly(reach: VoterTransport, slots: ControlStore): VoterTransport {
  function voters(): VoterSet | undefined {
    const set = reach.voters();
    return set && { now: set.now.filter(isOwn) };
  }
  function isOwn(v: Voter): boolean {
    return v.disk === slots.diskId;
  }
  return { ...reach, voters };
}

/** A change of the voters that commits no key anew for the new disks. */
function carryNothing(owner: KeyOwner): KeyOwner {
  function own(): ReturnType<KeyOwner['acquire']> {
    return Promise.resolve(Right(undefined));
  }
  return { ...owner, acquire: own, reacquire: own };
}

/** A read that goes by what is learned here. */
function readHere(parts: ReadDependencies): ReadDependencies {
  function askVoter(v: Voter): Promise<Result<unknown>> {
    return Promise.resolve(Right({ disk: v.disk }));
  }
  return { ...parts, requestVoter: askVoter };
}

/** An owner that remembers no order. */
function forgetOrders(owner: KeyOwner): KeyOwner {
  function change(
    ...[key, make, tries]: Parameters<KeyOwner['change']>
  ): ReturnType<KeyOwner['change']> {
    function makeForgetful(now: VersionedValue | undefined): Result<unknown> {
      return make(now && { ...now, value: { ...(now.value as object), taken: [] } });
    }
    return owner.change(key, makeForgetful, tries);
  }
  return { ...owner, change };
}

/** Changes the faults whose fate is open. */
function changedDoubt(o: Result<ChangeResult>, code?: ErrorCode): Result<ChangeResult> {
  return o.mapLeft(refused);
  function refused(fault: OperationError): OperationError {
    return fault.certainty === 'unknown'
      ? { ...fault, certainty: 'refused', code: code ?? fault.code }
      : fault;
  }
}

/** An answer that tells what is in doubt as a lost race. */
function doubtIsConflict(o: Result<ChangeResult>): Result<ChangeResult> {
  return changedDoubt(o, 'conflict');
}

/** An answer that tells what is in doubt in class refused. */
function doubtIsRefused(o: Result<ChangeResult>): Result<ChangeResult> {
  return changedDoubt(o);
}

/** An owner whose name is that of its node, in every life. */
function nodeName(node: string): string {
  return node;
}

/** An owner that gives each change the number 1. */
function numberOne(reach: VoterTransport): VoterTransport {
  function ask(v: Voter, type: string, body: unknown, within: number): Promise<Result<unknown>> {
    if (type !== 'accept') return reach.request(v, type, body, within);
    const { change, ...rest } = body as { change: VersionedValue };
    return reach.request(v, type, { ...rest, change: { ...change, number: 1 } }, within);
  }
  return { ...reach, request: ask };
}

/** Reads a difference over whatever value is learned here, and looks at neither its base nor its digest. */
async function readOverAny(
  slots: ControlStore,
  type: string,
  body: unknown,
  unchanged: () => Promise<Result<unknown>>,
): Promise<Result<unknown>> {
  if (type !== 'accept-delta') return unchanged();
  const { delta } = body as { delta: Delta };
  const { key, epoch, by, number } = delta;
  const cell = slots.registers.get(key);
  if (!cell?.learned || cell.promised.epoch > epoch) return unchanged();
  const value = applyPatch(cell.learned.value, delta.patch);
  const promised = { epoch, by };
  const accepted = { key, epoch, by, number, value };
  return (await slots.put({ key, promised, accepted })).map(taken);
  function taken(): unknown {
    return { ok: true, seen: promised };
  }
}

/** A founder that confirms a bootstrap before it is synced. */
async function confirmUnsynced(
  _slots: ControlStore,
  type: string,
  _body: unknown,
  unchanged: () => Promise<Result<unknown>>,
): Promise<Result<unknown>> {
  const reply = unchanged();
  if (type !== 'found') return reply;
  return Promise.race([reply, afterMicrotasks<Result<unknown>>(Right(true))]);
}

/** A founder that confirms each bootstrap that it is told of. */
async function confirmEach(
  slots: ControlStore,
  type: string,
  body: unknown,
  unchanged: () => Promise<Result<unknown>>,
): Promise<Result<unknown>> {
  return type === 'found' ? slots.recordBootstrap(body) : unchanged();
}

/** A disk that votes for a run before its vote is synced. */
async function voteUnsynced(
  slots: ControlStore,
  type: string,
  body: unknown,
  unchanged: () => Promise<Result<unknown>>,
): Promise<Result<unknown>> {
  if (type !== 'vote') return unchanged();
  const { run } = body as { run: string };
  const first = Symbol('unsynced');
  const reply = await Promise.race([unchanged(), afterMicrotasks(first)]);
  return reply === first ? Right({ disk: slots.diskId, run, state: 'running' }) : reply;
}

/** Comes back once what needs no disk has come back. */
async function afterMicrotasks<T>(value: T): Promise<T> {
  for (let turn = 0; turn < MICROTASK_TURNS; turn++) await Promise.resolve();
  return value;
}

/** A disk that votes for each run that asks. */
async function voteForAll(
  slots: ControlStore,
  type: string,
  body: unknown,
  unchanged: () => Promise<Result<unknown>>,
): Promise<Result<unknown>> {
  if (type !== 'vote') return unchanged();
  const { run } = body as { run: string };
  return (await unchanged()).map(given);
  function given(): unknown {
    return { disk: slots.diskId, run, state: 'running' };
  }
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
  'delta-base': {
    breaks: 'one-value',
    summary: 'a difference is read over whatever value is there',
    handle: readOverAny,
  },
  'synced-bootstrap': {
    breaks: 'bootstrap-kept',
    summary: 'a founder confirms a bootstrap before it is synced',
    handle: confirmUnsynced,
  },
  'first-bootstrap': {
    breaks: 'bootstrap-kept',
    summary: 'a founder confirms each bootstrap that it is told of',
    handle: confirmEach,
  },
  'bootstrap-majority': {
    breaks: 'one-bootstrap',
    summary: 'a founder commits the first voter set at its own disk alone',
    ownerReach: ownDiskOnly,
  },
  'one-vote': {
    breaks: 'one-run',
    summary: 'a disk votes for each run that asks for a key',
    handle: voteForAll,
  },
  'synced-votes': {
    breaks: 'one-run',
    summary: 'a disk answers with its vote before that is synced',
    handle: voteUnsynced,
  },
  'slot-sync': {
    breaks: 'disk-stays',
    summary: 'a slot counts as written before it is synced',
    disk: unsyncedWrites,
  },
};

/** The control code as it is. */
export const UNCHANGED: Mutation = { summary: 'nothing is left out' };
