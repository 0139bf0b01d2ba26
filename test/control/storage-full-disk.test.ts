/**
 * A disk that is full, or hangs, from any write on.
 */

import { isDeepStrictEqual } from 'node:util';
import { Acceptor } from '../../src/control/consensus/acceptor';
import { openControlStore, ControlStore } from '../../src/control/storage/control-store';
import { StoredVotes, readStoredVotes } from '../../src/control/storage/vote-files';
import { IdempotencyVotes } from '../../src/control/storage/idempotency-votes';
import { dispatch } from '../../src/shared/transport/message-handlers';
import { failure, errorOrValue, Result } from '../../src/shared/errors/errors';
import { VersionedValue } from '../../src/shared/state/versions';
import { VoterSet } from '../../src/shared/state/voter-set';
import { makeNet, SimNet } from '../../tools/sim/simwire';
import { makeWorld, World } from '../../tools/sim/simworld';
import { Proc } from '../../tools/sim/process';

/** The log is short here, so that slots take turns often. */
const MAX_LOG_BYTES = 1200;
/** A disk that hangs is opened all the same after this. */
const OPEN_TIMEOUT_MS = 500;

async function runUntilSettled<T>(
  world: World,
  promise: Promise<T>,
  most = 5000,
): Promise<T | undefined> {
  let got: { v: T } | undefined;
  function onSettled(value: T): void {
    got = { v: value };
  }
  void promise.then(onSettled);
  for (let i = 0; i < most && !got; i++) await world.run(world.now() + 1);
  return got?.v;
}

interface Machine {
  world: World;
  net: SimNet;
  process: Proc;
}

function makeMachine(seed: number): Machine {
  const world = makeWorld(seed, false);
  return { world, net: makeNet(world), process: world.proc('node', '10.1.0.1') };
}

interface OpenedFiles {
  store: ControlStore;
  votes: IdempotencyVotes;
}

function openFiles(machine: Machine): Promise<OpenedFiles> {
  const ports = machine.net.ports(machine.process);
  async function run(): Promise<OpenedFiles> {
    const storedVotes = (await readStoredVotes(ports)).extract() as StoredVotes;
    const store = (
      await openControlStore(ports, MAX_LOG_BYTES, storedVotes, OPEN_TIMEOUT_MS)
    ).extract() as ControlStore;
    function voters(): VoterSet {
      return { now: [{ disk: store.diskId, at: '10.1.0.1:7000' }] };
    }
    const votes = new IdempotencyVotes(store, ports, voters, 400);
    await votes.start(storedVotes, OPEN_TIMEOUT_MS);
    return { store, votes };
  }
  return run();
}

/** A change with a value that is stored whole, or with one that is long enough to be stored as a difference. */
function accepted(number: number, long = false): VersionedValue {
  const value = long ? { items: itemsOf(number) } : 'v'.repeat(50 + number * 7);
  return { key: 'k', epoch: 1, by: 'a.1', number, value };
}

function itemsOf(number: number): object[] {
  const items: object[] = [];
  for (let i = 0; i < 60; i++)
    items.push({ name: `item-${i}`, text: 't'.repeat(40), since: number - (number % (i + 1)) });
  return items;
}

/** Writes on while there is room and after, and shows at each step what a restart would find. */
async function fullFrom(
  room: number,
  refused: number,
  seed: number,
  long: boolean,
): Promise<string[]> {
  const faults: string[] = [];
  const machine = makeMachine(seed);
  const { store, votes } = (await runUntilSettled(machine.world, openFiles(machine)))!;
  const voted: string[] = [];
  let acked = 0;
  machine.process.disk.room = room;
  for (let number = 1; number <= 24; number++) {
    if (machine.process.disk.room < -refused) machine.process.disk.room = Infinity;
    const change = accepted(number, long);
    const [error] = errorOrValue(
      (await runUntilSettled(
        machine.world,
        store.put({ key: 'k', promised: { epoch: 1, by: 'a.1' }, accepted: change }),
      ))!,
    );
    if (!error) acked = number;
    const learned = (await runUntilSettled(machine.world, store.put({ key: 'k', learned: true })))!;
    const vote = (await runUntilSettled(
      machine.world,
      votes.vote({ key: `x${number}`, run: `r${number}` }),
    ))!;
    if (vote.isRight()) voted.push(`x${number}`);
    if (
      machine.process.disk.room === Infinity &&
      number > room + refused + 2 &&
      (error || learned.isLeft())
    )
      faults.push(`change ${number} is not taken though there is room`);
    faults.push(...(await lostByRestart(machine, store, acked, voted.slice(-20))));
  }
  if (!store.isWritable()) faults.push('not writable at the end');
  return faults;
}

