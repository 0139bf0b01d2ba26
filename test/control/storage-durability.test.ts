/**
 * What a disk has answered outlives restarts, and nothing is answered before it is synced.
 */

import { Right } from 'purify-ts';
import { Acceptor } from '../../src/control/consensus/acceptor';
import { VoterTransport } from '../../src/control/consensus/voter-transport';
import { ControlStore, openControlStore } from '../../src/control/storage/control-store';
import { StoredVotes, readStoredVotes } from '../../src/control/storage/vote-files';
import { IdempotencyVotes } from '../../src/control/storage/idempotency-votes';
import { dispatch } from '../../src/shared/transport/message-handlers';
import { failure, errorOrValue, Result } from '../../src/shared/errors/errors';
import { Disk } from '../../src/shared/ports/disk';
import { Ports } from '../../src/shared/ports/ports';
import {
  openStore,
  portsWithFiles,
  corruptedCopies,
  makeThreeVoters,
  returningValue,
} from './storage-fixture';
import { DiskFiles } from '../../tools/sim/disk-files';

async function emptiedDiskDoesNotCount(): Promise<void> {
  const voters = await makeThreeVoters();
  let isCut = false;
  function passes(receiver: number): boolean {
    return !isCut || receiver !== 1;
  }
  const owner = await voters.startOwner(0, 'a.1', passes);
  expect((await owner.change('k', returningValue('before'))).isRight()).toBe(true);
  await voters.replaceDisk(2);
  isCut = true;
  const change = await owner.change('k', returningValue('at one of the old set'));
  expect(change.isLeft()).toBe(true);
}

async function oneValuePerEpoch(): Promise<void> {
  const voters = await makeThreeVoters();
  function passesFirst(receiver: number, type: string): boolean {
    return type === 'prepare' ? receiver !== 0 : receiver === 1 && type === 'accept';
  }
  function passesSecond(receiver: number, type: string): boolean {
    return receiver !== 1 || type.startsWith('learn');
  }
  const first = await voters.startOwner(0, 'a.1', passesFirst);
  expect((await first.change('k', returningValue('lost'))).isLeft()).toBe(true);
  await voters.resetDisk(0);
  const second = await voters.startOwner(0, 'a.2', passesSecond);
  for (let i = 0; i < 3; i++) await second.acquire('k');
  expect((await second.change('k', returningValue('acknowledged'))).isRight()).toBe(true);
  expect([0, 1, 2].map(voters.learnedValue)).toEqual([
    'acknowledged',
    'acknowledged',
    'acknowledged',
  ]);
}

/** Whether a promise has come back once all that could run has run. */
async function isBack(promise: Promise<unknown>): Promise<boolean> {
  let back = false;
  function onSettled(): void {
    back = true;
  }
  void promise.then(onSettled);
  function turns(go: () => void): void {
    setImmediate(go);
  }
  for (let i = 0; i < 5; i++) await new Promise<void>(turns);
  return back;
}

/** A disk that holds appends up until it is released, and fails all writes while `fails` is set. */
class FaultyDisk {
  fails = false;
  private held: (() => void)[] | undefined = [];

  constructor(private readonly disk: Disk) {}

  port(): Disk {
    return { read: this.disk.read, write: this.write.bind(this), append: this.append.bind(this) };
  }

  release(): void {
    for (const go of this.held?.splice(0) ?? []) go();
    this.held = undefined;
  }

  private async append(name: string, bytes: Uint8Array): Promise<Result<void>> {
    await new Promise<void>(this.hold.bind(this));
    return this.fails ? noSpace('append', name) : this.disk.append(name, bytes);
  }

  private async write(name: string, bytes: Uint8Array): Promise<Result<void>> {
    return this.fails ? noSpace('write', name) : this.disk.write(name, bytes);
  }

  private hold(go: () => void): void {
    if (this.held) this.held.push(go);
    else go();
  }
}

function noSpace(step: string, name: string): Result<void> {
  return failure(step, name, 'no space', 'failed', 'disk');
}

/** A message to one of a voter's handlers. */
type Message = readonly [handler: object, type: string, body: unknown];

async function send([handler, type, body]: Message): Promise<Result<unknown>> {
  return dispatch([handler], type, body, undefined, '');
}

/** The acceptor and the votes of a single voter. */
async function startVoter(ports: Ports): Promise<{ acceptor: Acceptor; votes: IdempotencyVotes }> {
  const [, store] = errorOrValue(await openControlStore(ports, 1 << 20));
  const voterSet = { now: [{ disk: store!.diskId, at: '0' }] };
  function voters(): typeof voterSet {
    return voterSet;
  }
  function nothing(): void {
    // does nothing on purpose
  }
  function nobody(): Promise<Result<unknown>> {
    return Promise.resolve(failure('ask', '', 'nobody', 'refused', 'none'));
  }
  function sync(): Promise<Result<void>> {
    return Promise.resolve(Right(undefined));
  }
  const transport: VoterTransport = {
    ownerId: 'a.1',
    timeoutMs: 1,
    voters,
    request: nobody,
    onLearned: nothing,
    learnLocally: nobody,
  };
  const votes = new IdempotencyVotes(store!, ports, voters, 1000);
  await votes.start({
    votes: [],
    fileIndex: 0,
    generation: 0,
    disk: '',
    isCorrupt: false,
    sync,
  });
  return { acceptor: new Acceptor(store!, transport, ports), votes };
}

