import { Right } from 'purify-ts';
import { LeaseRequest } from '../../src/control/leases/lease-messages';
import { LeaseRegistry } from '../../src/control/leases/lease-registry';
import { PeerHandlers } from '../../src/control/peer-handlers';
import { ControlStore } from '../../src/control/storage/control-store';
import { AppliedEntry, ChangeMessage } from '../../src/shared/replication/change-message';
import { PeerChannel } from '../../src/shared/transport/peer-channel';
import { errorOrValue } from '../../src/shared/errors/errors';
import { FollowerHandlers } from '../../src/shared/replication/follower-handlers';
import { makeKeyJournal } from '../../src/shared/replication/key-journal';
import { Ports } from '../../src/shared/ports/ports';
import { timeLimitsOf } from '../../src/shared/settings/time-limits';
import { defaultSettings } from '../../src/shared/settings/settings';
import { Member } from '../../src/shared/state/members';
import { VersionedValue } from '../../src/shared/state/versions';
import { VoterSet } from '../../src/shared/state/voter-set';

interface Reply {
  granted: boolean;
  missing: VersionedValue[];
  voters?: VoterSet;
  members?: Member[];
  joined?: Member[];
  left?: string[];
}

function numbered(key: string, number: number): VersionedValue {
  return { key, epoch: 1, by: 'core', number, value: `${key} ${number}` };
}

function memberOf(name: string): Member {
  return { name, role: 'router', at: '', http: '', zone: 'z', life: 'one' };
}

/** Leases over a store that is made up, and a clock that stands until it is moved. */
function makeRig(keys: number): {
  leases: LeaseRegistry;
  store: ControlStore;
  learn: (change: VersionedValue) => void;
  move: (ms: number) => void;
  ask: (
    request: Partial<LeaseRequest> & { member: Member },
    channel: PeerChannel,
  ) => Promise<Reply>;
} {
  const learnedKeys = makeKeyJournal();
  const store = {
    diskId: 'd',
    registers: new Map(),
    learnedKeys,
  } as unknown as ControlStore;
  let now = 0;
  function clockNow(): number {
    return now;
  }
  function move(ms: number): void {
    now += ms;
  }
  function learn(change: VersionedValue): void {
    store.registers.set(change.key, { promised: { epoch: 1, by: 'core' }, learned: change });
    learnedKeys.add(change.key);
  }
  for (let i = 0; i < keys; i++) learn(numbered(`k${i}`, 1));
  const voters: VoterSet = { now: [{ disk: 'd', at: 'a' }] };
  function votersOf(): VoterSet {
    return voters;
  }
  const leases = new LeaseRegistry(
    store,
    { clock: { now: clockNow }, logger: { warn: clockNow } } as unknown as Ports,
    timeLimitsOf(defaultSettings()),
    votersOf,
  );
  async function ask(
    request: Partial<LeaseRequest> & { member: Member },
    channel: PeerChannel,
  ): Promise<Reply> {
    const [, reply] = errorOrValue(await leases.lease(request, channel));
    return reply as Reply;
  }
  return { leases, store, learn, move, ask };
}

function makeChannel(): PeerChannel {
  return {} as PeerChannel;
}

function appliedEntry(change: VersionedValue): AppliedEntry {
  return [change.key, change.epoch, change.by, change.number];
}

async function namesWhatChanged(): Promise<void> {
  const rig = makeRig(2);
  const channel = makeChannel();
  const member = memberOf('edge-1');
  expect(
    await rig.ask(
      { member, has: [appliedEntry(numbered('k0', 1)), appliedEntry(numbered('k1', 1))] },
      channel,
    ),
  ).toMatchObject({ granted: true, members: [member] });
  expect(await rig.ask({ member, deltas: true }, channel)).toEqual({
    granted: true,
    disk: 'd',
    missing: [],
  });
  rig.learn(numbered('k1', 2));
  expect(await rig.ask({ member, deltas: true }, channel)).toMatchObject({
    granted: false,
    missing: [numbered('k1', 2)],
  });
  expect(
    await rig.ask({ member, deltas: true, changed: [appliedEntry(numbered('k1', 2))] }, channel),
  ).toEqual({
    granted: true,
    disk: 'd',
    missing: [],
  });
  expect(await rig.ask({ member, deltas: true }, channel)).toEqual({
    granted: true,
    disk: 'd',
    missing: [],
  });
}

async function checksAllAfterLong(): Promise<void> {
  const rig = makeRig(1);
  const channel = makeChannel();
  const member = memberOf('edge-1');
  await rig.ask({ member, has: [appliedEntry(numbered('k0', 1))] }, channel);
  rig.learn(numbered('lost', 1));
  for (let i = 0; i < 20000; i++) rig.learn(numbered('k0', 1));
  expect(await rig.ask({ member, deltas: true }, channel)).toMatchObject({
    granted: false,
    missing: [numbered('lost', 1)],
  });
}

