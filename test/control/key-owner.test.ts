/**
 * An owner of a key that another has taken over since, and reacquisitions that come at once.
 */

import { Right } from 'purify-ts';
import { Acceptor } from '../../src/control/consensus/acceptor';
import { VoterTransport } from '../../src/control/consensus/voter-transport';
import { makeKeyOwner, KeyOwner } from '../../src/control/consensus/key-owner';
import { openControlStore } from '../../src/control/storage/control-store';
import { dispatch } from '../../src/shared/transport/message-handlers';
import { failure, errorOrValue, Result } from '../../src/shared/errors/errors';
import { VersionedValue } from '../../src/shared/state/versions';
import { Voter, VoterSet } from '../../src/shared/state/voter-set';
import { makeNet } from '../../tools/sim/simwire';
import { makeWorld, World } from '../../tools/sim/simworld';

interface Cluster {
  world: World;
  owner: (by: string) => KeyOwner;
  runUntilSettled: <T>(promise: Promise<T>) => Promise<T>;
}

/** Three voters' disks, and owners that reach them all. */
async function makeThreeVoters(): Promise<Cluster> {
  const world = makeWorld(3, false);
  const net = makeNet(world);
  const acceptors = new Map<string, Acceptor>();
  const voters: VoterSet = { now: [] };
  let upTo = 0;
  async function drive<T>(promise: Promise<T>): Promise<T> {
    let done = false;
    function told(): void {
      done = true;
    }
    void promise.then(told);
    while (!done) await world.run((upTo += 10));
    return promise;
  }
  function given(): VoterSet {
    return voters;
  }
  function nothing(): void {}
  function reachOf(by: string): VoterTransport {
    function ask(voter: Voter, type: string, body: unknown): Promise<Result<unknown>> {
      return dispatch([acceptors.get(voter.disk)!], type, body, undefined, by);
    }
    return {
      ownerId: by,
      timeoutMs: 500,
      voters: given,
      request: ask,
      onLearned: nothing,
      learnLocally: nowhere,
    };
  }
  async function nowhere(): Promise<void> {}
  for (const name of ['1', '2', '3']) {
    const ports = net.ports(world.proc(`disk-${name}`, `127.30.1.${name}`));
    const [, store] = errorOrValue(await drive(openControlStore(ports, 1 << 20)));
    voters.now.push({ disk: store!.diskId, at: name });
    acceptors.set(store!.diskId, new Acceptor(store!, reachOf(`voter-${name}`), ports));
  }
  async function blank(): Promise<Result<void>> {
    return Right(undefined);
  }
  function owner(by: string): KeyOwner {
    return makeKeyOwner(
      { diskId: by, registers: new Map(), put: blank, flush: blank } as never,
      reachOf(by),
    );
  }
  return { world: world, owner, runUntilSettled: drive };
}

function onTopOf(
  base: unknown,
  value: unknown,
): (now: VersionedValue | undefined) => Result<unknown> {
  function make(now: VersionedValue | undefined): Result<unknown> {
    return now?.value === base
      ? Right(value)
      : failure('change', 'k', `${String(now?.value)} stands`, 'refused', 'conflict');
  }
  return make;
}

/** Changes as callers do: again where the owner first had to hear of a higher epoch. */
async function changeWithRetry(
  cluster: Cluster,
  owner: KeyOwner,
  make: (now: VersionedValue | undefined) => Result<unknown>,
): Promise<Result<VersionedValue>> {
  const result = await cluster.runUntilSettled(owner.change('k', make));
  return result.isLeft() ? cluster.runUntilSettled(owner.change('k', make)) : result;
}

async function outdatedOwner(): Promise<void> {
  const cluster = await makeThreeVoters();
  const a = cluster.owner('a');
  const b = cluster.owner('b');
  expect((await cluster.runUntilSettled(a.change('k', onTopOf(undefined, 'one')))).isRight()).toBe(
    true,
  );
  expect((await changeWithRetry(cluster, b, onTopOf('one', 'two'))).isRight()).toBe(true);
  const result = await changeWithRetry(cluster, a, onTopOf('two', 'three'));
  expect(result.map(valueOf).extract()).toBe('three');
  expect(
    (await cluster.runUntilSettled(a.change('k', onTopOf('two', 'four')))).extract(),
  ).toMatchObject({
    code: 'conflict',
    certainty: 'refused',
  });
}

/** Any fault is by what stands, whatever its code. */
async function outdatedVerdict(): Promise<void> {
  for (const code of ['stands', 'bad-deployment', 'conflict'] as const) {
    const cluster = await makeThreeVoters();
    const a = cluster.owner('a');
    const b = cluster.owner('b');
    function unlessOne(now: VersionedValue | undefined): Result<unknown> {
      return now?.value === 'one'
        ? failure('change', 'k', 'one stands', 'refused', code)
        : Right('x');
    }
    expect(
      (await cluster.runUntilSettled(a.change('k', onTopOf(undefined, 'one')))).isRight(),
    ).toBe(true);
    expect((await cluster.runUntilSettled(a.change('k', unlessOne))).extract()).toMatchObject({
      code,
    });
    expect((await changeWithRetry(cluster, b, onTopOf('one', 'two'))).isRight()).toBe(true);
    expect([code, (await changeWithRetry(cluster, a, unlessOne)).map(valueOf).extract()]).toEqual([
      code,
      'x',
    ]);
  }
}

/** Readers that have a key settled at the same time: one settling is under way, and one for all who came meanwhile. */
async function sharedReacquisition(): Promise<void> {
  const cluster = await makeThreeVoters();
  const a = cluster.owner('a');
  expect((await cluster.runUntilSettled(a.change('k', onTopOf(undefined, 'one')))).isRight()).toBe(
    true,
  );
  const first = a.reacquire('k');
  await Promise.resolve();
  await Promise.resolve();
  const later = [a.reacquire('k'), a.reacquire('k'), a.reacquire('k'), a.reacquire('k')];
  const all = await cluster.runUntilSettled(Promise.all([first, ...later]));
  const epochs = new Set<number>();
  for (const result of all) epochs.add((result.extract() as VersionedValue).epoch);
  expect([...epochs]).toEqual([2, 3]);
  expect((await cluster.runUntilSettled(a.reacquire('k'))).extract()).toMatchObject({
    epoch: 4,
    value: 'one',
  });
}

function valueOf(value: VersionedValue): unknown {
  return value.value;
}

test('an owner that another has followed refuses nothing by the value that it held', outdatedOwner);
test('nor does it give any other error by that value', outdatedVerdict);
test('queued reacquisitions of a key are carried out as one', sharedReacquisition);
