import { Right } from 'purify-ts';
import { LeaseRequest } from '../../src/control/leases/lease-messages';
import { LeaseRegistry } from '../../src/control/leases/lease-registry';
import { PeerHandlers } from '../../src/control/peer-handlers';
import { ControlStore } from '../../src/control/storage/control-store';
import { ChangeMessage } from '../../src/shared/replication/change-message';
import { PeerChannel } from '../../src/shared/transport/connections';
import { errorOrValue } from '../../src/shared/errors/errors';
import { FollowerHandlers } from '../../src/shared/replication/follower-handlers';
import { makeKeyJournal } from '../../src/shared/replication/key-journal';
import { Ports } from '../../src/shared/ports/ports';
import { timeLimitsOf } from '../../src/shared/settings/time-limits';
import { defaultSettings } from '../../src/shared/settings/settings';
import { Member } from '../../src/shared/state/members';
import { VersionedValue } from '../../src/shared/state/versions';
import { VoterSet } from '../../src/shared/state/voter-set';

interface Answer {
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

/** Leases over made-up slots and a clock that stands until it is moved. */
function rig(keys: number): {
  leases: LeaseRegistry;
  slots: ControlStore;
  learn: (n: VersionedValue) => void;
  move: (ms: number) => void;
  ask: (m: Partial<LeaseRequest> & { member: Member }, ex: PeerChannel) => Promise<Answer>;
} {
  const learned = makeKeyJournal();
  const slots = {
    diskId: 'd',
    registers: new Map(),
    learnedKeys: learned,
  } as unknown as ControlStore;
  let now = 0;
  function clockNow(): number {
    return now;
  }
  function move(ms: number): void {
    now += ms;
  }
  function learn(n: VersionedValue): void {
    slots.registers.set(n.key, { promised: { epoch: 1, by: 'core' }, learned: n });
    learned.add(n.key);
  }
  for (let i = 0; i < keys; i++) learn(numbered(`k${i}`, 1));
  const voters: VoterSet = { now: [{ disk: 'd', at: 'a' }] };
  function votersOf(): VoterSet {
    return voters;
  }
  const leases = new LeaseRegistry(
    slots,
    { clock: { now: clockNow }, logger: { warn: clockNow } } as unknown as Ports,
    timeLimitsOf(defaultSettings()),
    votersOf,
  );
  async function ask(
    m: Partial<LeaseRequest> & { member: Member },
    ex: PeerChannel,
  ): Promise<Answer> {
    const [, a] = errorOrValue(await leases.lease(m, ex));
    return a as Answer;
  }
  return { leases, slots, learn, move, ask };
}

function exchange(): PeerChannel {
  return {} as PeerChannel;
}

function hasOf(n: VersionedValue): [string, number, string, number] {
  return [n.key, n.epoch, n.by, n.number];
}

async function namesWhatChanged(): Promise<void> {
  const r = rig(2);
  const ex = exchange();
  const member = memberOf('edge-1');
  expect(
    await r.ask({ member, has: [hasOf(numbered('k0', 1)), hasOf(numbered('k1', 1))] }, ex),
  ).toMatchObject({ granted: true, members: [member] });
  expect(await r.ask({ member, deltas: true }, ex)).toEqual({
    granted: true,
    disk: 'd',
    missing: [],
  });
  r.learn(numbered('k1', 2));
  expect(await r.ask({ member, deltas: true }, ex)).toMatchObject({
    granted: false,
    missing: [numbered('k1', 2)],
  });
  expect(await r.ask({ member, deltas: true, changed: [hasOf(numbered('k1', 2))] }, ex)).toEqual({
    granted: true,
    disk: 'd',
    missing: [],
  });
  expect(await r.ask({ member, deltas: true }, ex)).toEqual({
    granted: true,
    disk: 'd',
    missing: [],
  });
}

async function checksAllAfterLong(): Promise<void> {
  const r = rig(1);
  const ex = exchange();
  const member = memberOf('edge-1');
  await r.ask({ member, has: [hasOf(numbered('k0', 1))] }, ex);
  r.learn(numbered('lost', 1));
  for (let i = 0; i < 20000; i++) r.learn(numbered('k0', 1));
  expect(await r.ask({ member, deltas: true }, ex)).toMatchObject({
    granted: false,
    missing: [numbered('lost', 1)],
  });
}

async function tellsWhoJoinedAndLeft(): Promise<void> {
  const r = rig(0);
  const ex = exchange();
  const other = exchange();
  const old = exchange();
  const [a, b, c] = [memberOf('a'), memberOf('b'), memberOf('c')];
  await r.ask({ member: a, has: [] }, ex);
  await r.ask({ member: b, has: [] }, other);
  expect(await r.ask({ member: { ...a }, deltas: true }, ex)).toEqual({
    granted: true,
    disk: 'd',
    missing: [],
    joined: [b],
    left: [],
  });
  await r.ask({ member: c, has: [] }, old);
  expect(await r.ask({ member: { ...a }, deltas: true }, ex)).toMatchObject({
    joined: [c],
    left: [],
  });
  expect(await r.ask({ member: { ...c } }, old)).toEqual({ granted: true, disk: 'd', missing: [] });
  await r.leases.leave({ member: b });
  expect(await r.ask({ member: { ...a }, deltas: true }, ex)).toMatchObject({
    joined: [],
    left: ['b one'],
  });
  expect(await r.ask({ member: { ...c } }, old)).toMatchObject({ members: [a, c] });
  r.move(timeLimitsOf(defaultSettings()).leaseExpiryMs - 1);
  await r.ask({ member: { ...a }, deltas: true }, ex);
  r.move(2);
  expect(await r.ask({ member: { ...a }, deltas: true }, ex)).toMatchObject({
    joined: [],
    left: ['c one'],
  });
  expect(r.leases.members()).toEqual([a]);
}

async function wholeOnAnotherStream(): Promise<void> {
  const r = rig(0);
  const member = memberOf('a');
  await r.ask({ member, has: [] }, exchange());
  const [f] = errorOrValue(await r.leases.lease({ member, deltas: true }, exchange()));
  expect(f?.code).toBe('tell-all');
}

async function learnedAfter(): Promise<void> {
  const r = rig(3);
  function unused(): never {
    throw new Error('not asked here');
  }
  const edge = new PeerHandlers({
    ownerId: 'life-1',
    store: r.slots,
    mayBootstrap: false,
    voters: unused,
    changeAsOwner: unused,
    isInProgress: unused,
    committedValues: unused,
    onCoreHint: unused,
    isUp: unused,
    wake: unused,
  });
  const first = (await edge.learnedAfter({ life: '', count: 0 })).extract() as {
    life: string;
    count: number;
  };
  expect(first).toEqual({ life: 'life-1', count: 3, has: undefined });
  expect(await edge.learnedAfter(first)).toEqual(Right({ life: 'life-1', count: 3, has: [] }));
  r.learn(numbered('k1', 2));
  r.learn(numbered('k1', 3));
  expect(await edge.learnedAfter(first)).toEqual(
    Right({ life: 'life-1', count: 5, has: [hasOf(numbered('k1', 3))] }),
  );
  expect(await edge.committed(['k1', 'none'])).toEqual(Right([numbered('k1', 3)]));
}

async function newsThatIsThere(): Promise<void> {
  const held = numbered('k0', 3);
  const took: VersionedValue[] = [];
  function take(list: VersionedValue[]): boolean {
    took.push(...list);
    return true;
  }
  function none(): undefined {
    return undefined;
  }
  function heldOf(): VersionedValue {
    return held;
  }
  const edge = new FollowerHandlers({
    apply: take,
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
  expect(await edge.changes([{ kind: 'delta', delta }], exchange())).toEqual(
    Right({ lacking: [] }),
  );
  const later = { ...delta, number: 5, base: { epoch: 1, by: 'core', number: 4 } };
  expect(await edge.changes([{ kind: 'delta', delta: later }], exchange())).toEqual(
    Right({ lacking: [hasOf(held)] }),
  );
  expect(took).toEqual([]);
}

test(
  'a difference that another controller has brought already is not asked for whole',
  newsThatIsThere,
);
test('a renewal names and checks only what changed', namesWhatChanged);
test('a node that was told of too long ago is checked whole', checksAllAfterLong);
test(
  'members are told as who joined and who left, and whole to one that asks as before',
  tellsWhoJoinedAndLeft,
);
test('a renewal in short on another connection is asked to tell all', wholeOnAnotherStream);
test('controllers tell what they learned after a count of their life', learnedAfter);

/** A follower that can't read a difference is sent the whole next, and no further message. */
async function unreadableIsSentWhole(): Promise<void> {
  const r = rig(0);
  const kinds: string[] = [];
  const base = largeValue(1);
  async function ask(type: string, body: unknown): Promise<unknown> {
    if (type !== 'changes') return Right(true);
    const [message] = body as ChangeMessage[];
    kinds.push(message.kind);
    return Right({ lacking: message.kind === 'delta' ? [hasOf(base)] : [] });
  }
  const ex = { request: ask } as unknown as PeerChannel;
  r.learn(base);
  r.leases.publish(base);
  await r.ask({ member: memberOf('edge-1'), has: [hasOf(base)] }, ex);
  const later = largeValue(2);
  r.learn(later);
  r.leases.publish(later);
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

test('a difference that a follower can not read is followed by the whole', unreadableIsSentWhole);
