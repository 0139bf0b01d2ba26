/**
 * Linearizable reads while voters change, owners race and disks fail.
 */

import { Right } from 'purify-ts';
import {
  ReadHandlers,
  ReadDependencies,
  readLinearizable,
} from '../../src/control/consensus/linearizable-read';
import { Acceptor } from '../../src/control/consensus/acceptor';
import { VoterTransport } from '../../src/control/consensus/voter-transport';
import { makeKeyOwner, KeyOwner } from '../../src/control/consensus/key-owner';
import { openControlStore, ControlStore } from '../../src/control/storage/control-store';
import { dispatch } from '../../src/shared/transport/message-handlers';
import { failure, errorOrValue, Result } from '../../src/shared/errors/errors';
import { Ports } from '../../src/shared/ports/ports';
import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { VersionedValue } from '../../src/shared/state/versions';
import { Voter, VoterSet } from '../../src/shared/state/voter-set';
import { makeNet } from '../../tools/sim/simwire';
import { makeWorld, Proc, World } from '../../tools/sim/simworld';

const KEY = 'k';

/** One control machine without its duties: its disk, and what it answers. */
interface Machine {
  proc: Proc;
  store: ControlStore;
  owner: KeyOwner;
  handlers: object[];
  reads: ReadDependencies;
}

/** Control machines whose messages reach only those that `passes` lets through. */
interface Rig {
  world: World;
  machines: Map<string, Machine>;
  initialVoters: VoterSet;
  passes: (from: string, to: string, type: string) => boolean;
  /** Holds a message up for as long as the promise lasts. */
  delays: (from: string, to: string, type: string) => Promise<void> | undefined;
  /** Runs virtual time on until a promise is settled. */
  runUntilSettled: <T>(promise: Promise<T>) => Promise<T | undefined>;
  add: (at: string) => Promise<Machine>;
  replaceDisk: (at: string) => Promise<Machine>;
  voterOf: (at: string) => Voter;
}

function makeRig(seed: number): Rig {
  const world = makeWorld(seed, false);
  const net = makeNet(world);
  const machines = new Map<string, Machine>();

  function all(): boolean {
    return true;
  }

  async function settled<T>(promise: Promise<T>): Promise<T | undefined> {
    let got: { v: T } | undefined;
    function told(value: T): void {
      got = { v: value };
    }
    void promise.then(told);
    for (let i = 0; i < 4000 && !got; i++) await world.run(world.now() + 1);
    return got?.v;
  }

  async function opened(ports: Ports): Promise<ControlStore> {
    const result = await settled(openControlStore(ports, 1 << 20));
    return errorOrValue(result!)[1]!;
  }

  async function add(at: string): Promise<Machine> {
    return start(at, world.proc(at, at));
  }

  async function start(at: string, proc: Proc): Promise<Machine> {
    const ports = net.ports(proc);
    const store = await opened(ports);
    function voters(): VoterSet {
      return (
        (store.registers.get(CONTROL_KEYS.voters)?.learned?.value as VoterSet | undefined) ??
        rig.initialVoters
      );
    }
    async function ask(voter: Voter, type: string, body: unknown): Promise<Result<unknown>> {
      await rig.delays(at, voter.at, type);
      const to = machines.get(voter.at);
      if (!to || (voter.at !== at && !rig.passes(at, voter.at, type)))
        return failure(type, voter.at, 'cut off', 'unknown', 'timeout');
      const handlers = to.handlers;
      return dispatch(handlers, type, structuredClone(body), undefined, voter.at);
    }
    function nothing(): void {}
    async function learnHere(change: VersionedValue): Promise<unknown> {
      return acceptor.learn({ change });
    }
    const transport: VoterTransport = {
      ownerId: `${at}.${store.diskId}`,
      timeoutMs: 100,
      voters,
      request: ask,
      onLearned: nothing,
      learnLocally: learnHere,
    };
    const acceptor = new Acceptor(store, transport, ports);
    const owner = makeKeyOwner(store, transport);
    async function ofOwner(key: string, type: string, body: unknown): Promise<Result<unknown>> {
      return dispatch(machine.handlers, type, body, undefined, key);
    }
    const reads: ReadDependencies = {
      store: store,
      keyOwner: owner,
      voters,
      requestVoter: ask,
      requestOwner: ofOwner,
      learnLocally: learnHere,
    };
    const machine: Machine = {
      proc,
      store: store,
      owner,
      handlers: [acceptor, new ReadHandlers(reads)],
      reads,
    };
    machines.set(at, machine);
    return machine;
  }

  async function replaceDisk(at: string): Promise<Machine> {
    const { proc } = machines.get(at)!;
    world.kill(proc, true);
    proc.files.clear();
    world.revive(proc);
    return start(at, proc);
  }

  function voterOf(at: string): Voter {
    return { disk: machines.get(at)!.store.diskId, at };
  }

  function never(): undefined {
    return undefined;
  }

  const rig: Rig = {
    world: world,
    machines,
    initialVoters: { now: [] },
    passes: all,
    delays: never,
    runUntilSettled: settled,
    add,
    replaceDisk,
    voterOf,
  };
  return rig;
}

