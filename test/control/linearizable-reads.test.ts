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
  slots: ControlStore;
  owner: KeyOwner;
  edges: object[];
  reads: ReadDependencies;
}

/** Control machines whose messages reach only those that `passes` lets through. */
interface Rig {
  w: World;
  machines: Map<string, Machine>;
  founding: VoterSet;
  passes: (from: string, to: string, type: string) => boolean;
  /** Holds a message up for as long as the promise lasts. */
  delays: (from: string, to: string, type: string) => Promise<void> | undefined;
  /** Runs virtual time on until a promise is settled. */
  settled: <T>(p: Promise<T>) => Promise<T | undefined>;
  add: (at: string) => Promise<Machine>;
  replaceDisk: (at: string) => Promise<Machine>;
  voterOf: (at: string) => Voter;
}

function makeRig(seed: number): Rig {
  const w = makeWorld(seed, false);
  const net = makeNet(w);
  const machines = new Map<string, Machine>();

  function all(): boolean {
    return true;
  }

  async function settled<T>(p: Promise<T>): Promise<T | undefined> {
    let got: { v: T } | undefined;
    function told(v: T): void {
      got = { v };
    }
    void p.then(told);
    for (let i = 0; i < 4000 && !got; i++) await w.run(w.now() + 1);
    return got?.v;
  }

  async function opened(ports: Ports): Promise<ControlStore> {
    const o = await settled(openControlStore(ports, 1 << 20));
    return errorOrValue(o!)[1]!;
  }

  async function add(at: string): Promise<Machine> {
    return start(at, w.proc(at, at));
  }

  async function start(at: string, proc: Proc): Promise<Machine> {
    const ports = net.ports(proc);
    const slots = await opened(ports);
    function voters(): VoterSet {
      return (
        (slots.registers.get(CONTROL_KEYS.voters)?.learned?.value as VoterSet | undefined) ??
        rig.founding
      );
    }
    async function ask(v: Voter, type: string, body: unknown): Promise<Result<unknown>> {
      await rig.delays(at, v.at, type);
      const to = machines.get(v.at);
      if (!to || (v.at !== at && !rig.passes(at, v.at, type)))
        return failure(type, v.at, 'cut off', 'unknown', 'timeout');
      const edges = to.edges;
      return dispatch(edges, type, structuredClone(body), undefined, v.at);
    }
    function nothing(): void {}
    async function learnHere(change: VersionedValue): Promise<unknown> {
      return acceptor.learn({ change });
    }
    const reach: VoterTransport = {
      ownerId: `${at}.${slots.diskId}`,
      timeoutMs: 100,
      voters,
      request: ask,
      onLearned: nothing,
      learnLocally: learnHere,
    };
    const acceptor = new Acceptor(slots, reach, ports);
    const owner = makeKeyOwner(slots, reach);
    async function ofOwner(key: string, type: string, body: unknown): Promise<Result<unknown>> {
      return dispatch(machine.edges, type, body, undefined, key);
    }
    const reads: ReadDependencies = {
      store: slots,
      keyOwner: owner,
      voters,
      requestVoter: ask,
      requestOwner: ofOwner,
      learnLocally: learnHere,
    };
    const machine: Machine = {
      proc,
      slots,
      owner,
      edges: [acceptor, new ReadHandlers(reads)],
      reads,
    };
    machines.set(at, machine);
    return machine;
  }

  async function replaceDisk(at: string): Promise<Machine> {
    const { proc } = machines.get(at)!;
    w.kill(proc, true);
    proc.files.clear();
    w.revive(proc);
    return start(at, proc);
  }

  function voterOf(at: string): Voter {
    return { disk: machines.get(at)!.slots.diskId, at };
  }

  function never(): undefined {
    return undefined;
  }

  const rig: Rig = {
    w,
    machines,
    founding: { now: [] },
    passes: all,
    delays: never,
    settled,
    add,
    replaceDisk,
    voterOf,
  };
  return rig;
}

async function three(seed: number): Promise<Rig> {
  const r = makeRig(seed);
  for (const at of ['a', 'b', 'c']) await r.add(at);
  r.founding = { now: ['a', 'b', 'c'].map(r.voterOf) };
  return r;
}

async function put(r: Rig, at: string, key: string, value: unknown): Promise<void> {
  function make(): Result<unknown> {
    return Right(value);
  }
  const o = await r.settled(r.machines.get(at)!.owner.change(key, make));
  expect(errorOrValue(o!)[0]).toBeUndefined();
}

async function own(r: Rig, at: string, key: string): Promise<void> {
  const { owner } = r.machines.get(at)!;
  owner.release(key);
  expect(errorOrValue((await r.settled(owner.acquire(key)))!)[0]).toBeUndefined();
}

/** What a read gives: a value, or the code of its fault. */
async function read(r: Rig, at: string): Promise<unknown> {
  const o = await r.settled(readLinearizable(r.machines.get(at)!.reads, KEY));
  const [f, n] = errorOrValue(o!);
  return f ? f.code : n?.value;
}

/** Brings a set of voters about by the steps that controllers take: the joint set, all keys anew, the new set alone. */
async function moveVoters(r: Rig, at: string, now: Voter[], next: Voter[]): Promise<void> {
  await put(r, at, CONTROL_KEYS.voters, { now, next });
  await catchUpOnVoters(r, at);
  await own(r, at, KEY);
  await put(r, at, CONTROL_KEYS.voters, { now: next });
  await catchUpOnVoters(r, at);
}

