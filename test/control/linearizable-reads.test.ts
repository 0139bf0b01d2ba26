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
import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { VersionedValue } from '../../src/shared/state/versions';
import { Voter, VoterSet } from '../../src/shared/state/voter-set';
import { makeNet, SimNet } from '../../tools/sim/simwire';
import { Proc } from '../../tools/sim/process';
import { makeWorld, World } from '../../tools/sim/simworld';

const KEY = 'k';

/** One control machine without its background tasks: its disk, and what it answers. */
interface Machine {
  proc: Proc;
  store: ControlStore;
  owner: KeyOwner;
  handlers: object[];
  reads: ReadDependencies;
}

/** Control machines whose messages reach only those that `passes` lets through. */
class Cluster {
  readonly world: World;
  readonly machines = new Map<string, Machine>();
  /** The voters of a machine that has learned none. */
  initialVoters: VoterSet = { now: [] };
  passes: (from: string, to: string, type: string) => boolean = passesAll;
  /** Holds a message up for as long as the promise lasts. */
  delays: (from: string, to: string, type: string) => Promise<void> | undefined = withoutDelay;
  private readonly net: SimNet;

  constructor(seed: number) {
    this.world = makeWorld(seed, false);
    this.net = makeNet(this.world);
  }

  /** Adds a machine with an empty disk. */
  async add(at: string): Promise<Machine> {
    return this.start(at, this.world.proc(at, at));
  }

  /** Starts a machine again with an empty disk. */
  async replaceDisk(at: string): Promise<Machine> {
    const { proc } = this.machineAt(at);
    this.world.kill(proc, true);
    proc.files.clear();
    this.world.revive(proc);
    return this.start(at, proc);
  }

  machineAt(at: string): Machine {
    return this.machines.get(at)!;
  }

  votersAt(names: string[]): Voter[] {
    return names.map(this.voterOf.bind(this));
  }

  /** Runs virtual time on until a promise is settled; undefined where it is not in time. */
  async runUntilSettled<T>(promise: Promise<T>): Promise<T | undefined> {
    let settled: { value: T } | undefined;
    function onSettled(value: T): void {
      settled = { value };
    }
    void promise.then(onSettled);
    for (let i = 0; i < 4000 && !settled; i++) await this.world.run(this.world.now() + 1);
    return settled?.value;
  }

  private voterOf(at: string): Voter {
    return { disk: this.machineAt(at).store.diskId, at };
  }

  private async start(at: string, proc: Proc): Promise<Machine> {
    const ports = this.net.ports(proc);
    const opened = await this.runUntilSettled(openControlStore(ports, 1 << 20));
    const store = errorOrValue(opened!)[1]!;
    const transport = this.transportOf(at, store, learnLocally);
    const acceptor = new Acceptor(store, transport, ports);
    const owner = makeKeyOwner(store, transport);
    async function learnLocally(change: VersionedValue): Promise<unknown> {
      return acceptor.learn({ change });
    }
    async function requestOwner(
      key: string,
      type: string,
      body: unknown,
    ): Promise<Result<unknown>> {
      return dispatch(handlers, type, body, undefined, key);
    }
    const reads: ReadDependencies = {
      store,
      keyOwner: owner,
      voters: transport.voters,
      requestVoter: this.request.bind(this, at),
      requestOwner,
      learnLocally,
    };
    const handlers: object[] = [acceptor, new ReadHandlers(reads)];
    const machine: Machine = { proc, store, owner, handlers, reads };
    this.machines.set(at, machine);
    return machine;
  }

  private transportOf(
    at: string,
    store: ControlStore,
    learnLocally: VoterTransport['learnLocally'],
  ): VoterTransport {
    return {
      ownerId: `${at}.${store.diskId}`,
      timeoutMs: 100,
      voters: this.votersKnownTo.bind(this, store),
      request: this.request.bind(this, at),
      onLearned: nothing,
      learnLocally,
    };
  }