async function answeredWhenSynced(): Promise<void> {
  const files: DiskFiles = new Map();
  const ports = portsWithFiles(files);
  const disk = new FaultyDisk(ports.disk);
  const { acceptor, votes } = await startVoter({ ...ports, disk: disk.port() });
  const change = { key: 'k', epoch: 1, by: 'a.1', number: 1, value: 1 };
  const vote = { key: 'x', run: 'r1', state: 'running' };
  const messages: Message[] = [
    [acceptor, 'learn', { change }],
    [votes, 'copy', [vote]],
    [votes, 'vote', { key: 'x', run: 'r2' }],
    [votes, 'run', { key: 'x', run: 'r1', state: 'done' }],
  ];
  const replies: Promise<Result<unknown>>[] = [];
  for (const message of [...messages, ...messages]) {
    const reply = send(message);
    replies.push(reply);
    const type = message[1];
    expect({ type, back: await isBack(reply) }).toEqual({ type, back: false });
  }
  disk.fails = true;
  disk.release();
  for (const result of await Promise.all(replies)) expect(result.isLeft()).toBe(true);
  async function expectKept(kept: boolean): Promise<void> {
    for (const message of messages) {
      const type = message[1];
      expect({ type, kept: (await send(message)).isRight() }).toEqual({ type, kept });
    }
  }
  await expectKept(false);
  disk.fails = false;
  await expectKept(true);
  const after = await openStore(files);
  expect(after.registers.get('k')?.learned).toEqual(change);
}

/** The votes of a single voter, started anew from its files. */
async function startVotes(store: ControlStore, files: DiskFiles): Promise<IdempotencyVotes> {
  const voterSet = { now: [{ disk: store.diskId, at: '127.10.1.1:7000' }] };
  function voters(): typeof voterSet {
    return voterSet;
  }
  const votes = new IdempotencyVotes(store, portsWithFiles(files), voters, 1000);
  await votes.start(await storedVotes(files));
  return votes;
}

async function storedVotes(files: DiskFiles): Promise<StoredVotes> {
  return (await readStoredVotes(portsWithFiles(files))).extract() as StoredVotes;
}

/** The keys that begin with a prefix and have a vote. */
async function votedKeys(votes: IdempotencyVotes, begins: string): Promise<string> {
  const listed = (await votes.listVotes({ begins })).extract() as { votes: { key: string }[] };
  return listed.votes.map(keyOf).join();
}

function keyOf(vote: { key: string }): string {
  return vote.key;
}

async function voteOutlivesRestarts(): Promise<void> {
  const files: DiskFiles = new Map();
  const store = await openStore(files);
  const first = await startVotes(store, files);
  expect((await first.vote({ key: 'a', run: 'r1' })).extract()).toMatchObject({ run: 'r1' });
  await first.recordRunState({ key: 'a', run: 'r1', state: 'done' });
  await first.vote({ key: 'b', run: 'r2' });
  await first.recordRunState({ key: 'b', run: 'r2', state: 'released' });
  for (let i = 0; i < 4; i++) {
    const again = await startVotes(store, files);
    expect((await again.vote({ key: 'a', run: 'r3' })).extract()).toMatchObject({
      run: 'r1',
      state: 'done',
    });
    if (i === 3)
      expect((await again.vote({ key: 'b', run: 'r4' })).extract()).toMatchObject({ run: 'r4' });
  }
  const keys = [];
  for (const begins of ['a', 'b', 'c']) keys.push(await votedKeys(first, begins));
  expect(keys).toEqual(['a', '', '']);
  await expectCorruptWhereChanged(files);
}

/** Any byte changed in a file of votes shows at the next start. */
async function expectCorruptWhereChanged(files: DiskFiles): Promise<void> {
  const voteFiles = new Map([...files].filter(isVoteFile));
  for (const { what, files: changed } of corruptedCopies(voteFiles)) {
    if (/emptied|gone/.test(what)) continue;
    const isCorrupt = (await storedVotes(changed)).isCorrupt;
    expect({ what, isCorrupt }).toEqual({ what, isCorrupt: true });
  }
}

function isVoteFile([name]: [string, unknown]): boolean {
  return name.startsWith('votes');
}

test('a vote outlives restarts, and a released key can be run anew', voteOutlivesRestarts);

test(
  'one epoch never carries two values, also when an owner forgot its promise and came back',
  oneValuePerEpoch,
);

test(
  'an emptied disk at the address of a voter does not count as that voter, also while it joins',
  emptiedDiskDoesNotCount,
);

test(
  'nothing is answered before what it tells is synced, nor after a write that failed',
  answeredWhenSynced,
);