/** Has those in reach learn the voters that stand at one of them, as they do when they catch up. */
async function catchUpOnVoters(r: Rig, from: string): Promise<void> {
  const change = r.machines.get(from)!.slots.registers.get(CONTROL_KEYS.voters)!.learned!;
  for (const [at, m] of r.machines)
    if (r.passes(from, at, 'learn')) await r.settled(m.reads.learnLocally(change));
}

function without(names: string[]): (from: string, to: string) => boolean {
  function passes(from: string, to: string): boolean {
    return !names.includes(from) && !names.includes(to);
  }
  return passes;
}

/** One machine hears of a key that was carried over to other voters, and of the voters nothing. */
async function readsByOldVoters(): Promise<void> {
  const r = await three(1);
  await put(r, 'a', KEY, 'first');
  for (const at of ['d', 'e']) await r.add(at);
  r.passes = without(['c']);
  const [a, b, c, d, e] = ['a', 'b', 'c', 'd', 'e'].map(r.voterOf);
  await moveVoters(r, 'a', [a, b, c], [a, d, c]);
  const carried = r.machines.get('a')!.slots.registers.get(KEY)!.learned!;
  await r.settled(r.machines.get('c')!.reads.learnLocally(carried));
  r.passes = without(['c', 'b']);
  await moveVoters(r, 'a', [a, d, c], [e, d, c]);
  r.passes = without(['a', 'b', 'c']);
  await own(r, 'd', KEY);
  await put(r, 'd', KEY, 'second');
  r.passes = without(['a', 'd', 'e']);
  expect(await read(r, 'c')).toBe('timeout');
  r.passes = without([]);
  for (const at of ['c', 'd', 'e']) expect(await read(r, at)).toBe('second');
}

/** An acquisition that was under way as the voters became joint has its change accepted by the old set, and learned by both. */
async function learnedCounts(): Promise<void> {
  const r = await three(2);
  await put(r, 'a', KEY, 'first');
  const [a, , c] = ['a', 'b', 'c'].map(r.voterOf);
  const b = r.voterOf((await r.replaceDisk('b')).proc.name);
  r.founding = { now: [a, b, c] };
  const change = { key: KEY, epoch: 9, by: 'a.1', number: 9, value: 'second' };
  await r.settled(r.machines.get('a')!.slots.put({ key: KEY, accepted: change, learned: true }));
  await r.settled(r.machines.get('b')!.slots.put({ key: KEY, learned: change }));
  r.passes = without(['a']);
  expect(await read(r, 'c')).toBe('second');
}

/** An acquisition that another owner has overtaken is still under way as a read has the key settled. */
async function settlesAnew(): Promise<void> {
  const r = await three(4);
  await put(r, 'a', KEY, 'first');
  let release: () => void = nothing;
  function keep(done: () => void): void {
    release = done;
  }
  const held = new Promise<void>(keep);
  function learnsOfA(from: string, to: string, type: string): Promise<void> | undefined {
    return from === 'a' && to !== 'a' && type.startsWith('learn') ? held : undefined;
  }
  r.delays = learnsOfA;
  const { owner, reads } = r.machines.get('a')!;
  owner.release(KEY);
  void owner.acquire(KEY);
  await pass(r, 100);
  r.passes = without(['a']);
  await put(r, 'c', KEY, 'second');
  r.passes = without([]);
  const seen = readLinearizable(reads, KEY);
  await pass(r, 100);
  release();
  expect(errorOrValue((await r.settled(seen))!)[1]?.value).toBe('second');
}

function nothing(): void {}

/** Runs virtual time on in small steps, so that what has no timer goes on as well. */
async function pass(r: Rig, ms: number): Promise<void> {
  for (let i = 0; i < ms; i++) await r.w.run(r.w.now() + 1);
}

/** A disk that hangs, or has failed a write, holds up no read, and what it tells is never older than what it has synced. */
async function readsWithoutDisk(): Promise<void> {
  const r = await three(3);
  await put(r, 'a', KEY, 'first');
  for (const trouble of ['stalled', 'full'] as const) {
    for (const at of ['b', 'c']) r.machines.get(at)!.proc.disk[trouble] = true;
    const change = r.machines.get('a')!.owner.change(KEY, makeOther);
    await pass(r, 500);
    const began = r.w.now();
    const seen = await r.settled(readLinearizable(r.machines.get('b')!.reads, KEY));
    if (trouble === 'full') expect(r.w.now() - began).toBeLessThan(100);
    expect(seen === undefined || errorOrValue(seen)[1]?.value !== 'older').toBe(true);
    for (const at of ['b', 'c']) {
      const { proc } = r.machines.get(at)!;
      proc.disk.full = false;
      r.w.stall(proc, false);
    }
    await r.settled(change);
    await own(r, 'a', KEY);
    for (const at of ['a', 'b', 'c']) expect(await read(r, at)).toBe('other');
    await put(r, 'a', KEY, 'first');
  }
  function makeOther(): Result<unknown> {
    return Right('other');
  }
}

test('one who goes by voters that were replaced reads nothing old', readsByOldVoters);
test('a disk that has learned a change without accepting it counts for a read', learnedCounts);
test('a key is settled by a majority that is asked after the read began', settlesAnew);
test('what is not synced makes no read older', readsWithoutDisk);