async function sendsMembershipDeltas(): Promise<void> {
  const rig = makeRig(0);
  const channel = makeChannel();
  const other = makeChannel();
  const third = makeChannel();
  const [a, b, c] = [memberOf('a'), memberOf('b'), memberOf('c')];
  await rig.ask({ member: a, has: [] }, channel);
  await rig.ask({ member: b, has: [] }, other);
  expect(await rig.ask({ member: { ...a }, deltas: true }, channel)).toEqual({
    granted: true,
    disk: 'd',
    missing: [],
    joined: [b],
    left: [],
  });
  await rig.ask({ member: c, has: [] }, third);
  expect(await rig.ask({ member: { ...a }, deltas: true }, channel)).toMatchObject({
    joined: [c],
    left: [],
  });
  expect(await rig.ask({ member: { ...c } }, third)).toEqual({
    granted: true,
    disk: 'd',
    missing: [],
  });
  await rig.leases.leave({ member: b });
  expect(await rig.ask({ member: { ...a }, deltas: true }, channel)).toMatchObject({
    joined: [],
    left: ['b one'],
  });
  expect(await rig.ask({ member: { ...c } }, third)).toMatchObject({ members: [a, c] });
  rig.move(timeLimitsOf(defaultSettings()).leaseExpiryMs - 1);
  await rig.ask({ member: { ...a }, deltas: true }, channel);
  rig.move(2);
  expect(await rig.ask({ member: { ...a }, deltas: true }, channel)).toMatchObject({
    joined: [],
    left: ['c one'],
  });
  expect(rig.leases.members()).toEqual([a]);
}

async function completeOnAnotherChannel(): Promise<void> {
  const rig = makeRig(0);
  const member = memberOf('a');
  await rig.ask({ member, has: [] }, makeChannel());
  const [error] = errorOrValue(await rig.leases.lease({ member, deltas: true }, makeChannel()));
  expect(error?.code).toBe('tell-all');
}

async function learnedAfter(): Promise<void> {
  const rig = makeRig(3);
  function unused(): never {
    throw new Error('not asked here');
  }
  const handlers = new PeerHandlers({
    ownerId: 'life-1',
    store: rig.store,
    mayBootstrap: false,
    voters: unused,
    changeAsOwner: unused,
    isInProgress: unused,
    committedValues: unused,
    onCoreHint: unused,
    isUp: unused,
    wake: unused,
  });
  const first = (await handlers.learnedAfter({ life: '', count: 0 })).extract() as {
    life: string;
    count: number;
  };
  expect(first).toEqual({ life: 'life-1', count: 3, has: undefined });
  expect(await handlers.learnedAfter(first)).toEqual(Right({ life: 'life-1', count: 3, has: [] }));
  rig.learn(numbered('k1', 2));
  rig.learn(numbered('k1', 3));
  expect(await handlers.learnedAfter(first)).toEqual(
    Right({ life: 'life-1', count: 5, has: [appliedEntry(numbered('k1', 3))] }),
  );
  expect(await handlers.committed(['k1', 'none'])).toEqual(Right([numbered('k1', 3)]));
}

async function knownDifference(): Promise<void> {
  const held = numbered('k0', 3);
  const applied: VersionedValue[] = [];
  function apply(list: VersionedValue[]): boolean {
    applied.push(...list);
    return true;
  }
  function none(): undefined {
    return undefined;
  }
  function heldOf(): VersionedValue {
    return held;
  }
  const handlers = new FollowerHandlers({
    apply,
    appliedVersion: heldOf,
    fetchOffer: none,
    coreLocation: none,
    onCoreFound: none,
    onEnginesDraining: none,
  });
  const delta = {
    key: 'k0',
    epoch: 1,
    by: 'core',
    number: 3,
    base: { epoch: 1, by: 'core', number: 2 },
    patch: { put: 'k0 3' },
    sum: '',
  };
  expect(await handlers.changes([{ kind: 'delta', delta }], makeChannel())).toEqual(
    Right({ lacking: [] }),
  );
  const later = { ...delta, number: 5, base: { epoch: 1, by: 'core', number: 4 } };
  expect(await handlers.changes([{ kind: 'delta', delta: later }], makeChannel())).toEqual(
    Right({ lacking: [appliedEntry(held)] }),
  );
  expect(applied).toEqual([]);
}

test(
  'a difference that another controller has brought already is not asked for in full',
  knownDifference,
);
test('a renewal names and checks only what changed', namesWhatChanged);
test('a node whose last request is too long ago is checked in full', checksAllAfterLong);
test(
  'members are sent as who joined and who left, and in full to one that asks as before',
  sendsMembershipDeltas,
);
test(
  'a renewal in short on another channel is refused: it must name all versions',
  completeOnAnotherChannel,
);
test('controllers list what they learned after a count of their incarnation', learnedAfter);

/** A follower that can't read a difference is sent the full value next, and no further message. */
async function unreadableIsSentInFull(): Promise<void> {
  const rig = makeRig(0);
  const kinds: string[] = [];
  const base = largeValue(1);
  function ask(type: string, body: unknown): Promise<unknown> {
    if (type !== 'changes') return Promise.resolve(Right(true));
    const [message] = body as ChangeMessage[];
    kinds.push(message.kind);
    return Promise.resolve(
      Right({ lacking: message.kind === 'delta' ? [appliedEntry(base)] : [] }),
    );
  }
  const channel = { request: ask } as unknown as PeerChannel;
  rig.learn(base);
  rig.leases.publish(base);
  await rig.ask({ member: memberOf('edge-1'), has: [appliedEntry(base)] }, channel);
  const later = largeValue(2);
  rig.learn(later);
  rig.leases.publish(later);
  for (let i = 0; i < 50; i++) await Promise.resolve();
  expect(kinds).toEqual(['delta', 'compressed']);
}

function largeValue(number: number): VersionedValue {
  const items = Array.from({ length: 200 }, itemOf);
  function itemOf(_: unknown, i: number): object {
    return { name: `item-${i}`, at: i === 7 ? number : 0 };
  }
  return { ...numbered('large', number), value: items };
}

test(
  'a difference that a follower can not read is followed by the full value',
  unreadableIsSentInFull,
);