/** What a restart from the files as they are would have lost. */
async function lostByRestart(
  machine: Machine,
  was: ControlStore,
  acked: number,
  voted: string[],
): Promise<string[]> {
  const faults: string[] = [];
  const copy = makeMachine(7);
  for (const [name, bytes] of machine.process.files) copy.process.files.set(name, bytes);
  const { store, votes } = (await runUntilSettled(copy.world, openFiles(copy)))!;
  const number = store.registers.get('k')?.accepted?.number ?? 0;
  if (store.diskId !== was.diskId || store.isCorrupt)
    faults.push(`counts as a new disk at ${acked}`);
  const whole = store.registers.get('k')?.accepted;
  const long = typeof whole?.value === 'object';
  if (whole && !isDeepStrictEqual(whole, accepted(number, long)))
    faults.push(`holds another value at ${number}`);
  if (number < acked) faults.push(`holds ${number} where ${acked} was acknowledged`);
  const held = (await runUntilSettled(copy.world, votes.listVotes({ begins: 'x' })))!;
  const keys = new Set<string>();
  for (const v of (held.extract() as { votes: { key: string }[] }).votes) keys.add(v.key);
  for (const key of voted) if (!keys.has(key)) faults.push(`lost the vote for ${key}`);
  return faults;
}

async function everyWrite(long: boolean): Promise<void> {
  const faults: string[] = [];
  for (let room = 0; room < 40; room++)
    for (const refused of [0, 1, 2, 7])
      for (const x of await fullFrom(room, refused, room + 1, long))
        faults.push(`room ${room} refused ${refused}: ${x}`);
  expect(faults).toEqual([]);
}

function everyWriteOfFullValues(): Promise<void> {
  return everyWrite(false);
}

function everyWriteOfDeltas(): Promise<void> {
  return everyWrite(true);
}

async function fullAtOpen(): Promise<void> {
  for (const kept of [false, true]) {
    const machine = makeMachine(3);
    if (kept) {
      const first = (await runUntilSettled(machine.world, openFiles(machine)))!;
      await runUntilSettled(machine.world, first.store.put({ key: 'k', accepted: accepted(1) }));
    }
    machine.process.disk.full = true;
    const { store, votes } = (await runUntilSettled(machine.world, openFiles(machine)))!;
    expect(store.isWritable()).toBe(false);
    expect(store.registers.get('k')?.accepted?.number).toBe(kept ? 1 : undefined);
    const line = { key: 'k', accepted: accepted(2) };
    expect((await runUntilSettled(machine.world, store.put(line)))!.isLeft()).toBe(true);
    expect(
      (await runUntilSettled(machine.world, votes.vote({ key: 'x', run: 'r' })))!.isLeft(),
    ).toBe(true);
    machine.process.disk.full = false;
    expect((await runUntilSettled(machine.world, store.put(line)))!.isRight()).toBe(true);
    expect(
      (await runUntilSettled(machine.world, votes.vote({ key: 'x', run: 'r' })))!.isRight(),
    ).toBe(true);
    expect(store.isWritable()).toBe(true);
  }
}