  private votersKnownTo(store: ControlStore): VoterSet {
    const learned = store.registers.get(CONTROL_KEYS.voters)?.learned;
    return (learned?.value as VoterSet | undefined) ?? this.initialVoters;
  }

  private async request(
    from: string,
    voter: Voter,
    type: string,
    body: unknown,
  ): Promise<Result<unknown>> {
    await this.delays(from, voter.at, type);
    const receiver = this.machines.get(voter.at);
    if (!receiver || (voter.at !== from && !this.passes(from, voter.at, type)))
      return failure(type, voter.at, 'cut off', 'unknown', 'timeout');
    return dispatch(receiver.handlers, type, structuredClone(body), undefined, voter.at);
  }
}

function passesAll(): boolean {
  return true;
}

function withoutDelay(): undefined {
  return undefined;
}

async function makeThreeVoters(seed: number): Promise<Cluster> {
  const cluster = new Cluster(seed);
  for (const at of ['a', 'b', 'c']) await cluster.add(at);
  cluster.initialVoters = { now: cluster.votersAt(['a', 'b', 'c']) };
  return cluster;
}

async function put(cluster: Cluster, at: string, key: string, value: unknown): Promise<void> {
  function make(): Result<unknown> {
    return Right(value);
  }
  const result = await cluster.runUntilSettled(cluster.machineAt(at).owner.change(key, make));
  expect(errorOrValue(result!)[0]).toBeUndefined();
}

async function reacquire(cluster: Cluster, at: string, key: string): Promise<void> {
  const { owner } = cluster.machineAt(at);
  owner.release(key);
  expect(errorOrValue((await cluster.runUntilSettled(owner.acquire(key)))!)[0]).toBeUndefined();
}

/** What a read gives: a value, or the code of its fault. */
async function read(cluster: Cluster, at: string): Promise<unknown> {
  const result = await cluster.runUntilSettled(readLinearizable(cluster.machineAt(at).reads, KEY));
  const [error, n] = errorOrValue(result!);
  return error ? error.code : n?.value;
}

/** Brings a set of voters about by the steps that controllers take: the joint set, all keys anew, the new set alone. */
async function moveVoters(
  cluster: Cluster,
  at: string,
  now: Voter[],
  next: Voter[],
): Promise<void> {
  await put(cluster, at, CONTROL_KEYS.voters, { now, next });
  await catchUpOnVoters(cluster, at);
  await reacquire(cluster, at, KEY);
  await put(cluster, at, CONTROL_KEYS.voters, { now: next });
  await catchUpOnVoters(cluster, at);
}

/** Has those in reach learn the voters that stand at one of them, as they do when they catch up. */
async function catchUpOnVoters(cluster: Cluster, from: string): Promise<void> {
  const change = cluster.machineAt(from).store.registers.get(CONTROL_KEYS.voters)!.learned!;
  for (const [at, machine] of cluster.machines)
    if (cluster.passes(from, at, 'learn'))
      await cluster.runUntilSettled(machine.reads.learnLocally(change));
}

function without(names: string[]): (from: string, to: string) => boolean {
  function passes(from: string, to: string): boolean {
    return !names.includes(from) && !names.includes(to);
  }
  return passes;
}

/** One machine hears of a key that was carried over to other voters, and of the voters nothing. */
async function readsByOldVoters(): Promise<void> {
  const cluster = await makeThreeVoters(1);
  await put(cluster, 'a', KEY, 'first');
  for (const at of ['d', 'e']) await cluster.add(at);
  cluster.passes = without(['c']);
  const [a, b, c, d, e] = cluster.votersAt(['a', 'b', 'c', 'd', 'e']);
  await moveVoters(cluster, 'a', [a, b, c], [a, d, c]);
  const carried = cluster.machineAt('a').store.registers.get(KEY)!.learned!;
  await cluster.runUntilSettled(cluster.machineAt('c').reads.learnLocally(carried));
  cluster.passes = without(['c', 'b']);
  await moveVoters(cluster, 'a', [a, d, c], [e, d, c]);
  cluster.passes = without(['a', 'b', 'c']);
  await reacquire(cluster, 'd', KEY);
  await put(cluster, 'd', KEY, 'second');
  cluster.passes = without(['a', 'd', 'e']);
  expect(await read(cluster, 'c')).toBe('timeout');
  cluster.passes = without([]);
  for (const at of ['c', 'd', 'e']) expect(await read(cluster, at)).toBe('second');
}

