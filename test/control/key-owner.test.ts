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

interface Three {
  w: World;
  owner: (by: string) => KeyOwner;
  drive: <T>(p: Promise<T>) => Promise<T>;
}

/** Three voters' disks, and owners that reach them all. */
async function three(): Promise<Three> {
  const w = makeWorld(3, false);
  const net = makeNet(w);
  const acceptors = new Map<string, Acceptor>();
  const voters: VoterSet = { now: [] };
  let upTo = 0;
  async function drive<T>(p: Promise<T>): Promise<T> {
    let done = false;
    function told(): void {
      done = true;
    }
    void p.then(told);
    while (!done) await w.run((upTo += 10));
    return p;
  }
  function given(): VoterSet {
    return voters;
  }
  function nothing(): void {}
  function reachOf(by: string): VoterTransport {
    function ask(v: Voter, type: string, body: unknown): Promise<Result<unknown>> {
      return dispatch([acceptors.get(v.disk)!], type, body, undefined, by);
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
  for (const n of ['1', '2', '3']) {
    const ports = net.ports(w.proc(`disk-${n}`, `127.30.1.${n}`));
    const [, slots] = errorOrValue(await drive(openControlStore(ports, 1 << 20)));
    voters.now.push({ disk: slots!.diskId, at: n });
    acceptors.set(slots!.diskId, new Acceptor(slots!, reachOf(`voter-${n}`), ports));
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
  return { w, owner, drive };
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
async function twice(
  t: Three,
  o: KeyOwner,
  make: (now: VersionedValue | undefined) => Result<unknown>,
): Promise<Result<VersionedValue>> {
  const r = await t.drive(o.change('k', make));
  return r.isLeft() ? t.drive(o.change('k', make)) : r;
}

async function outdatedOwner(): Promise<void> {
  const t = await three();
  const a = t.owner('a');
  const b = t.owner('b');
  expect((await t.drive(a.change('k', onTopOf(undefined, 'one')))).isRight()).toBe(true);
  expect((await twice(t, b, onTopOf('one', 'two'))).isRight()).toBe(true);
  const o = await twice(t, a, onTopOf('two', 'three'));
  expect(o.map(valueOf).extract()).toBe('three');
  expect((await t.drive(a.change('k', onTopOf('two', 'four')))).extract()).toMatchObject({
    code: 'conflict',
    certainty: 'refused',
  });
}

/** Any fault is by what stands, whatever its code. */
async function outdatedVerdict(): Promise<void> {
  for (const code of ['stands', 'bad-deployment', 'conflict'] as const) {
    const t = await three();
    const a = t.owner('a');
    const b = t.owner('b');
    function unlessOne(now: VersionedValue | undefined): Result<unknown> {
      return now?.value === 'one'
        ? failure('change', 'k', 'one stands', 'refused', code)
        : Right('x');
    }
    expect((await t.drive(a.change('k', onTopOf(undefined, 'one')))).isRight()).toBe(true);
    expect((await t.drive(a.change('k', unlessOne))).extract()).toMatchObject({ code });
    expect((await twice(t, b, onTopOf('one', 'two'))).isRight()).toBe(true);
    expect([code, (await twice(t, a, unlessOne)).map(valueOf).extract()]).toEqual([code, 'x']);
  }
}

/** Readers that have a key settled at the same time: one settling is under way, and one for all who came meanwhile. */
async function settledTogether(): Promise<void> {
  const t = await three();
  const a = t.owner('a');
  expect((await t.drive(a.change('k', onTopOf(undefined, 'one')))).isRight()).toBe(true);
  const first = a.reacquire('k');
  await Promise.resolve();
  await Promise.resolve();
  const later = [a.reacquire('k'), a.reacquire('k'), a.reacquire('k'), a.reacquire('k')];
  const all = await t.drive(Promise.all([first, ...later]));
  const epochs = new Set<number>();
  for (const o of all) epochs.add((o.extract() as VersionedValue).epoch);
  expect([...epochs]).toEqual([2, 3]);
  expect((await t.drive(a.reacquire('k'))).extract()).toMatchObject({ epoch: 4, value: 'one' });
}

function valueOf(n: VersionedValue): unknown {
  return n.value;
}

test('an owner that another has followed refuses nothing by the value that it held', outdatedOwner);
test('nor does it give any other verdict by that value', outdatedVerdict);
test('settlings of a key that wait for their turn are done in one', settledTogether);
