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
import { makeWorld } from '../../tools/sim/simworld';

/** Three voters' disks, and owners that reach them all. */
class Cluster {
  private readonly world = makeWorld(3, false);
  private readonly net = makeNet(this.world);
  private readonly acceptors = new Map<string, Acceptor>();
  private readonly voterSet: VoterSet = { now: [] };
  private ranUntil = 0;

  /** Adds a voter with an empty disk. */
  async addVoter(name: string): Promise<void> {
    const ports = this.net.ports(this.world.proc(`disk-${name}`, `127.30.1.${name}`));
    const [, store] = errorOrValue(await this.runUntilSettled(openControlStore(ports, 1 << 20)));
    this.voterSet.now.push({ disk: store!.diskId, at: name });
    const transport = this.transportOf(`voter-${name}`);
    this.acceptors.set(store!.diskId, new Acceptor(store!, transport, ports));
  }

  /** An owner without a disk of its own. */
  owner(ownerId: string): KeyOwner {
    const store = { diskId: ownerId, registers: new Map(), put: succeed, flush: succeed };
    return makeKeyOwner(store as never, this.transportOf(ownerId));
  }

  /** Runs virtual time on until a promise is settled. */
  async runUntilSettled<T>(promise: Promise<T>): Promise<T> {
    let isSettled = false;
    function onSettled(): void {
      isSettled = true;
    }
    void promise.then(onSettled);
    while (!isSettled) await this.world.run((this.ranUntil += 10));
    return promise;
  }

  private transportOf(ownerId: string): VoterTransport {
    return {
      ownerId,
      timeoutMs: 500,
      voters: this.voters.bind(this),
      request: this.request.bind(this, ownerId),
      onLearned: nothing,
      learnLocally: learnNothing,
    };
  }

  private voters(): VoterSet {
    return this.voterSet;
  }

  private request(
    ownerId: string,
    voter: Voter,
    type: string,
    body: unknown,
  ): Promise<Result<unknown>> {
    return dispatch([this.acceptors.get(voter.disk)!], type, body, undefined, ownerId);
  }
}

function succeed(): Promise<Result<void>> {
  return Promise.resolve(Right(undefined));
}

function nothing(): void {
  // does nothing on purpose
}

async function learnNothing(): Promise<void> {
  // does nothing on purpose
}

async function makeThreeVoters(): Promise<Cluster> {
  const cluster = new Cluster();
  for (const name of ['1', '2', '3']) await cluster.addVoter(name);
  return cluster;
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
  const ownerA = cluster.owner('a');
  const ownerB = cluster.owner('b');
  expect(
    (await cluster.runUntilSettled(ownerA.change('k', onTopOf(undefined, 'one')))).isRight(),
  ).toBe(true);
  expect((await changeWithRetry(cluster, ownerB, onTopOf('one', 'two'))).isRight()).toBe(true);
  const result = await changeWithRetry(cluster, ownerA, onTopOf('two', 'three'));
  expect(result.map(valueOf).extract()).toBe('three');
  expect(
    (await cluster.runUntilSettled(ownerA.change('k', onTopOf('two', 'four')))).extract(),
  ).toMatchObject({
    code: 'conflict',
    certainty: 'refused',
  });
}

/** Any fault is by what stands, whatever its code. */
async function outdatedVerdict(): Promise<void> {
  for (const code of ['stands', 'bad-deployment', 'conflict'] as const) {
    const cluster = await makeThreeVoters();
    const ownerA = cluster.owner('a');
    const ownerB = cluster.owner('b');
    function unlessOne(now: VersionedValue | undefined): Result<unknown> {
      return now?.value === 'one'
        ? failure('change', 'k', 'one stands', 'refused', code)
        : Right('x');
    }
    expect(
      (await cluster.runUntilSettled(ownerA.change('k', onTopOf(undefined, 'one')))).isRight(),
    ).toBe(true);
    expect((await cluster.runUntilSettled(ownerA.change('k', unlessOne))).extract()).toMatchObject({
      code,
    });
    expect((await changeWithRetry(cluster, ownerB, onTopOf('one', 'two'))).isRight()).toBe(true);
    expect([
      code,
      (await changeWithRetry(cluster, ownerA, unlessOne)).map(valueOf).extract(),
    ]).toEqual([code, 'x']);
  }
}

/** Readers that have a key settled at the same time: one settling is under way, and one for all who came meanwhile. */
async function sharedReacquisition(): Promise<void> {
  const cluster = await makeThreeVoters();
  const ownerA = cluster.owner('a');
  expect(
    (await cluster.runUntilSettled(ownerA.change('k', onTopOf(undefined, 'one')))).isRight(),
  ).toBe(true);
  const first = ownerA.reacquire('k');
  await Promise.resolve();
  await Promise.resolve();
  const later = [
    ownerA.reacquire('k'),
    ownerA.reacquire('k'),
    ownerA.reacquire('k'),
    ownerA.reacquire('k'),
  ];
  const all = await cluster.runUntilSettled(Promise.all([first, ...later]));
  const epochs = new Set<number>();
  for (const result of all) epochs.add((result.extract() as VersionedValue).epoch);
  expect([...epochs]).toEqual([2, 3]);
  expect((await cluster.runUntilSettled(ownerA.reacquire('k'))).extract()).toMatchObject({
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