async function makeThreeVoters(seed: number): Promise<Rig> {
  const rig = makeRig(seed);
  for (const at of ['a', 'b', 'c']) await rig.add(at);
  rig.initialVoters = { now: ['a', 'b', 'c'].map(rig.voterOf) };
  return rig;
}

async function put(rig: Rig, at: string, key: string, value: unknown): Promise<void> {
  function make(): Result<unknown> {
    return Right(value);
  }
  const result = await rig.runUntilSettled(rig.machines.get(at)!.owner.change(key, make));
  expect(errorOrValue(result!)[0]).toBeUndefined();
}

async function reacquire(rig: Rig, at: string, key: string): Promise<void> {
  const { owner } = rig.machines.get(at)!;
  owner.release(key);
  expect(errorOrValue((await rig.runUntilSettled(owner.acquire(key)))!)[0]).toBeUndefined();
}

/** What a read gives: a value, or the code of its fault. */
async function read(rig: Rig, at: string): Promise<unknown> {
  const result = await rig.runUntilSettled(readLinearizable(rig.machines.get(at)!.reads, KEY));
  const [error, n] = errorOrValue(result!);
  return error ? error.code : n?.value;
}

/** Brings a set of voters about by the steps that controllers take: the joint set, all keys anew, the new set alone. */
async function moveVoters(rig: Rig, at: string, now: Voter[], next: Voter[]): Promise<void> {
  await put(rig, at, CONTROL_KEYS.voters, { now, next });
  await catchUpOnVoters(rig, at);
  await reacquire(rig, at, KEY);
  await put(rig, at, CONTROL_KEYS.voters, { now: next });
  await catchUpOnVoters(rig, at);
}

/** Has those in reach learn the voters that stand at one of them, as they do when they catch up. */
async function catchUpOnVoters(rig: Rig, from: string): Promise<void> {
  const change = rig.machines.get(from)!.store.registers.get(CONTROL_KEYS.voters)!.learned!;
  for (const [at, machine] of rig.machines)
    if (rig.passes(from, at, 'learn'))
      await rig.runUntilSettled(machine.reads.learnLocally(change));
}

function without(names: string[]): (from: string, to: string) => boolean {
  function passes(from: string, to: string): boolean {
    return !names.includes(from) && !names.includes(to);
  }
  return passes;
}

/** One machine hears of a key that was carried over to other voters, and of the voters nothing. */
async function readsByOldVoters(): Promise<void> {
  const rig = await makeThreeVoters(1);
  await put(rig, 'a', KEY, 'first');
  for (const at of ['d', 'e']) await rig.add(at);
  rig.passes = without(['c']);
  const [a, b, c, d, e] = ['a', 'b', 'c', 'd', 'e'].map(rig.voterOf);
  await moveVoters(rig, 'a', [a, b, c], [a, d, c]);
  const carried = rig.machines.get('a')!.store.registers.get(KEY)!.learned!;
  await rig.runUntilSettled(rig.machines.get('c')!.reads.learnLocally(carried));
  rig.passes = without(['c', 'b']);
  await moveVoters(rig, 'a', [a, d, c], [e, d, c]);
  rig.passes = without(['a', 'b', 'c']);
  await reacquire(rig, 'd', KEY);
  await put(rig, 'd', KEY, 'second');
  rig.passes = without(['a', 'd', 'e']);
  expect(await read(rig, 'c')).toBe('timeout');
  rig.passes = without([]);
  for (const at of ['c', 'd', 'e']) expect(await read(rig, at)).toBe('second');
}