/** What a hanging disk holds up at the start is the votes of this node, and nothing else. */
async function hangsAtOpen(): Promise<void> {
  for (const kept of [false, true]) {
    const machine = makeMachine(4);
    if (kept) {
      const first = (await runUntilSettled(machine.world, openFiles(machine)))!;
      await runUntilSettled(machine.world, first.store.put({ key: 'k', accepted: accepted(1) }));
    }
    machine.world.stall(machine.process, true);
    const opened = await runUntilSettled(machine.world, openFiles(machine), 1500);
    expect({ kept, opened: opened !== undefined }).toEqual({ kept, opened: true });
    const { store, votes } = opened!;
    expect(store.isWritable()).toBe(false);
    expect(store.registers.get('k')?.accepted?.number).toBe(kept ? 1 : undefined);
    const put = store.put({ key: 'k', accepted: accepted(2) });
    const vote = votes.vote({ key: 'x', run: 'r' });
    expect(await runUntilSettled(machine.world, put, 300)).toBeUndefined();
    machine.world.stall(machine.process, false);
    expect((await runUntilSettled(machine.world, put))!.isRight()).toBe(true);
    expect((await runUntilSettled(machine.world, vote))!.isRight()).toBe(true);
    expect(store.isWritable()).toBe(true);
    expect(await lostByRestart(machine, store, 2, ['x'])).toEqual([]);
  }
}

/** The acceptor of a single voter, which reaches no other. */
function acceptorOn(store: ControlStore, machine: Machine): Acceptor {
  function voters(): VoterSet {
    return { now: [{ disk: store.diskId, at: '10.1.0.1:7000' }] };
  }
  function nothing(): void {
    // does nothing on purpose
  }
  function nobody(): Promise<Result<unknown>> {
    return Promise.resolve(failure('ask', '', 'nobody', 'refused', 'none'));
  }
  const transport = {
    ownerId: 'a.1',
    timeoutMs: 1,
    voters,
    request: nobody,
    onLearned: nothing,
    learnLocally: nobody,
  };
  return new Acceptor(store, transport, machine.net.ports(machine.process));
}

/** While one write is under way, and after it has failed, nothing is answered by what is in memory only. */
async function answersWhenSynced(): Promise<void> {
  const machine = makeMachine(5);
  const { store } = (await runUntilSettled(machine.world, openFiles(machine)))!;
  const acceptor = acceptorOn(store, machine);
  const change = { ...accepted(1), epoch: 5 };
  const asks: [string, object][] = [
    ['accept', { change }],
    ['accept', { change }],
    ['learn-accepted', { place: { key: 'k', epoch: 5, by: 'a.1', number: 1 } }],
    ['learn', { change }],
    ['prepare', { key: 'k', epoch: 6, by: 'b.1' }],
    ['prepare', { key: 'k', epoch: 7, by: 'c.1' }],
  ];
  function send([type, body]: [string, object]): Promise<Result<unknown>> {
    return dispatch([acceptor], type, body, undefined, 'node');
  }
  machine.world.stall(machine.process, true);
  const replies = asks.map(send);
  for (const o of replies) expect(await runUntilSettled(machine.world, o, 50)).toBeUndefined();
  const stale = (await runUntilSettled(
    machine.world,
    send(['prepare', { key: 'k', epoch: 6, by: 'd.1' }]),
  ))!;
  expect(stale.extract()).toMatchObject({ ok: false });
  machine.process.disk.full = true;
  machine.world.stall(machine.process, false);
  for (const o of replies) expect((await runUntilSettled(machine.world, o))!.isLeft()).toBe(true);
  expect((await runUntilSettled(machine.world, send(asks[3])))!.isLeft()).toBe(true);
  machine.process.disk.full = false;
  const next = (await runUntilSettled(
    machine.world,
    send(['prepare', { key: 'k', epoch: 8, by: 'e.1' }]),
  ))!;
  expect(next.extract()).toMatchObject({ ok: true, accepted: change });
  const copy = makeMachine(8);
  for (const [name, bytes] of machine.process.files) copy.process.files.set(name, bytes);
  const again = (await runUntilSettled(copy.world, openFiles(copy)))!.store.registers.get('k')!;
  expect(again).toEqual({
    promised: { epoch: 8, by: 'e.1' },
    accepted: change,
    learned: change,
  });
}

test(
  'a disk that is full from any write on loses nothing, and is written again',
  everyWriteOfFullValues,
);
test('nor where the log holds deltas', everyWriteOfDeltas);
test('prepare, accept and learn are answered by what is synced only', answersWhenSynced);
test('a node starts on a full disk, and votes once there is room', fullAtOpen);
test('a node starts on a disk that hangs, and votes once that goes on', hangsAtOpen);