/** An acquisition that was under way as the voters became joint has its change accepted by the old set, and learned by both. */
async function learnedCounts(): Promise<void> {
  const cluster = await makeThreeVoters(2);
  await put(cluster, 'a', KEY, 'first');
  const [a, , c] = cluster.votersAt(['a', 'b', 'c']);
  await cluster.replaceDisk('b');
  const [b] = cluster.votersAt(['b']);
  cluster.initialVoters = { now: [a, b, c] };
  const change = { key: KEY, epoch: 9, by: 'a.1', number: 9, value: 'second' };
  await cluster.runUntilSettled(
    cluster.machineAt('a').store.put({ key: KEY, accepted: change, learned: true }),
  );
  await cluster.runUntilSettled(cluster.machineAt('b').store.put({ key: KEY, learned: change }));
  cluster.passes = without(['a']);
  expect(await read(cluster, 'c')).toBe('second');
}

/** An acquisition that another owner has overtaken is still under way as a read has the key settled. */
async function reacquiresAfterReadBegan(): Promise<void> {
  const cluster = await makeThreeVoters(4);
  await put(cluster, 'a', KEY, 'first');
  let release: () => void = nothing;
  function keep(done: () => void): void {
    release = done;
  }
  const held = new Promise<void>(keep);
  function learnsOfA(from: string, to: string, type: string): Promise<void> | undefined {
    return from === 'a' && to !== 'a' && type.startsWith('learn') ? held : undefined;
  }
  cluster.delays = learnsOfA;
  const { owner, reads } = cluster.machineAt('a');
  owner.release(KEY);
  void owner.acquire(KEY);
  await runFor(cluster, 100);
  cluster.passes = without(['a']);
  await put(cluster, 'c', KEY, 'second');
  cluster.passes = without([]);
  const seen = readLinearizable(reads, KEY);
  await runFor(cluster, 100);
  release();
  expect(errorOrValue((await cluster.runUntilSettled(seen))!)[1]?.value).toBe('second');
}

function nothing(): void {
  // does nothing on purpose
}

/** Runs virtual time on in small steps, so that what has no timer goes on as well. */
async function runFor(cluster: Cluster, ms: number): Promise<void> {
  for (let i = 0; i < ms; i++) await cluster.world.run(cluster.world.now() + 1);
}

/** A disk that hangs, or has failed a write, holds up no read, and what it tells is never older than what it has synced. */
async function readsWithoutDisk(): Promise<void> {
  const cluster = await makeThreeVoters(3);
  await put(cluster, 'a', KEY, 'first');
  for (const trouble of ['stalled', 'full'] as const) {
    for (const at of ['b', 'c']) cluster.machineAt(at).proc.disk[trouble] = true;
    const change = cluster.machineAt('a').owner.change(KEY, makeOther);
    await runFor(cluster, 500);
    const began = cluster.world.now();
    const seen = await cluster.runUntilSettled(readLinearizable(cluster.machineAt('b').reads, KEY));
    if (trouble === 'full') expect(cluster.world.now() - began).toBeLessThan(100);
    expect(seen === undefined || errorOrValue(seen)[1]?.value !== 'older').toBe(true);
    for (const at of ['b', 'c']) {
      const { proc } = cluster.machineAt(at);
      proc.disk.full = false;
      cluster.world.stall(proc, false);
    }
    await cluster.runUntilSettled(change);
    await reacquire(cluster, 'a', KEY);
    for (const at of ['a', 'b', 'c']) expect(await read(cluster, at)).toBe('other');
    await put(cluster, 'a', KEY, 'first');
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