/** An acquisition that was under way as the voters became joint has its change accepted by the old set, and learned by both. */
async function learnedCounts(): Promise<void> {
  const rig = await makeThreeVoters(2);
  await put(rig, 'a', KEY, 'first');
  const [a, , c] = ['a', 'b', 'c'].map(rig.voterOf);
  const b = rig.voterOf((await rig.replaceDisk('b')).proc.name);
  rig.initialVoters = { now: [a, b, c] };
  const change = { key: KEY, epoch: 9, by: 'a.1', number: 9, value: 'second' };
  await rig.runUntilSettled(
    rig.machines.get('a')!.store.put({ key: KEY, accepted: change, learned: true }),
  );
  await rig.runUntilSettled(rig.machines.get('b')!.store.put({ key: KEY, learned: change }));
  rig.passes = without(['a']);
  expect(await read(rig, 'c')).toBe('second');
}

/** An acquisition that another owner has overtaken is still under way as a read has the key settled. */
async function reacquiresAfterReadBegan(): Promise<void> {
  const rig = await makeThreeVoters(4);
  await put(rig, 'a', KEY, 'first');
  let release: () => void = nothing;
  function keep(done: () => void): void {
    release = done;
  }
  const held = new Promise<void>(keep);
  function learnsOfA(from: string, to: string, type: string): Promise<void> | undefined {
    return from === 'a' && to !== 'a' && type.startsWith('learn') ? held : undefined;
  }
  rig.delays = learnsOfA;
  const { owner, reads } = rig.machines.get('a')!;
  owner.release(KEY);
  void owner.acquire(KEY);
  await runFor(rig, 100);
  rig.passes = without(['a']);
  await put(rig, 'c', KEY, 'second');
  rig.passes = without([]);
  const seen = readLinearizable(reads, KEY);
  await runFor(rig, 100);
  release();
  expect(errorOrValue((await rig.runUntilSettled(seen))!)[1]?.value).toBe('second');
}

function nothing(): void {}

/** Runs virtual time on in small steps, so that what has no timer goes on as well. */
async function runFor(rig: Rig, ms: number): Promise<void> {
  for (let i = 0; i < ms; i++) await rig.world.run(rig.world.now() + 1);
}

/** A disk that hangs, or has failed a write, holds up no read, and what it tells is never older than what it has synced. */
async function readsWithoutDisk(): Promise<void> {
  const rig = await makeThreeVoters(3);
  await put(rig, 'a', KEY, 'first');
  for (const trouble of ['stalled', 'full'] as const) {
    for (const at of ['b', 'c']) rig.machines.get(at)!.proc.disk[trouble] = true;
    const change = rig.machines.get('a')!.owner.change(KEY, makeOther);
    await runFor(rig, 500);
    const began = rig.world.now();
    const seen = await rig.runUntilSettled(readLinearizable(rig.machines.get('b')!.reads, KEY));
    if (trouble === 'full') expect(rig.world.now() - began).toBeLessThan(100);
    expect(seen === undefined || errorOrValue(seen)[1]?.value !== 'older').toBe(true);
    for (const at of ['b', 'c']) {
      const { proc } = rig.machines.get(at)!;
      proc.disk.full = false;
      rig.world.stall(proc, false);
    }
    await rig.runUntilSettled(change);
    await reacquire(rig, 'a', KEY);
    for (const at of ['a', 'b', 'c']) expect(await read(rig, at)).toBe('other');
    await put(rig, 'a', KEY, 'first');
  }
  function makeOther(): Result<unknown> {
    return Right('other');
  }
}

test('a controller that goes by a replaced voter set reads nothing outdated', readsByOldVoters);
test('a disk that has learned a change without accepting it counts for a read', learnedCounts);
test(
  'a key is reacquired from a majority that is asked after the read began',
  reacquiresAfterReadBegan,
);
test('values that are not synced make no read outdated', readsWithoutDisk);
