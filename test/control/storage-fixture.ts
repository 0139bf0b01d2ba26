/**
 * Slots and voters on disks of the simulated world, for tests of what a disk keeps.
 */

import { Right } from 'purify-ts';
import { Acceptor } from '../../src/control/consensus/acceptor';
import { VoterTransport } from '../../src/control/consensus/voter-transport';
import { makeKeyOwner } from '../../src/control/consensus/key-owner';
import { openControlStore, ControlStore } from '../../src/control/storage/control-store';
import { dispatch } from '../../src/shared/transport/message-handlers';
import { failure, errorOrValue, Result } from '../../src/shared/errors/errors';
import { Ports } from '../../src/shared/ports/ports';
import { Voter, VoterSet } from '../../src/shared/state/voter-set';
import { seededDice } from '../../tools/sim/dice';
import { makeNet } from '../../tools/sim/simwire';
import { makeWorld } from '../../tools/sim/simworld';

/** The files of a disk, by name. */
export type DiskFiles = Map<string, Uint8Array>;

/** Ports whose disk holds these files. */
export function portsWithFiles(files: DiskFiles, seed = 3): Ports {
  const w = makeWorld(1, false);
  const base = makeNet(w).ports(w.proc('node', '127.10.1.1'));
  async function read(name: string): Promise<Result<Uint8Array | undefined>> {
    return Right(files.get(name));
  }
  async function write(name: string, bytes: Uint8Array): Promise<Result<void>> {
    files.set(name, Uint8Array.from(bytes));
    return Right(undefined);
  }
  async function append(name: string, bytes: Uint8Array): Promise<Result<void>> {
    files.set(name, Buffer.concat([files.get(name) ?? new Uint8Array(0), bytes]));
    return Right(undefined);
  }
  return { ...base, random: seededDice(seed), disk: { read, write, append } };
}

/** Opens the slots on these files. */
export async function openStore(files: DiskFiles, seed = 3): Promise<ControlStore> {
  const [f, s] = errorOrValue(await openControlStore(portsWithFiles(files, seed), 1 << 20));
  expect(f).toBeUndefined();
  return s!;
}

/** Three voters on files of their own; messages pass only where `passes` says so. */
export async function makeThreeVoters(): Promise<{
  node: (
    i: number,
    life: string,
    passes: (to: number, type: string) => boolean,
  ) => Promise<ReturnType<typeof makeKeyOwner>>;
  cell: (i: number) => unknown;
  lose: (i: number) => Promise<void>;
  replace: (i: number) => Promise<void>;
}> {
  const files: DiskFiles[] = [new Map(), new Map(), new Map()];
  const slots: ControlStore[] = [];
  const acceptors: Acceptor[] = [];
  const set: Voter[] = [];
  for (const [i, x] of files.entries()) {
    slots.push(await openStore(x, i));
    set.push({ disk: slots[i].diskId, at: String(i) });
  }
  const kept = files.map(copyOf);
  let next: Voter[] | undefined;
  function voters(): VoterSet {
    return { now: set, next };
  }
  function nothing(): void {}
  async function node(
    i: number,
    life: string,
    passes: (to: number, type: string) => boolean,
  ): Promise<ReturnType<typeof makeKeyOwner>> {
    const reach: VoterTransport = {
      ownerId: life,
      timeoutMs: 100,
      voters,
      request: ask,
      onLearned: nothing,
      learnLocally: learnHere,
    };
    async function learnHere(): Promise<unknown> {
      return undefined;
    }
    async function ask(v: Voter, type: string, body: unknown): Promise<Result<unknown>> {
      if (!passes(Number(v.at), type)) return failure(type, v.at, 'cut', 'unknown', 'timeout');
      return dispatch([acceptors[Number(v.at)]], type, body, undefined, v.at);
    }
    for (const [k, s] of slots.entries())
      acceptors[k] = new Acceptor(s, reach, portsWithFiles(files[k]));
    return makeKeyOwner(slots[i], reach);
  }
  function cell(i: number): unknown {
    return slots[i].registers.get('k')?.learned?.value;
  }
  async function lose(i: number): Promise<void> {
    files[i] = copyOf(kept[i]);
    slots[i] = await openStore(files[i], i);
  }
  async function replace(i: number): Promise<void> {
    files[i] = new Map();
    slots[i] = await openStore(files[i], i + 20);
    next = set.with(i, { disk: slots[i].diskId, at: String(i) });
  }
  return { node, cell, lose, replace };
}

function copyOf(f: DiskFiles): DiskFiles {
  return new Map(f);
}

/** An operation that succeeds with this value. */
export function returningValue(v: string): () => Result<unknown> {
  function make(): Result<unknown> {
    return Right(v);
  }
  return make;
}

/** The number of the value that was learned or accepted last. */
export function acceptedNumber(s: ControlStore): number {
  return s.registers.get('k')?.accepted?.number ?? 0;
}

/** A log entry that accepts this number. */
export function acceptedEntry(n: number): Parameters<ControlStore['put']>[0] {
  return {
    key: 'k',
    promised: { epoch: 1, by: 'a' },
    accepted: { key: 'k', epoch: 1, by: 'a', number: n, value: 'v'.repeat(n * 5) },
  };
}

/** Files with one byte changed, and with one of them emptied or gone, for every file and byte. */
export function* corruptedCopies(files: DiskFiles): Generator<{ what: string; files: DiskFiles }> {
  for (const [name, bytes] of files) {
    for (let at = 0; at < bytes.length; at++) {
      const bent = Uint8Array.from(bytes);
      bent[at] ^= 0x41;
      yield { what: `${name} at ${at}`, files: new Map(files).set(name, bent) };
    }
    yield { what: `${name} emptied`, files: new Map(files).set(name, new Uint8Array(0)) };
    const less = new Map(files);
    less.delete(name);
    yield { what: `${name} gone`, files: less };
  }
}
