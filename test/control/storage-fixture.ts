/**
 * Control stores and acceptors on disks in memory, for tests of what a disk keeps.
 */

import { Right } from 'purify-ts';
import { Acceptor } from '../../src/control/consensus/acceptor';
import { VoterTransport } from '../../src/control/consensus/voter-transport';
import { KeyOwner, makeKeyOwner } from '../../src/control/consensus/key-owner';
import { openControlStore, ControlStore } from '../../src/control/storage/control-store';
import { dispatch } from '../../src/shared/transport/message-handlers';
import { failure, errorOrValue, Result } from '../../src/shared/errors/errors';
import { Ports } from '../../src/shared/ports/ports';
import { Voter, VoterSet } from '../../src/shared/state/voter-set';
import { DiskFiles, portsOfFiles } from '../../tools/sim/disk-files';

/** Which messages pass, by the index of the receiver and the wire type. */
export type MessageFilter = (receiver: number, type: string) => boolean;

/** The seed of tests that draw nothing that matters to them. */
const DEFAULT_SEED = 3;

/** Ports whose disk holds these files. */
export function portsWithFiles(files: DiskFiles, seed = DEFAULT_SEED): Ports {
  return portsOfFiles(files, seed);
}

/** Opens the control store on these files; the seed gives the id of a disk that is new. */
export async function openStore(files: DiskFiles, seed = DEFAULT_SEED): Promise<ControlStore> {
  const [error, store] = errorOrValue(await openControlStore(portsWithFiles(files, seed), 1 << 20));
  expect(error).toBeUndefined();
  return store!;
}

/** Three voters on disks of their own. */
export interface ThreeVoters {
  /** Starts an incarnation of a node, as an owner of keys; its messages pass by the filter. */
  startOwner: (index: number, ownerId: string, passes: MessageFilter) => Promise<KeyOwner>;
  /** The value of the key `k` that a voter has learned. */
  learnedValue: (index: number) => unknown;
  /** Sets a disk back to what it held at the beginning. */
  resetDisk: (index: number) => Promise<void>;
  /** Puts an empty disk in the place of a voter's, and makes a voter set with it joint. */
  replaceDisk: (index: number) => Promise<void>;
}

/** Makes three voters on empty disks. */
export async function makeThreeVoters(): Promise<ThreeVoters> {
  const disks: DiskFiles[] = [emptyDisk(), emptyDisk(), emptyDisk()];
  const stores: ControlStore[] = [];
  const acceptors: Acceptor[] = [];
  const currentVoters: Voter[] = [];
  let nextVoters: Voter[] | undefined;
  for (const [index, files] of disks.entries()) {
    stores.push(await openStore(files, index));
    currentVoters.push({ disk: stores[index].diskId, at: String(index) });
  }
  const initialDisks = disks.map(copyOf);

  function voters(): VoterSet {
    return { now: currentVoters, next: nextVoters };
  }

  function startOwner(index: number, ownerId: string, passes: MessageFilter): Promise<KeyOwner> {
    const transport: VoterTransport = {
      ownerId,
      timeoutMs: 100,
      voters,
      request,
      onLearned: doNothing,
      learnLocally: learnNothing,
    };
    async function request(voter: Voter, type: string, body: unknown): Promise<Result<unknown>> {
      const receiver = Number(voter.at);
      if (!passes(receiver, type)) return failure(type, voter.at, 'cut', 'unknown', 'timeout');
      return dispatch([acceptors[receiver]], type, body, undefined, voter.at);
    }
    for (const [each, store] of stores.entries())
      acceptors[each] = new Acceptor(store, transport, portsWithFiles(disks[each]));
    return Promise.resolve(makeKeyOwner(stores[index], transport));
  }

  function learnedValue(index: number): unknown {
    return stores[index].registers.get('k')?.learned?.value;
  }

  async function resetDisk(index: number): Promise<void> {
    disks[index] = copyOf(initialDisks[index]);
    stores[index] = await openStore(disks[index], index);
  }

  async function replaceDisk(index: number): Promise<void> {
    disks[index] = new Map();
    stores[index] = await openStore(disks[index], index + 20);
    nextVoters = currentVoters.with(index, { disk: stores[index].diskId, at: String(index) });
  }

  return { startOwner, learnedValue, resetDisk, replaceDisk };
}

function doNothing(): void {
  // does nothing on purpose
}

async function learnNothing(): Promise<void> {
  // does nothing on purpose
}

function copyOf(files: DiskFiles): DiskFiles {
  return new Map(files);
}

/** The computation of a change that succeeds with this value. */
export function returningValue(value: string): () => Result<unknown> {
  function computeValue(): Result<unknown> {
    return Right(value);
  }
  return computeValue;
}

/** The number of the value of the key `k` that was accepted last. */
export function acceptedNumber(store: ControlStore): number {
  return store.registers.get('k')?.accepted?.number ?? 0;
}

/** A log entry that accepts a value of the key `k` with this number. */
export function acceptedEntry(number: number): Parameters<ControlStore['put']>[0] {
  return {
    key: 'k',
    promised: { epoch: 1, by: 'a' },
    accepted: { key: 'k', epoch: 1, by: 'a', number, value: 'v'.repeat(number * 5) },
  };
}

/** Copies of files with one byte changed, and with one of them emptied or gone, for every file and byte. */
export function* corruptedCopies(files: DiskFiles): Generator<{ what: string; files: DiskFiles }> {
  for (const [name, bytes] of files) {
    for (let offset = 0; offset < bytes.length; offset++) {
      const changed = Uint8Array.from(bytes);
      changed[offset] ^= 0x41;
      yield { what: `${name} at ${offset}`, files: new Map(files).set(name, changed) };
    }
    yield { what: `${name} emptied`, files: new Map(files).set(name, new Uint8Array(0)) };
    const without = new Map(files);
    without.delete(name);
    yield { what: `${name} gone`, files: without };
  }
}

function emptyDisk(): DiskFiles {
  return new Map<string, Uint8Array>();
}
