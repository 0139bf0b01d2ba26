/**
 * What a disk has answered outlives restarts, and nothing is answered before it is synced.
 */

import { Right } from 'purify-ts';
import { Acceptor } from '../../src/control/consensus/acceptor';
import { openControlStore } from '../../src/control/storage/control-store';
import { StoredVotes, readStoredVotes } from '../../src/control/storage/vote-files';
import { IdempotencyVotes } from '../../src/control/storage/idempotency-votes';
import { dispatch } from '../../src/shared/transport/message-handlers';
import { failure, errorOrValue, Result } from '../../src/shared/errors/errors';
import { Ports } from '../../src/shared/ports/ports';
import {
  DiskFiles,
  openStore,
  portsWithFiles,
  corruptedCopies,
  makeThreeVoters,
  returningValue,
} from './storage-fixture';

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
  function told(): void {
    back = true;
  }
  void promise.then(told);
  function turns(go: () => void): void {
    setImmediate(go);
  }
  for (let i = 0; i < 5; i++) await new Promise<void>(turns);
  return back;
}

async function answeredWhenSynced(): Promise<void> {
  const files: DiskFiles = new Map();
  const ports = portsWithFiles(files);
  let fails = false;
  let held: (() => void)[] | undefined = [];
  async function append(name: string, bytes: Uint8Array): Promise<Result<void>> {
    function wait(go: () => void): void {
      if (held) held.push(go);
      else go();
    }
    await new Promise<void>(wait);
    return fails
      ? failure('append', name, 'no space', 'failed', 'disk')
      : ports.disk.append(name, bytes);
  }
  async function write(name: string, bytes: Uint8Array): Promise<Result<void>> {
    return fails
      ? failure('write', name, 'no space', 'failed', 'disk')
      : ports.disk.write(name, bytes);
  }
  const slow: Ports = { ...ports, disk: { ...ports.disk, append, write } };
  const [, store] = errorOrValue(await openControlStore(slow, 1 << 20));
  const set = { now: [{ disk: store!.diskId, at: '0' }] };
  function voters(): typeof set {
    return set;
  }
  function nothing(): void {}
  async function never(): Promise<Result<unknown>> {
    return failure('ask', '', 'nobody', 'refused', 'none');
  }
  const acceptor = new Acceptor(
    store!,
    {
      ownerId: 'a.1',
      timeoutMs: 1,
      voters,
      request: never,
      onLearned: nothing,
      learnLocally: never,
    },
    slow,
  );
  const votes = new IdempotencyVotes(store!, slow, voters, 1000);
  await votes.start({
    votes: [],
    fileIndex: 0,
    generation: 0,
    disk: '',
    isCorrupt: false,
    sync: nothingToSync,
  });
  async function nothingToSync(): Promise<Result<void>> {
    return Right(undefined);
  }
  const change = { key: 'k', epoch: 1, by: 'a.1', number: 1, value: 1 };
  const vote = { key: 'x', run: 'r1', state: 'running' };
  const acts = [
    [acceptor, 'learn', { change }],
    [votes, 'copy', [vote]],
    [votes, 'vote', { key: 'x', run: 'r2' }],
    [votes, 'run', { key: 'x', run: 'r1', state: 'done' }],
  ] as const;
  const replies: Promise<Result<unknown>>[] = [];
  for (const [edge, type, body] of [...acts, ...acts]) {
    replies.push(dispatch([edge], type, body, undefined, ''));
    expect({ type, back: await isBack(replies[replies.length - 1]) }).toEqual({
      type,
      back: false,
    });
  }
  fails = true;
  for (const go of held.splice(0)) go();
  held = undefined;
  for (const result of await Promise.all(replies)) expect(result.isLeft()).toBe(true);
  for (const [edge, type, body] of acts)
    expect({ type, kept: (await dispatch([edge], type, body, undefined, '')).isRight() }).toEqual({
      type,
      kept: false,
    });
  fails = false;
  for (const [edge, type, body] of acts)
    expect({ type, kept: (await dispatch([edge], type, body, undefined, '')).isRight() }).toEqual({
      type,
      kept: true,
    });
  const after = await openStore(files);
  expect(after.registers.get('k')?.learned).toEqual(change);
}

async function voteOutlivesRestarts(): Promise<void> {
  const files: DiskFiles = new Map();
  const disk = await openStore(files);
  const voters = { now: [{ disk: disk.diskId, at: '127.10.1.1:7000' }] };
  function set(): typeof voters {
    return voters;
  }
  async function votesOn(): Promise<IdempotencyVotes> {
    const v = new IdempotencyVotes(disk, portsWithFiles(files), set, 1000);
    await v.start((await readStoredVotes(portsWithFiles(files))).extract() as StoredVotes);
    return v;
  }
  const one = await votesOn();
  expect((await one.vote({ key: 'a', run: 'r1' })).extract()).toMatchObject({ run: 'r1' });
  await one.recordRunState({ key: 'a', run: 'r1', state: 'done' });
  await one.vote({ key: 'b', run: 'r2' });
  await one.recordRunState({ key: 'b', run: 'r2', state: 'released' });
  for (let i = 0; i < 4; i++) {
    const again = await votesOn();
    expect((await again.vote({ key: 'a', run: 'r3' })).extract()).toMatchObject({
      run: 'r1',
      state: 'done',
    });
    if (i === 3)
      expect((await again.vote({ key: 'b', run: 'r4' })).extract()).toMatchObject({ run: 'r4' });
  }
  const held = [];
  for (const begins of ['a', 'b', 'c'])
    held.push(
      ((await one.listVotes({ begins })).extract() as { votes: { key: string }[] }).votes
        .map(keyOf)
        .join(),
    );
  expect(held).toEqual(['a', '', '']);
  function keyOf(x: { key: string }): string {
    return x.key;
  }
  const votesOnly = new Map([...files].filter(isVotes));
  function isVotes(x: [string, unknown]): boolean {
    return x[0].startsWith('votes');
  }
  for (const x of corruptedCopies(votesOnly)) {
    if (/emptied|gone/.test(x.what)) continue;
    expect({
      what: x.what,
      spoilt: ((await readStoredVotes(portsWithFiles(x.files))).extract() as StoredVotes).isCorrupt,
    }).toEqual({ what: x.what, spoilt: true });
  }
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
